#include <cassiahub/runtime/program.hpp>
#include <cassiahub/runtime/signal_wait.hpp>

#include <pthread.h>

#include <csignal>
#include <iostream>
#include <thread>

namespace cassiahub::runtime
{

int run_until_signal(std::string_view program,
                     std::function<std::error_code(std::stop_token const &)> const & body,
                     std::function<void()> const & on_hangup)
{
    block_termination_signals();
    std::stop_source stop;
    std::thread signal_thread(
        [&stop, &on_hangup]
        {
            while (wait_for_signal() == SIGHUP && on_hangup)
            {
                on_hangup();
            }
            stop.request_stop();
        });
    std::error_code const error = body(stop.get_token());
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
