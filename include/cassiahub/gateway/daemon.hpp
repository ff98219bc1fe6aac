#ifndef CASSIAHUB_GATEWAY_DAEMON_HPP
#define CASSIAHUB_GATEWAY_DAEMON_HPP

#include <cassiahub/config/gateway_settings.hpp>
#include <cassiahub/gateway/wire_format.hpp>

#include <stop_token>
#include <system_error>

namespace cassiahub::gateway
{

/// Runs the gateway daemon until \p stop is requested, then shuts down gracefully:
/// requests in progress are completed within the grace period. \returns no error after a
/// requested stop, otherwise why the daemon failed.
std::error_code run_daemon(config::gateway_settings const & settings,
                           wire_format const & wire, std::stop_token const & stop);

} // namespace cassiahub::gateway

#endif
