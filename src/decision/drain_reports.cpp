#include "decision/leasing.hpp"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace cassiahub::decision::internal
{

namespace
{

/// Time for which a report counts unless it is repeated; several heartbeats.
constexpr duration report_lifetime = std::chrono::seconds(3);

} // namespace

std::vector<dispatch::upstream_identity>
find_draining_upstreams(entry_state const & state, instance_id const & peer)
{
    std::vector<dispatch::upstream_identity> draining;
    auto const member = state.m_membership.m_members.find(peer);
    if (member == state.m_membership.m_members.end())
    {
        return draining;
    }
    auto const & upstreams = state.m_leasing.m_upstreams;
    for (std::string const & name : member->second.m_report.m_held_upstreams)
    {
        auto const known = upstreams.find(name);
        if (known != upstreams.end() && known->second.m_definition.m_draining)
        {
            draining.push_back({name, known->second.m_incarnation});
        }
    }
    return draining;
}

void receive_draining_upstreams(step_context & context, instance_id const & from,
                                std::span<dispatch::upstream_identity const> upstreams)
{
    leasing_state & leasing = context.m_state.m_leasing;
    bool changed = false;
    for (dispatch::upstream_identity const & upstream : upstreams)
    {
        auto const known = leasing.m_upstreams.find(upstream.m_name);
        if (known == leasing.m_upstreams.end() ||
            known->second.m_incarnation != upstream.m_incarnation)
        {
            continue;
        }
        bool const is_new = !known->second.m_definition.m_draining &&
                            !is_reported_draining(context, known->second);
        leasing.m_drain_reports[upstream.m_name] = {upstream.m_incarnation,
                                                    context.m_now + report_lifetime};
        if (is_new)
        {
            changed = true;
            context.m_actions.emplace_back(
                log_event{"upstream_drain_reported",
                          upstream.m_name,
                          {},
                          fmt::format("from={} incarnation={}", from.m_value,
                                      upstream.m_incarnation)});
        }
    }
    if (changed)
    {
        compose_configuration(context);
    }
}

void expire_drain_reports(step_context & context)
{
    leasing_state & leasing = context.m_state.m_leasing;
    bool changed = false;
    for (auto & [name, report] : leasing.m_drain_reports)
    {
        if (report.m_expires_at != time_point() && report.m_expires_at <= context.m_now)
        {
            report.m_expires_at = {};
            auto const known = leasing.m_upstreams.find(name);
            changed = changed || (known != leasing.m_upstreams.end() &&
                                  !known->second.m_definition.m_draining);
        }
    }
    if (changed)
    {
        compose_configuration(context);
    }
}

bool is_reported_draining(step_context const & context,
                          discovered_upstream const & upstream)
{
    leasing_state const & leasing = context.m_state.m_leasing;
    auto const report = leasing.m_drain_reports.find(upstream.m_definition.m_name);
    return report != leasing.m_drain_reports.end() &&
           report->second.m_incarnation == upstream.m_incarnation &&
           context.m_now < report->second.m_expires_at;
}

bool was_reported_draining(leasing_state const & leasing,
                           discovered_upstream const & upstream)
{
    auto const report = leasing.m_drain_reports.find(upstream.m_definition.m_name);
    return report != leasing.m_drain_reports.end() &&
           report->second.m_incarnation == upstream.m_incarnation;
}

} // namespace cassiahub::decision::internal
