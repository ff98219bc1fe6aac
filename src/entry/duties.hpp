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

/// Calls upstreams. Several of these duties share one command ring, because each call
/// blocks its thread until the task has run.
std::error_code run_upstream_caller(daemon_context & context,
                                    std::stop_token const & stop);

/// Reads the configuration and the instance list from the platform periodically.
std::error_code run_platform_poller(daemon_context & context,
                                    std::stop_token const & stop);

/// Serves callers and operators over HTTP. On the stop request it lets the waiting
/// callers get their answers before it returns.
std::error_code run_listener(daemon_context & context, std::stop_token const & stop);

} // namespace cassiahub::entry

#endif
