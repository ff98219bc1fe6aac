#ifndef CASSIAHUB_ENTRY_DUTIES_HPP
#define CASSIAHUB_ENTRY_DUTIES_HPP

#include "entry/context.hpp"

#include <stop_token>
#include <system_error>

namespace cassiahub::entry
{

// Bodies of the daemon's duties. Each runs on its own thread until stop is requested.

/// Processes events and passes the resulting actions to the other duties. After the stop
/// request it processes the events that are still in the ring.
std::error_code run_decision(daemon_context & context, std::stop_token const & stop);

/// Sends attempts to upstreams. Several of these duties consume one ring, because each
/// call blocks its thread until the task has run. When a call throws, its attempt is
/// reported with an unknown outcome.
std::error_code run_upstream_caller(daemon_context & context,
                                    std::stop_token const & stop);

/// Cancels attempts on upstreams. A separate duty, because the upstream callers are
/// blocked while tasks run.
std::error_code run_upstream_canceller(daemon_context & context,
                                       std::stop_token const & stop);

/// Reads and writes the platform's table for the decision thread.
std::error_code run_store(daemon_context & context, std::stop_token const & stop);

/// Validates fleet configuration documents received from peers.
std::error_code run_document_checker(daemon_context & context,
                                     std::stop_token const & stop);

/// Writes the log, updates the metrics and answers scrapes.
std::error_code run_telemetry(daemon_context & context, std::stop_token const & stop);

/// Exchanges messages with the other instances.
std::error_code run_peer(daemon_context & context, std::stop_token const & stop);

/// Reads the configuration and the instance list from the platform periodically.
std::error_code run_platform_poller(daemon_context & context,
                                    std::stop_token const & stop);

/// Serves callers and operators over HTTP. After the stop request it answers the waiting
/// callers before it returns, within the grace period.
std::error_code run_listener(daemon_context & context, std::stop_token const & stop);

} // namespace cassiahub::entry

#endif
