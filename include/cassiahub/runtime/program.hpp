#ifndef CASSIAHUB_RUNTIME_PROGRAM_HPP
#define CASSIAHUB_RUNTIME_PROGRAM_HPP

#include <cassiahub/core/time.hpp>

#include <functional>
#include <stop_token>
#include <string_view>
#include <system_error>

namespace cassiahub::runtime
{

// Exit codes shared by every program.
constexpr int exit_success = 0;
constexpr int exit_usage = 2;
constexpr int exit_failed = 3;
constexpr int exit_cut_short = 4; ///< stopped as asked, with work in progress

/// Runs the body of a daemon until SIGINT, SIGTERM or SIGHUP requests a stop, or until
/// it returns by itself.
/// \param on_hangup called on a thread of its own for each SIGHUP, which then requests no
/// stop; may be empty.
/// \param grace longest time from the signal to the end; zero: no limit. The process then
/// ends with exit_cut_short although a thread may still wait for another process.
/// \pre called from main() before any thread is started.
/// \returns exit_success, or exit_failed after printing the error.
int run_until_signal(std::string_view program,
                     std::function<std::error_code(std::stop_token const &)> const & body,
                     std::function<void()> const & on_hangup = {},
                     duration grace = duration::zero());

} // namespace cassiahub::runtime

#endif
