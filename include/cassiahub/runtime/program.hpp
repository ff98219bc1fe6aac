#ifndef CASSIAHUB_RUNTIME_PROGRAM_HPP
#define CASSIAHUB_RUNTIME_PROGRAM_HPP

#include <cassiahub/core/time.hpp>

#include <functional>
#include <stop_token>
#include <string_view>
#include <system_error>

namespace cassiahub::runtime
{

// Exit codes of the daemons. The other programs share 0, 2 and 3; in cassiahubctl 4 means
// a conflict (ctl/exit_code.hpp).
constexpr int exit_success = 0;
constexpr int exit_usage = 2;     ///< invalid arguments or settings
constexpr int exit_failed = 3;    ///< the operation failed
constexpr int exit_cut_short = 4; ///< stop requested, but work was still in progress at
                                  ///< the end of the grace period

/// Subtracted from the grace period, so that the process exits before it is killed.
constexpr duration exit_margin = std::chrono::milliseconds(200);

/// Runs \p body until it returns. SIGINT, SIGTERM or SIGHUP requests a stop from it.
/// \param program name of the program, printed before each error message.
/// \param body the work of the program, called on the calling thread. Must return soon
/// after a stop request.
/// \param on_hangup called on the signal thread for each SIGHUP, which then doesn't
/// request a stop. If empty, SIGHUP requests a stop.
/// \param grace_period longest time from the stop request to the end of the process;
/// zero: no limit. When \p body hasn't returned by then, for example because a thread
/// waits for another process, the process exits with exit_cut_short.
/// \pre called in main() before any thread is started.
/// \returns exit_success, or exit_failed after printing the error that \p body returned.
int run_until_signal(std::string_view program,
                     std::function<std::error_code(std::stop_token const &)> const & body,
                     std::function<void()> const & on_hangup = {},
                     duration grace_period = duration::zero());

} // namespace cassiahub::runtime

#endif
