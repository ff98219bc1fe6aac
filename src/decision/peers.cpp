#include "decision/context.hpp"
#include "decision/leasing.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/interference/observer.hpp>
#include <cassiahub/lease/sessions.hpp>
#include <cassiahub/membership/members.hpp>
#include <cassiahub/membership/rendezvous.hpp>
#include <cassiahub/ownership/owner.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace cassiahub::decision::internal
{

/// Time between two summaries of interference to the same peer. Evidence loses half of
/// its weight in 5 min, so shorter periods add messages and no knowledge.
constexpr duration summary_period = std::chrono::seconds(10);

void send(step_context & context, instance_id const & to, peer_message message)
{
    auto const & members = context.m_state.m_membership.m_members;
    auto const found = members.find(to);
    if (found != members.end())
    {
        context.m_actions.emplace_back(send_peer{
            to, std::string(membership::address_of(found->second)), std::move(message)});
    }
}

/// Updates the loads of \p peer in the dispatcher.
void set_loads(step_context & context, instance_id const & peer,
               membership::member const & entry, std::vector<dispatch::peer_load> loads)
{
    if (entry.m_report.m_leaving)
    {
        loads.clear(); // its upstreams are being assigned to other instances
    }
    dispatch::set_peer(
        context.m_state.m_dispatch,
        {peer, entry.m_domain, std::move(loads), !entry.m_report.m_leaving});
}

/// Ends the tasks that were forwarded to \p peer and those that run here for it, and
/// marks the requests sent to it to be sent again.
/// \param code code of the logged event.
void remove_peer(step_context & context, instance_id const & peer, std::string_view code)
{
    entry_state const & state = context.m_state;
    dispatch::peer_work const work = dispatch::work_with_peer(state.m_dispatch, peer);
    auto const member = state.m_membership.m_members.find(peer);
    std::int64_t const silent =
        member == state.m_membership.m_members.end()
            ? -1
            : to_milliseconds(context.m_now - member->second.m_report_at);
    context.m_actions.emplace_back(
        log_event{code,
                  peer.m_value,
                  {},
                  fmt::format("silent_ms={} forwarded={} queued_here={} running_here={}",
                              silent, work.m_forwarded, work.m_queued, work.m_running)});
    dispatch::effects effects;
    dispatch::remove_peer(context.m_state.m_dispatch, peer, context.m_now,
                          context.m_random, effects);
    apply(context, std::move(effects));
    mark_requests_for_resend(context, peer);
}

/// Updates shard ownership with the shards that a member reports to own.
void observe_holdings(step_context & context, membership::member const & entry)
{
    ownership::effects effects;
    for (membership::held_shard const & holding : entry.m_report.m_holdings)
    {
        ownership::observe_peer_lease(context.m_state.m_ownership, holding.m_shard,
                                      holding.m_epoch, effects);
    }
    apply(context, std::move(effects));
}

bool is_leaving(entry_state const & state, instance_id const & peer)
{
    auto const found = state.m_membership.m_members.find(peer);
    return found != state.m_membership.m_members.end() &&
           found->second.m_report.m_leaving;
}

bool has_store_contact(entry_state const & state, time_point now)
{
    return state.m_identity.m_leases_upstreams
               ? now - state.m_membership.m_listed_at < membership::max_instance_list_age
               : ownership::has_store_contact(state.m_ownership, now);
}

heartbeat make_heartbeat(step_context const & context)
{
    entry_state const & state = context.m_state;
    heartbeat message;
    message.m_incarnation = state.m_identity.m_incarnation;
    message.m_domain = state.m_identity.m_domain;
    message.m_peer_address = state.m_identity.m_peer_address;
    message.m_sent_at = context.m_now;
    message.m_configuration_version = configuration_version(state);
    message.m_drains_version = state.m_drains.m_version;
    message.m_leaving = state.m_draining;
    message.m_requests_configuration = true;
    message.m_store_contact = has_store_contact(state, context.m_now);
    message.m_held_upstreams = lease::held_upstreams(state.m_leasing.m_sessions);
    message.m_fleet_clock_ms = fleet_clock(state.m_leasing, context.m_now);
    auto const & shards = state.m_ownership.m_shards;
    for (std::uint32_t index = 0; index < shards.size(); ++index)
    {
        if (shards[index].m_phase == ownership::shard_phase::serving)
        {
            message.m_holdings.push_back({index, shards[index].m_epoch});
        }
    }
    message.m_loads = dispatch::current_loads(state.m_dispatch);
    return message;
}

/// Adds the evidence of this instance to a heartbeat when a summary to \p to is due.
void add_summary(step_context & context, instance_id const & to, heartbeat & message)
{
    entry_state & state = context.m_state;
    time_point & next = state.m_next_summary[to];
    if (context.m_now >= next)
    {
        next = context.m_now + summary_period;
        message.m_interference =
            interference::summarize(state.m_dispatch.m_interference, context.m_now);
    }
}

void send_heartbeat(step_context & context, instance_id const & to, heartbeat message)
{
    entry_state & state = context.m_state;
    auto const member = state.m_membership.m_members.find(to);
    message.m_selected = member != state.m_membership.m_members.end() &&
                         membership::is_selected(state.m_membership, member->second);
    auto & reported = state.m_reported_slots[to];
    for (dispatch::peer_load const & load : message.m_loads)
    {
        reported[load.m_service] = load.m_free_slots;
    }
    message.m_draining_upstreams = find_draining_upstreams(state, to);
    add_summary(context, to, message);
    send(context, to, std::move(message));
}

void receive_heartbeat(step_context & context, instance_id const & from,
                       heartbeat message)
{
    entry_state & state = context.m_state;
    membership::member_report report{message.m_incarnation,
                                     std::move(message.m_domain),
                                     std::move(message.m_peer_address),
                                     message.m_sent_at,
                                     message.m_configuration_version,
                                     message.m_leaving,
                                     message.m_store_contact,
                                     {},
                                     std::move(message.m_held_upstreams),
                                     message.m_selected,
                                     message.m_drains_version,
                                     message.m_requests_configuration};
    for (shard_holding const & holding : message.m_holdings)
    {
        report.m_holdings.push_back({holding.m_shard, holding.m_epoch});
    }
    if (message.m_fleet_clock_ms > 0)
    {
        receive_clock(context, message.m_fleet_clock_ms);
    }
    bool const was_leaving = is_leaving(state, from);
    membership::report_effect const effect = membership::receive_report(
        state.m_membership, from, std::move(report), context.m_now);
    if (effect == membership::report_effect::ignored)
    {
        return;
    }
    if (effect == membership::report_effect::restarted)
    {
        remove_peer(context, from, "peer_restarted");
    }
    if (effect != membership::report_effect::refreshed ||
        was_leaving != is_leaving(state, from))
    {
        schedule_upstream_assignment(context);
    }
    membership::member const & entry = state.m_membership.m_members.at(from);
    lease::extend_lease_limits(state.m_leasing.m_sessions, entry.m_report.m_incarnation,
                               entry.m_alive_at);
    receive_draining_upstreams(context, from, message.m_draining_upstreams);
    set_loads(context, from, entry, std::move(message.m_loads));
    if (!message.m_interference.m_pairs.empty())
    {
        interference::merge(state.m_dispatch.m_interference, from,
                            std::move(message.m_interference), context.m_now);
    }
    if (entry.m_domain == state.m_identity.m_domain &&
        !state.m_identity.m_leases_upstreams)
    {
        if (effect != membership::report_effect::refreshed)
        {
            ownership::effects effects;
            ownership::send_unrecorded_keys(state.m_ownership, from, effects);
            apply(context, std::move(effects));
        }
        observe_holdings(context, entry);
    }
    // Before the configuration, without which the peer starts no task.
    send_drained_domains(context, from, entry.m_report);
    exchange_configuration(context, from, entry.m_report);
    if (effect != membership::report_effect::refreshed)
    {
        // The peer claims nothing before it knows what this instance holds.
        send_heartbeat(context, from, make_heartbeat(context));
        send_known_losses(context, from);
    }
}

void receive_load_report(step_context & context, instance_id const & from,
                         dispatch::peer_load load)
{
    membership::member const * const entry =
        membership::find_live(context.m_state.m_membership, from);
    if (entry != nullptr && !entry->m_report.m_leaving)
    {
        dispatch::update_peer_load(context.m_state.m_dispatch, from, std::move(load));
    }
}

void handle_disconnect(step_context & context, instance_id const & peer)
{
    entry_state & state = context.m_state;
    auto const known = state.m_dispatch.m_peers.find(peer);
    bool const live = membership::find_live(state.m_membership, peer) != nullptr;
    dispatch::peer_capacity capacity;
    bool const restore = live && known != state.m_dispatch.m_peers.end();
    if (restore)
    {
        capacity = known->second.m_capacity;
    }
    // Results in flight may be lost, so the outcome of forwarded tasks is unknown.
    remove_peer(context, peer, "peer_disconnected");
    forget_configuration_request(state, peer);
    if (restore)
    {
        dispatch::set_peer(state.m_dispatch, std::move(capacity));
        send_known_losses(context, peer);
    }
}

void receive_instance_list(step_context & context, instances_listed const & listed)
{
    entry_state & state = context.m_state;
    std::vector<membership::listed_member> entries;
    std::set<std::string> upstreams;
    for (listed_instance const & item : listed.m_instances)
    {
        if (item.m_is_entry)
        {
            entries.push_back({{item.m_name},
                               item.m_domain,
                               item.m_address,
                               item.m_leaving,
                               item.m_row_version,
                               item.m_age});
            continue;
        }
        upstreams.insert(item.m_name);
        bool const was_leaving = state.m_leaving_upstreams.contains(item.m_name);
        bool const is_new = !state.m_listed_upstreams.contains(item.m_name);
        if (item.m_leaving)
        {
            state.m_leaving_upstreams.insert(item.m_name);
            dispatch::set_upstream_leaving(state.m_dispatch, item.m_name, true);
        }
        else if (was_leaving || is_new)
        {
            // Only a change in the list is applied: the list lags, so an unchanged row
            // must not override what the upstream itself has announced since.
            state.m_leaving_upstreams.erase(item.m_name);
            dispatch::set_upstream_leaving(state.m_dispatch, item.m_name, false);
        }
    }
    state.m_listed_upstreams = std::move(upstreams);
    std::size_t const known = state.m_membership.m_members.size();
    membership::update_listed_members(state.m_membership, entries, context.m_now);
    if (state.m_membership.m_members.size() != known)
    {
        state.m_membership.m_next_domain_heartbeat = {};
        state.m_next_scan = context.m_now;
    }
}

/// Sets the upstreams that this instance owns, by rendezvous hashing over the candidates.
void assign_upstreams(step_context & context)
{
    entry_state & state = context.m_state;
    std::string const & self = state.m_identity.m_instance.m_value;
    std::vector<std::string> owned;
    for (config::upstream const & upstream :
         state.m_dispatch.m_configuration->m_upstreams)
    {
        if (upstream.m_domain == state.m_identity.m_domain &&
            !state.m_upstream_candidates.empty() &&
            state.m_upstream_candidates[membership::rendezvous_choice(
                state.m_upstream_candidates, upstream.m_name)] == self)
        {
            owned.push_back(upstream.m_name);
        }
    }
    dispatch::set_owned_upstreams(state.m_dispatch, owned);
    for (std::string const & name : state.m_leaving_upstreams)
    {
        dispatch::set_upstream_leaving(state.m_dispatch, name, true);
    }
}

/// Updates shard ownership with the live members and the shards that this instance should
/// own.
void update_preferred_shards(step_context & context)
{
    entry_state & state = context.m_state;
    auto const count = static_cast<std::uint32_t>(state.m_ownership.m_shards.size());
    std::vector<std::size_t> const owners =
        membership::assign_shards(state.m_shard_candidates, count);
    std::vector<std::uint32_t> preferred;
    for (std::uint32_t shard = 0; shard < owners.size(); ++shard)
    {
        if (state.m_shard_candidates[owners[shard]] ==
            state.m_identity.m_instance.m_value)
        {
            preferred.push_back(shard);
        }
    }
    ownership::effects effects;
    ownership::set_peers_and_preferred_shards(
        state.m_ownership,
        membership::live_members(state.m_membership, state.m_identity.m_domain),
        preferred, context.m_now, effects);
    apply(context, std::move(effects));
}

/// Live members of the domain that may own its upstreams and shards, sorted. A draining
/// instance is only included when there is no other member.
struct assignment_candidates
{
    std::vector<std::string> m_upstream_candidates;
    /// Only those that reach the store, or all if none does.
    std::vector<std::string> m_shard_candidates;
};

assignment_candidates find_candidates(step_context const & context)
{
    entry_state const & state = context.m_state;
    assignment_candidates candidates;
    std::vector<std::string> with_store;
    for (instance_id const & id :
         membership::live_members(state.m_membership, state.m_identity.m_domain))
    {
        candidates.m_upstream_candidates.push_back(id.m_value);
        if (state.m_membership.m_members.at(id).m_report.m_store_contact)
        {
            with_store.push_back(id.m_value);
        }
    }
    if (!state.m_draining || candidates.m_upstream_candidates.empty())
    {
        candidates.m_upstream_candidates.push_back(state.m_identity.m_instance.m_value);
    }
    if (!state.m_draining &&
        ownership::has_store_contact(state.m_ownership, context.m_now))
    {
        with_store.push_back(state.m_identity.m_instance.m_value);
    }
    std::sort(candidates.m_upstream_candidates.begin(),
              candidates.m_upstream_candidates.end());
    std::sort(with_store.begin(), with_store.end());
    candidates.m_shard_candidates =
        with_store.empty() ? candidates.m_upstream_candidates : with_store;
    return candidates;
}

/// Assigns upstreams and shards again when the candidates or the live members have
/// changed.
void update_assignments(step_context & context)
{
    entry_state & state = context.m_state;
    time_point & started = state.m_membership.m_started_at;
    if (started == time_point())
    {
        started = context.m_now;
    }
    bool const discovering = state.m_identity.m_leases_upstreams ||
                             context.m_now - started < membership::discovery_time;
    if (discovering || !state.m_dispatch.m_configuration)
    {
        return;
    }
    assignment_candidates candidates = find_candidates(context);
    if (!state.m_assignments_valid ||
        candidates.m_upstream_candidates != state.m_upstream_candidates)
    {
        state.m_upstream_candidates = std::move(candidates.m_upstream_candidates);
        assign_upstreams(context);
    }
    if (!state.m_assignments_valid ||
        candidates.m_shard_candidates != state.m_shard_candidates ||
        state.m_ownership.m_peers !=
            membership::live_members(state.m_membership, state.m_identity.m_domain))
    {
        state.m_shard_candidates = std::move(candidates.m_shard_candidates);
        update_preferred_shards(context);
    }
    state.m_assignments_valid = true;
}

void change_configuration(step_context & context, configuration_changed & changed)
{
    entry_state & state = context.m_state;
    if (!changed.m_configuration ||
        configuration_version(state) >= changed.m_configuration->m_version)
    {
        return;
    }
    config::failure_domain const * const domain =
        config::find_domain(*changed.m_configuration, state.m_identity.m_domain);
    if (domain != nullptr)
    {
        ownership::configure(state.m_ownership, domain->m_shards,
                             changed.m_configuration->m_dispatch.m_resubmission_window);
    }
    state.m_document = std::move(changed.m_document);
    state.m_configuration_requests = {};
    dispatch::apply_configuration(state.m_dispatch, std::move(changed.m_configuration),
                                  context.m_now);
    state.m_assignments_valid = false;
    update_assignments(context);
}

/// Ends the work for instances that may have failed while this one was suspended. They
/// have more time until they count as failed, but by then their callers have submitted
/// the jobs again.
void end_work_for_silent_peers(step_context & context)
{
    entry_state & state = context.m_state;
    for (instance_id const & silent :
         membership::silent_members(state.m_membership, context.m_now))
    {
        dispatch::effects effects;
        dispatch::end_work_for(state.m_dispatch, silent, effects);
        if (!effects.m_cancels.empty() || !effects.m_forward_results.empty())
        {
            time_point const alive_at =
                state.m_membership.m_members.at(silent).m_alive_at;
            context.m_actions.emplace_back(log_event{
                "peer_silent",
                silent.m_value,
                {},
                fmt::format("silent_ms={} refused={} stopped={}",
                            to_milliseconds(context.m_now - alive_at),
                            effects.m_forward_results.size(), effects.m_cancels.size())});
        }
        apply(context, std::move(effects));
    }
}

void advance_peers(step_context & context)
{
    entry_state & state = context.m_state;
    for (instance_id const & failed :
         membership::expire_members(state.m_membership, context.m_now))
    {
        state.m_reported_slots.erase(failed);
        state.m_next_summary.erase(failed);
        state.m_next_configuration_notice.erase(failed);
        remove_peer(context, failed, "peer_failed");
        schedule_upstream_assignment(context);
    }
    if (context.m_state.m_identity.m_leases_upstreams)
    {
        end_work_for_silent_peers(context);
    }
    update_assignments(context);
    std::vector<instance_id> const due = membership::schedule_heartbeats(
        state.m_membership, context.m_now, context.m_random);
    if (!due.empty())
    {
        heartbeat const message = make_heartbeat(context);
        for (instance_id const & peer : due)
        {
            send_heartbeat(context, peer, message);
        }
    }
    send_load_reports(context);
}

} // namespace cassiahub::decision::internal
