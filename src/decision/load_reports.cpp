#include "decision/context.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/membership/members.hpp>

#include <algorithm>
#include <span>

namespace cassiahub::decision::internal
{

namespace
{

/// Minimum time between two load reports. From the third peer in the domain on,
/// load_report_period_per_peer makes the period longer, which keeps load reports below
/// 48 messages a second.
constexpr duration min_load_report_period = std::chrono::milliseconds(50);
constexpr duration load_report_period_per_peer = std::chrono::milliseconds(21);
/// As load_report_period_per_peer, for leased upstreams. Shorter, because short tasks on
/// few slots make load reports outdated sooner: at most 100 messages a second, beside the
/// reports that accompany tasks (append_load_reports()).
constexpr duration leased_load_report_period_per_peer = std::chrono::milliseconds(10);

/// Sends a load report to \p peer for each service for which it was told another number
/// of free slots.
void report_loads(step_context & context, instance_id const & peer,
                  std::span<dispatch::peer_load const> loads)
{
    auto & reported = context.m_state.m_reported_slots[peer];
    for (dispatch::peer_load const & load : loads)
    {
        std::uint32_t & slots = reported[load.m_service];
        if (slots != load.m_free_slots)
        {
            slots = load.m_free_slots;
            send(context, peer, load_report{load});
        }
    }
}

/// \returns true when the free slots of some service have changed since reports were last
/// due.
bool has_changed(entry_state const & state, std::span<dispatch::peer_load const> loads)
{
    return std::any_of(
        loads.begin(), loads.end(),
        [&state](dispatch::peer_load const & load)
        {
            auto const last = state.m_last_reported_slots.find(load.m_service);
            return load.m_free_slots !=
                   (last == state.m_last_reported_slots.end() ? 0 : last->second);
        });
}

} // namespace

void send_load_reports(step_context & context)
{
    entry_state & state = context.m_state;
    if (context.m_now < state.m_next_load_report)
    {
        return;
    }
    std::vector<dispatch::peer_load> const loads =
        dispatch::current_loads(state.m_dispatch);
    if (!has_changed(state, loads))
    {
        return;
    }
    std::vector<instance_id> const peers = membership::near_members(state.m_membership);
    bool const leased = state.m_identity.m_leases_upstreams;
    duration const period =
        (leased ? leased_load_report_period_per_peer : load_report_period_per_peer) *
        peers.size();
    state.m_next_load_report =
        context.m_now +
        std::max<duration>(leased ? scan_period : min_load_report_period, period);
    for (dispatch::peer_load const & load : loads)
    {
        state.m_last_reported_slots[load.m_service] = load.m_free_slots;
    }
    if (period >= membership::near_heartbeat_period(state.m_membership))
    {
        return; // heartbeats report the load at least as often as load reports would
    }
    for (instance_id const & peer : peers)
    {
        report_loads(context, peer, loads);
    }
}

void append_load_reports(step_context & context, std::size_t first_action)
{
    std::vector<instance_id> peers;
    for (std::size_t index = first_action; index < context.m_actions.size(); ++index)
    {
        auto const * const sent = std::get_if<send_peer>(&context.m_actions[index]);
        bool const carries_task =
            sent != nullptr && (std::holds_alternative<forward_task>(sent->m_message) ||
                                std::holds_alternative<task_reported>(sent->m_message));
        if (carries_task &&
            std::find(peers.begin(), peers.end(), sent->m_to) == peers.end())
        {
            peers.push_back(sent->m_to);
        }
    }
    if (peers.empty())
    {
        return;
    }
    std::vector<dispatch::peer_load> const loads =
        dispatch::current_loads(context.m_state.m_dispatch);
    for (instance_id const & peer : peers)
    {
        report_loads(context, peer, loads);
    }
}

} // namespace cassiahub::decision::internal
