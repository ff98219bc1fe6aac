#include "decision/context.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace cassiahub::decision::internal
{

namespace
{

/// Minimum time between two notices to the same peer. A notice is lost only with its
/// session.
constexpr duration notice_period = std::chrono::seconds(1);
/// Delay before a notice to a peer that reaches the store, which normally tells it of the
/// change itself. Short compared with the 5 s within which a drain must be in force.
constexpr duration store_delay = std::chrono::milliseconds(300);
/// Shortest time without a step after which a change may have been missed. The watch of
/// the store returns at least once in this time, and a drain has 5 s to take effect.
constexpr duration suspension_gap = std::chrono::milliseconds(1000);
/// Longest time for which starts wait for the store after a suspension. Callers time out
/// after 1.5 s; a store that answers does so within a few hundred milliseconds.
constexpr duration max_confirmation_wait = std::chrono::milliseconds(1000);

/// Logs each domain of \p domains that \p others lacks.
void log_difference(step_context & context, std::string_view code,
                    std::set<std::string, std::less<>> const & domains,
                    std::set<std::string, std::less<>> const & others,
                    std::string const & detail)
{
    for (std::string const & domain : domains)
    {
        if (!others.contains(domain))
        {
            context.m_actions.emplace_back(log_event{code, domain, {}, detail});
        }
    }
}

/// Puts \p domains in force.
void change_domains(step_context & context, std::span<std::string const> domains,
                    std::uint64_t version, std::string_view source)
{
    entry_state & state = context.m_state;
    state.m_drains.m_version = version;
    std::set<std::string, std::less<>> changed(domains.begin(), domains.end());
    if (changed == state.m_drains.m_domains)
    {
        return;
    }
    std::string const detail = fmt::format("version={} source={}", version, source);
    log_difference(context, "domain_drained", changed, state.m_drains.m_domains, detail);
    log_difference(context, "domain_restored", state.m_drains.m_domains, changed, detail);
    state.m_drains.m_domains = std::move(changed);
    dispatch::set_drained_domains(state.m_dispatch, domains);
    // The peers learn the version and the changed capacity on the next scan.
    state.m_membership.m_next_domain_heartbeat = {};
    state.m_membership.m_next_remote_heartbeat = {};
}

} // namespace

void receive_drained_domains(step_context & context, domains_drained const & drained)
{
    drain_state & drains = context.m_state.m_drains;
    drains.m_confirmed_at = std::max(drains.m_confirmed_at, drained.m_asked_at);
    if (drained.m_version > drains.m_version ||
        (drained.m_replaces && drained.m_version != drains.m_version))
    {
        change_domains(context, drained.m_domains, drained.m_version, "store");
    }
}

void receive_drained_domains(step_context & context, instance_id const & from,
                             drained_domains_notice const & notice)
{
    if (notice.m_version > context.m_state.m_drains.m_version)
    {
        change_domains(context, notice.m_domains, notice.m_version,
                       "peer from=" + from.m_value);
    }
}

void send_drained_domains(step_context & context, instance_id const & peer,
                          membership::member_report const & report)
{
    drain_state & drains = context.m_state.m_drains;
    if (!report.m_drains_version || *report.m_drains_version >= drains.m_version)
    {
        drains.m_next_notice.erase(peer);
        return;
    }
    duration const wait = report.m_store_contact ? store_delay : duration::zero();
    auto const next = drains.m_next_notice.try_emplace(peer, context.m_now + wait).first;
    if (context.m_now < next->second)
    {
        return;
    }
    next->second = context.m_now + notice_period;
    send(context, peer,
         drained_domains_notice{drains.m_version,
                                {drains.m_domains.begin(), drains.m_domains.end()}});
}

void detect_missed_drains(entry_state & state, time_point now) noexcept
{
    if (state.m_now != time_point() && now - state.m_now > suspension_gap)
    {
        state.m_drains.m_resumed_at = now;
    }
}

bool may_miss_drains(entry_state const & state, time_point now) noexcept
{
    drain_state const & drains = state.m_drains;
    return drains.m_version != 0 && drains.m_resumed_at != time_point() &&
           drains.m_confirmed_at < drains.m_resumed_at &&
           now - drains.m_resumed_at < max_confirmation_wait;
}

} // namespace cassiahub::decision::internal
