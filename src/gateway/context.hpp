#ifndef CASSIAHUB_SRC_GATEWAY_CONTEXT_HPP
#define CASSIAHUB_SRC_GATEWAY_CONTEXT_HPP

#include "entry/context.hpp"

#include <cassiahub/config/gateway_settings.hpp>
#include <cassiahub/gateway/wire_format.hpp>

#include <stop_token>
#include <system_error>

namespace cassiahub::gateway
{

/// State shared by the duties of the gateway. Owned by run_daemon().
struct gateway_context
{
    entry::daemon_context & m_daemon; ///< rings and state of the decision thread
    config::gateway_settings const & m_settings;
    wire_format const & m_wire;
};

// Bodies of the duties. Each runs on its own thread until stop is requested.

/// Watches the configuration and the upstreams in the store, keeps this instance
/// registered there and lists the other instances.
std::error_code run_registry(gateway_context & context, std::stop_token const & stop);

/// Sends the decision thread's calls to upstreams and returns their replies as events.
std::error_code run_upstream_calls(gateway_context & context,
                                   std::stop_token const & stop);

/// Serves callers, the load balancer's readiness checks and metrics. After the stop
/// request it serves on until nothing is in progress or the grace period is nearly over.
std::error_code run_callers(gateway_context & context, std::stop_token const & stop);

/// Validates fleet configuration documents received from peers.
std::error_code run_document_checker(gateway_context & context,
                                     std::stop_token const & stop);

/// Sends a fleet configuration document to the decision thread when it is valid;
/// otherwise logs that it is invalid.
void submit_document(gateway_context & context, std::string document,
                     std::stop_token const & stop);

} // namespace cassiahub::gateway

#endif
