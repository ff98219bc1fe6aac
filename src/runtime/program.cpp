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

int run_until_signal(std::string_view program,
                     std::function<std::error_code(std::stop_token const &)> const & body,
                     std::function<void()> const & on_hangup, duration grace_period)
{
    block_termination_signals();
    std::stop_source stop;
    bounded_ring<bool> body_returned(1);
    std::thread signal_thread(
        [&stop, &on_hangup, &body_returned, program, grace_period]
        {
            while (wait_for_signal() == SIGHUP && on_hangup)
            {
                on_hangup();
            }
            stop.request_stop();
            if (grace_period > duration::zero() &&
                !body_returned.pop(grace_period - exit_margin))
            {
                std::cerr << program
                          << ": grace period expired with work still in progress\n";
                std::cout.flush();
                std::_Exit(exit_cut_short);
            }
        });
    std::error_code const error = body(stop.get_token());
    body_returned.try_push(true);
    if (!stop.stop_requested())
    {
        // Wakes the signal thread, which waits for a signal.
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
