#ifndef CASSIAHUB_ENTRY_DAEMON_HPP
#define CASSIAHUB_ENTRY_DAEMON_HPP

#include <cassiahub/config/process_settings.hpp>

#include <stop_token>
#include <system_error>

namespace cassiahub::entry
{

/// Runs the entry daemon until \p stop is requested, then performs a planned shutdown:
/// waiting callers are answered within the grace period.
/// \returns no error after a planned shutdown, otherwise the error that ended the daemon.
std::error_code run_daemon(config::entry_settings const & settings,
                           std::stop_token const & stop);

} // namespace cassiahub::entry

#endif
