#ifndef CASSIAHUB_SRC_GATEWAY_CONTEXT_HPP
#define CASSIAHUB_SRC_GATEWAY_CONTEXT_HPP

#include "entry/context.hpp"

#include <cassiahub/config/gateway_settings.hpp>
#include <cassiahub/gateway/wire_format.hpp>

#include <stop_token>
#include <system_error>

namespace cassiahub::gateway
{

/// What the duties of the gateway share. Owned by run_daemon().
struct gateway_context
{
    entry::daemon_context & m_daemon; ///< rings and state of the decision duty
    config::gateway_settings const & m_settings;
    wire_format const & m_wire;
};

// Bodies of the duties. Each runs on its own thread until stop is requested.

/// Watches the store, registers this instance and lists the others.
std::error_code run_registry(gateway_context & context, std::stop_token const & stop);

/// Calls upstreams for the decision duty.
std::error_code run_upstream_calls(gateway_context & context,
                                   std::stop_token const & stop);

/// Serves callers, the balancer and metrics. On the stop request it goes on serving until
/// nothing is in progress or the grace time is nearly over.
std::error_code run_callers(gateway_context & context, std::stop_token const & stop);

/// Checks fleet documents that peers passed on.
std::error_code run_document_checker(gateway_context & context,
                                     std::stop_token const & stop);

/// Hands a fleet document to the decision duty when it is valid.
void submit_document(gateway_context & context, std::string document,
                     std::stop_token const & stop);

} // namespace cassiahub::gateway

#endif
