#ifndef CASSIAHUB_GATEWAY_DAEMON_HPP
#define CASSIAHUB_GATEWAY_DAEMON_HPP

#include <cassiahub/config/gateway_settings.hpp>
#include <cassiahub/gateway/wire_format.hpp>

#include <stop_token>
#include <system_error>

namespace cassiahub::gateway
{

/// Runs the gateway daemon until \p stop is requested, then performs a planned shutdown:
/// requests in progress are completed within the grace period.
/// \returns no error after a planned shutdown, otherwise the error that ended the daemon.
std::error_code run_daemon(config::gateway_settings const & settings,
                           wire_format const & wire, std::stop_token const & stop);

} // namespace cassiahub::gateway

#endif
