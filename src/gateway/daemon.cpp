#include "entry/duties.hpp"
#include "entry/duty_tree.hpp"
#include "gateway/context.hpp"

#include <cassiahub/gateway/daemon.hpp>
#include <cassiahub/runtime/supervisor.hpp>

#include <string>
#include <utility>
#include <vector>

namespace cassiahub::gateway
{

namespace internal
{

using entry::make_duty;
using entry::make_group;
using runtime::supervisor_spec;

/// There are up to 97 gateways, and each may open its connection anew before the earlier
/// one is closed.
constexpr std::uint32_t max_peer_connections = 256;
/// A batch of 1 MiB that ends with a job of 230 tasks, each with a spec as large as the
/// largest body, has 16 MiB. The smallest machine has 120 MB.
constexpr std::size_t max_peer_message_bytes = 24 * 1024 * 1024;

/// A duty starts before the duties that push into its ring. Duties stop in reverse order,
/// so that callers are still answered while every duty they depend on runs.
supervisor_spec make_root_supervisor(entry::daemon_context & daemon,
                                     gateway_context & context)
{
    supervisor_spec spec;
    spec.m_name = "gateway";
    spec.m_children = {
        make_group("telemetry", daemon,
                   {make_duty("telemetry", daemon, entry::run_telemetry)}),
        make_group("decision", daemon,
                   {make_duty("decision", daemon, entry::run_decision)}),
        make_group("peer", daemon, {make_duty("peer-exchange", daemon, entry::run_peer)}),
        make_group("store", daemon,
                   {make_duty("registry", context, run_registry),
                    make_duty("document-checker", context, run_document_checker)}),
        make_group("upstream", daemon,
                   {make_duty("upstream-calls", context, run_upstream_calls)}),
        make_group("caller", daemon, {make_duty("callers", context, run_callers)})};
    return spec;
}

config::entry_settings to_entry_settings(config::gateway_settings const & settings)
{
    config::entry_settings entry;
    entry.m_instance = settings.m_instance;
    entry.m_domain = settings.m_domain;
    entry.m_caller_address = settings.m_caller_address;
    entry.m_peer_address = settings.m_peer_address;
    entry.m_platform_address = settings.m_store_address;
    entry.m_peer_secret = settings.m_peer_secret;
    entry.m_caller_threads = 1; // one duty serves all callers
    entry.m_max_peer_connections = max_peer_connections;
    entry.m_max_peer_message_bytes = max_peer_message_bytes;
    return entry;
}

} // namespace internal

std::error_code run_daemon(config::gateway_settings const & settings,
                           wire_format const & wire, std::stop_token const & stop)
{
    config::entry_settings const entry_settings = internal::to_entry_settings(settings);
    entry::daemon_context daemon(entry_settings, true);
    daemon.m_state.m_leasing.m_sessions.m_lease_length = settings.m_longest_lease;
    gateway_context context{daemon, settings, wire};
    return runtime::supervise(internal::make_root_supervisor(daemon, context), stop);
}

} // namespace cassiahub::gateway
