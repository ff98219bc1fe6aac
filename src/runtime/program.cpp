#include <cassiahub/runtime/bounded_ring.hpp>
#include <cassiahub/runtime/program.hpp>
#include <cassiahub/runtime/signal_wait.hpp>

#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace cassiahub::runtime
{

namespace internal
{

/// Kept from the grace time so that the process ends before it is killed.
constexpr duration exit_margin = std::chrono::milliseconds(200);

} // namespace internal

int run_until_signal(std::string_view program,
                     std::function<std::error_code(std::stop_token const &)> const & body,
                     std::function<void()> const & on_hangup, duration grace)
{
    block_termination_signals();
    std::stop_source stop;
    bounded_ring<bool> ended(1);
    std::thread signal_thread(
        [&stop, &on_hangup, &ended, program, grace]
        {
            while (wait_for_signal() == SIGHUP && on_hangup)
            {
                on_hangup();
            }
            stop.request_stop();
            if (grace > duration::zero() && !ended.pop(grace - internal::exit_margin))
            {
                std::cerr << program << ": the grace time is over\n";
                std::cout.flush();
                std::_Exit(exit_cut_short);
            }
        });
    std::error_code const error = body(stop.get_token());
    ended.try_push(true);
    if (!stop.stop_requested())
    {
        // Ends the wait of the signal thread.
        pthread_kill(signal_thread.native_handle(), SIGINT);
    }
    signal_thread.join();
    if (error)
    {
        std::cerr << program << ": " << error.category().name() << ": " << error.message()
                  << '\n';
        return exit_failed;
    }
    return exit_success;
}

} // namespace cassiahub::runtime
