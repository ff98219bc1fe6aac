#ifndef CASSIAHUB_ENTRY_DUTIES_HPP
#define CASSIAHUB_ENTRY_DUTIES_HPP

#include "entry/context.hpp"

#include <stop_token>
#include <system_error>

namespace cassiahub::entry
{

// Bodies of the daemon's duties. Each runs on its own thread until stop is requested.

/// Takes events, makes decisions and hands out the actions. After the stop request it
/// goes on until what is in the ring has been handled.
std::error_code run_decision(daemon_context & context, std::stop_token const & stop);

/// Calls upstreams. Several of these duties share one ring, because each call blocks its
/// thread until the task has run. An attempt that is lost to an exception is reported
/// as unknown.
std::error_code run_upstream_caller(daemon_context & context,
                                    std::stop_token const & stop);

/// Cancels attempts on upstreams, apart from the calls that wait for tasks.
std::error_code run_upstream_canceller(daemon_context & context,
                                       std::stop_token const & stop);

/// Reads and writes the platform's table for the decision duty.
std::error_code run_store(daemon_context & context, std::stop_token const & stop);

/// Checks fleet documents that peers passed on.
std::error_code run_document_checker(daemon_context & context,
                                     std::stop_token const & stop);

/// Writes the log and keeps the metrics.
std::error_code run_telemetry(daemon_context & context, std::stop_token const & stop);

/// Exchanges messages with the other entry instances.
std::error_code run_peer(daemon_context & context, std::stop_token const & stop);

/// Reads the configuration and the instance list from the platform periodically.
std::error_code run_platform_poller(daemon_context & context,
                                    std::stop_token const & stop);

/// Serves callers and operators over HTTP. On the stop request it lets the waiting
/// callers get their answers before it returns.
std::error_code run_listener(daemon_context & context, std::stop_token const & stop);

} // namespace cassiahub::entry

#endif
