#include <cassiahub/runtime/signal_wait.hpp>

#include <pthread.h>

#include <csignal>

namespace cassiahub::runtime
{

namespace internal
{

sigset_t termination_signals() noexcept
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace internal

void block_termination_signals() noexcept
{
    sigset_t const signals = internal::termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int wait_for_signal() noexcept
{
    sigset_t const signals = internal::termination_signals();
    int received = 0;
    while (sigwait(&signals, &received) != 0)
    {
    }
    return received;
}

} // namespace cassiahub::runtime
