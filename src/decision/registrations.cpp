#include "decision/leasing.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/lease/sessions.hpp>

#include <fmt/format.h>

#include <memory>
#include <set>
#include <utility>

namespace cassiahub::decision::internal
{

namespace
{

/// Time for which an upstream whose registration is gone is still used while it replies:
/// the registration may have expired while the store was unavailable.
constexpr duration unregistered_grace_period = std::chrono::milliseconds(3000);

void log_unused_service(step_context & context, config::upstream const & upstream)
{
    context.m_actions.emplace_back(log_event{
        "upstream_without_kind", upstream.m_name, {}, "service=" + upstream.m_service});
}

/// Logs a registration that names another upstream, incarnation, address or service than
/// \p known, which is empty for a new name.
void log_registration(step_context & context, discovered_upstream const & known,
                      discovered_upstream const & upstream)
{
    config::upstream const & definition = upstream.m_definition;
    if (known.m_incarnation != upstream.m_incarnation ||
        known.m_definition.m_address != definition.m_address ||
        known.m_definition.m_service != definition.m_service)
    {
        context.m_actions.emplace_back(log_event{
            "upstream_registered",
            definition.m_name,
            {},
            fmt::format("address={} service={} incarnation={} previous_address={} "
                        "previous_service={} previous_incarnation={}",
                        definition.m_address, definition.m_service,
                        upstream.m_incarnation, known.m_definition.m_address,
                        known.m_definition.m_service, known.m_incarnation)});
    }
}

} // namespace

void compose_configuration(step_context & context)
{
    entry_state & state = context.m_state;
    if (!state.m_leasing.m_base_configuration)
    {
        return;
    }
    auto composed = std::make_shared<config::fleet_configuration>(
        *state.m_leasing.m_base_configuration);
    for (auto const & [name, upstream] : state.m_leasing.m_upstreams)
    {
        if (is_used_service(state.m_leasing, upstream.m_definition.m_service))
        {
            config::upstream & added =
                composed->m_upstreams.emplace_back(upstream.m_definition);
            added.m_draining =
                added.m_draining || is_reported_draining(context, upstream);
        }
    }
    dispatch::apply_configuration(state.m_dispatch, std::move(composed), context.m_now);
    schedule_upstream_assignment(context);
}

bool is_used_service(leasing_state const & leasing, std::string_view service)
{
    return leasing.m_services.contains(service);
}

void remove_unregistered_upstreams(step_context & context)
{
    leasing_state & leasing = context.m_state.m_leasing;
    std::size_t const before = leasing.m_upstreams.size();
    lease::effects effects;
    std::erase_if(
        leasing.m_unregistered_since,
        [&](auto const & item)
        {
            if (context.m_now - item.second < unregistered_grace_period)
            {
                return false;
            }
            auto const gone = leasing.m_upstreams.find(item.first);
            if (gone != leasing.m_upstreams.end())
            {
                if (!gone->second.m_definition.m_draining &&
                    !was_reported_draining(leasing, gone->second))
                {
                    observe_crash(context, {item.first, gone->second.m_incarnation});
                    lease::record_departure(leasing.m_sessions, item.first, context.m_now,
                                            effects);
                }
                leasing.m_drain_reports.erase(item.first);
                leasing.m_upstreams.erase(gone);
            }
            context.m_actions.emplace_back(
                log_event{"upstream_gone", item.first, {}, {}});
            return true;
        });
    apply(context, std::move(effects));
    if (leasing.m_upstreams.size() != before)
    {
        compose_configuration(context);
    }
}

void receive_upstreams(step_context & context, upstreams_discovered & discovered)
{
    leasing_state & leasing = context.m_state.m_leasing;
    std::set<std::string_view> listed;
    for (discovered_upstream & upstream : discovered.m_upstreams)
    {
        listed.insert(upstream.m_definition.m_name);
        leasing.m_unregistered_since.erase(upstream.m_definition.m_name);
    }
    for (auto const & [name, upstream] : leasing.m_upstreams)
    {
        if (!listed.contains(name))
        {
            leasing.m_unregistered_since.try_emplace(name, context.m_now);
        }
    }
    bool changed = false;
    for (discovered_upstream & upstream : discovered.m_upstreams)
    {
        discovered_upstream & known = leasing.m_upstreams[upstream.m_definition.m_name];
        if (known != upstream)
        {
            if (known.m_incarnation != 0 && upstream.m_incarnation > known.m_incarnation)
            {
                observe_crash(context, {known.m_definition.m_name, known.m_incarnation});
            }
            bool const has_other_service =
                known.m_definition.m_service != upstream.m_definition.m_service;
            log_registration(context, known, upstream);
            known = std::move(upstream);
            changed = true;
            if (has_other_service && leasing.m_base_configuration &&
                !is_used_service(leasing, known.m_definition.m_service))
            {
                log_unused_service(context, known.m_definition);
            }
        }
    }
    if (changed)
    {
        compose_configuration(context);
    }
}

void change_base_configuration(step_context & context, configuration_changed & changed)
{
    entry_state & state = context.m_state;
    bool const newer =
        changed.m_configuration && (!state.m_leasing.m_base_configuration ||
                                    state.m_leasing.m_base_configuration->m_version <
                                        changed.m_configuration->m_version);
    if (!newer)
    {
        return;
    }
    context.m_actions.emplace_back(
        log_event{"configuration_in_force",
                  std::to_string(changed.m_configuration->m_version),
                  {},
                  {}});
    state.m_leasing.m_base_configuration = std::move(changed.m_configuration);
    state.m_document = std::move(changed.m_document);
    state.m_configuration_requests = {};
    state.m_leasing.m_services.clear();
    for (config::work_kind const & kind : state.m_leasing.m_base_configuration->m_kinds)
    {
        state.m_leasing.m_services.insert(kind.m_service);
    }
    for (auto const & [name, upstream] : state.m_leasing.m_upstreams)
    {
        if (!is_used_service(state.m_leasing, upstream.m_definition.m_service))
        {
            log_unused_service(context, upstream.m_definition);
        }
    }
    compose_configuration(context);
}

} // namespace cassiahub::decision::internal
