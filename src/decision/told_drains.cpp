#include "decision/leasing.hpp"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace cassiahub::decision::internal
{

namespace
{

/// Time for which the word of a peer counts; several heartbeats.
constexpr duration told_drain_time = std::chrono::seconds(3);

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
                            !is_told_to_drain(context, known->second);
        leasing.m_told_drains[upstream.m_name] = {upstream.m_incarnation,
                                                  context.m_now + told_drain_time};
        if (is_new)
        {
            changed = true;
            context.m_actions.emplace_back(
                log_event{"upstream_draining_told",
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

void expire_told_drains(step_context & context)
{
    leasing_state & leasing = context.m_state.m_leasing;
    bool changed = false;
    for (auto & [name, told] : leasing.m_told_drains)
    {
        if (told.m_until != time_point() && told.m_until <= context.m_now)
        {
            told.m_until = {};
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

bool is_told_to_drain(step_context const & context, discovered_upstream const & upstream)
{
    leasing_state const & leasing = context.m_state.m_leasing;
    auto const told = leasing.m_told_drains.find(upstream.m_definition.m_name);
    return told != leasing.m_told_drains.end() &&
           told->second.m_incarnation == upstream.m_incarnation &&
           context.m_now < told->second.m_until;
}

bool was_told_to_drain(leasing_state const & leasing,
                       discovered_upstream const & upstream)
{
    auto const told = leasing.m_told_drains.find(upstream.m_definition.m_name);
    return told != leasing.m_told_drains.end() &&
           told->second.m_incarnation == upstream.m_incarnation;
}

} // namespace cassiahub::decision::internal
