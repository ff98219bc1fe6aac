#include "decision/context.hpp"
#include "decision/leasing.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/decision/step.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/lease/sessions.hpp>
#include <cassiahub/membership/members.hpp>
#include <cassiahub/ownership/owner.hpp>

#include <algorithm>
#include <utility>

namespace cassiahub::decision
{

namespace internal
{

ownership::stored_row to_stored_row(table_row const & row)
{
    return {row.m_name, row.m_version, row.m_value};
}

write_store to_action(ownership::store_write write)
{
    write_store result{write.m_request, std::move(write.m_write_id), {}};
    for (ownership::row_change & row : write.m_rows)
    {
        result.m_rows.push_back(
            {std::move(row.m_name), row.m_expected_version, std::move(row.m_value)});
    }
    return result;
}

ownership::store_result to_result(store_outcome outcome) noexcept
{
    switch (outcome)
    {
    case store_outcome::done:
        return ownership::store_result::done;
    case store_outcome::conflict:
        return ownership::store_result::conflict;
    case store_outcome::unavailable:
        return ownership::store_result::unavailable;
    }
    return ownership::store_result::unavailable;
}

void handle(step_context & context, caller_request & request)
{
    context.m_state.m_callers.insert(request.m_caller);
    handle_request(context, {request.m_caller, {}, 0, false}, request.m_operation,
                   std::move(request.m_spec));
}

void handle(step_context & context, routed_request & request)
{
    context.m_state.m_callers.insert(request.m_caller);
    handle_routed(context, request);
}

void handle(step_context & context, caller_disconnected & gone)
{
    if (context.m_state.m_callers.erase(gone.m_caller) > 0)
    {
        // A recorded job continues: the caller may submit it again to get the answer.
        cancel_abandoned_job(context, gone.m_caller);
    }
}

void finish_attempt(step_context & context, dispatch::attempt_result result)
{
    dispatch::effects effects;
    dispatch::finish_attempt(context.m_state.m_dispatch, std::move(result), context.m_now,
                             context.m_random, effects);
    apply(context, std::move(effects));
}

void handle(step_context & context, attempt_finished & finished)
{
    finish_attempt(context, std::move(finished.m_result));
}

void handle_message(step_context & context, instance_id const & from,
                    forward_request & message)
{
    membership::record_request(context.m_state.m_membership, from, context.m_now);
    handle_request(context, {0, from, message.m_request, false}, message.m_operation,
                   std::move(message.m_spec));
}

void handle_message(step_context & context, instance_id const & from,
                    request_answered & message)
{
    receive_answer(context, from, std::move(message));
}

void refuse_forwarded_task(step_context & context, instance_id const & from,
                           dispatch::attempt_start const & task)
{
    context.m_actions.emplace_back(
        log_event{"forward_refused", task.m_job.m_key, {}, "from=" + from.m_value});
    send(context, from,
         task_reported{{task.m_attempt, dispatch::attempt_outcome::not_run, {}, false}});
}

void handle_message(step_context & context, instance_id const & from,
                    forward_task & message)
{
    if (context.m_state.m_identity.m_leases_upstreams &&
        membership::find_live(context.m_state.m_membership, from) == nullptr)
    {
        // Its caller may have submitted the job again already, and nothing would show
        // when a run for it has to end.
        refuse_forwarded_task(context, from, message.m_start);
        return;
    }
    membership::record_request(context.m_state.m_membership, from, context.m_now);
    dispatch::effects effects;
    dispatch::accept_forwarded(context.m_state.m_dispatch, from,
                               std::move(message.m_start), context.m_now, effects);
    apply(context, std::move(effects));
}

void handle_message(step_context & context, instance_id const &, task_reported & message)
{
    finish_attempt(context, std::move(message.m_result));
}

void handle_message(step_context & context, instance_id const &, cancel_task & message)
{
    dispatch::effects effects;
    dispatch::cancel_forwarded(context.m_state.m_dispatch, message.m_attempt,
                               context.m_now, effects);
    apply(context, std::move(effects));
}

void handle_message(step_context & context, instance_id const & from, heartbeat & message)
{
    receive_heartbeat(context, from, std::move(message));
}

void handle_message(step_context & context, instance_id const & from,
                    load_report & message)
{
    receive_load_report(context, from, std::move(message.m_load));
}

void handle_message(step_context & context, instance_id const & from,
                    key_notice & message)
{
    membership::member const * const sender =
        membership::find_live(context.m_state.m_membership, from);
    std::uint64_t const epoch =
        sender == nullptr ? 0 : membership::held_epoch(*sender, message.m_shard);
    ownership::effects effects;
    if (ownership::receive_notice(context.m_state.m_ownership, message.m_shard, epoch,
                                  message.m_keys, context.m_now, effects))
    {
        send(context, from, key_notice_received{message.m_request});
    }
    apply(context, std::move(effects));
}

void handle_message(step_context & context, instance_id const & from,
                    key_notice_received & message)
{
    ownership::effects effects;
    ownership::receive_acknowledgement(context.m_state.m_ownership, from,
                                       message.m_request, effects);
    apply(context, std::move(effects));
}

void handle_message(step_context & context, instance_id const & from,
                    configuration_request const & message)
{
    receive_configuration_request(context, from, message);
}

void handle_message(step_context & context, instance_id const & from,
                    configuration_notice & message)
{
    receive_configuration(context, from, message);
}

void handle_message(step_context & context, instance_id const & from,
                    drained_domains_notice & message)
{
    receive_drained_domains(context, from, message);
}

void handle_message(step_context & context, instance_id const &, loss_notice & message)
{
    receive_loss(context, message.m_loss);
}

void handle_message(step_context & context, instance_id const & from,
                    capacity_request & message)
{
    receive_capacity_request(context, from, message.m_service);
}

void handle(step_context & context, peer_message_received & received)
{
    std::visit([&](auto & message) { handle_message(context, received.m_from, message); },
               received.m_message);
}

void handle(step_context & context, peer_disconnected & disconnected)
{
    handle_disconnect(context, disconnected.m_peer);
}

void handle(step_context & context, store_reply & reply)
{
    std::vector<ownership::stored_row> rows;
    rows.reserve(reply.m_rows.size());
    for (table_row const & row : reply.m_rows)
    {
        rows.push_back(to_stored_row(row));
    }
    ownership::effects effects;
    ownership::receive_store_reply(context.m_state.m_ownership, reply.m_request,
                                   to_result(reply.m_outcome), rows, context.m_now,
                                   effects);
    apply(context, std::move(effects));
}

void handle(step_context & context, instances_listed & listed)
{
    receive_instance_list(context, listed);
}

void handle(step_context & context, configuration_changed & changed)
{
    if (context.m_state.m_identity.m_leases_upstreams)
    {
        change_base_configuration(context, changed);
    }
    else
    {
        change_configuration(context, changed);
    }
}

void handle(step_context & context, configuration_confirmed const & confirmed)
{
    time_point & confirmed_at = context.m_state.m_leasing.m_configuration_confirmed_at;
    confirmed_at = std::max(confirmed_at, confirmed.m_asked_at);
}

void handle(step_context & context, domains_drained & drained)
{
    receive_drained_domains(context, drained);
}

void handle(step_context & context, upstreams_discovered & discovered)
{
    receive_upstreams(context, discovered);
}

void handle(step_context & context, fleet_clock_read & reading)
{
    receive_clock(context, reading.m_milliseconds);
}

void handle(step_context & context, upstream_replied const & replied)
{
    receive_reply(context, replied.m_reply);
}

void handle(step_context &, tick &) {}

void handle(step_context & context, drain_requested &)
{
    context.m_state.m_draining = true;
    ownership::begin_drain(context.m_state.m_ownership, context.m_now);
    // Heartbeats announce the drain on the next scan instead of at the end of the period.
    context.m_state.m_membership.m_next_domain_heartbeat = {};
    context.m_state.m_membership.m_next_remote_heartbeat = {};
}

void handle(step_context & context, drain_expired &)
{
    abort_all_requests(context);
}

void advance(step_context & context)
{
    entry_state & state = context.m_state;
    if (context.m_now >= state.m_next_scan)
    {
        state.m_next_scan = context.m_now + scan_period;
        advance_peers(context);
        advance_requests(context);
        expire_callers(context);
    }
    if (state.m_identity.m_leases_upstreams)
    {
        advance_leases(context);
    }
    else
    {
        ownership::effects ownership_effects;
        ownership::advance(state.m_ownership, context.m_now, ownership_effects);
        apply(context, std::move(ownership_effects));
    }
    dispatch::effects dispatch_effects;
    if (state.m_identity.m_leases_upstreams &&
        (membership::is_catching_up(state.m_membership, context.m_now) ||
         may_miss_drains(state, context.m_now)))
    {
        // Callers may have left, and submitted their jobs elsewhere, in the suspension.
        dispatch::advance_timers(state.m_dispatch, context.m_now, context.m_random,
                                 dispatch_effects);
    }
    else
    {
        dispatch::advance(state.m_dispatch, context.m_now, context.m_random,
                          dispatch_effects);
    }
    apply(context, std::move(dispatch_effects));
}

void check_routes(entry_state const & state, std::vector<std::string_view> & broken)
{
    std::size_t reachable = 0;
    auto const count = [&state, &reachable](answer_route const & route)
    {
        reachable +=
            route.m_peer.m_value.empty() && state.m_callers.contains(route.m_caller) ? 1
                                                                                     : 0;
    };
    for (auto const & [key, job] : state.m_open_jobs)
    {
        std::for_each(job.m_answer_routes.begin(), job.m_answer_routes.end(), count);
    }
    for (auto const & [number, request] : state.m_forwarded)
    {
        count(request.m_route);
    }
    if (reachable != state.m_callers.size())
    {
        broken.emplace_back("caller_without_route_to_its_answer");
    }
}

void check_open_records(entry_state const & state, std::vector<std::string_view> & broken)
{
    for (ownership::shard_state const & shard : state.m_ownership.m_shards)
    {
        for (auto const & [key, entry] : shard.m_records)
        {
            bool const open = entry.m_phase == ownership::record_phase::pending ||
                              entry.m_phase == ownership::record_phase::admitted;
            auto const job = state.m_open_jobs.find(key);
            if (open && job == state.m_open_jobs.end())
            {
                broken.emplace_back("open_record_without_open_job");
            }
            else if (entry.m_phase == ownership::record_phase::pending &&
                     job->second.m_queued)
            {
                broken.emplace_back("job_queued_before_its_record");
            }
        }
    }
}

} // namespace internal

/// Time after which a silent instance counts as failed where upstreams are leased.
/// Callers submit an unrecorded job again 1.3 s after their connection was lost; by then
/// the peers must have detected the failure and stopped the job's runs.
constexpr duration leased_failure_timeout = std::chrono::milliseconds(1000);

entry_state make_entry_state(entry_identity identity)
{
    entry_state state;
    state.m_dispatch.m_incarnation = identity.m_incarnation;
    state.m_dispatch.m_domain = identity.m_domain;
    state.m_membership.m_self = identity.m_instance;
    state.m_membership.m_domain = identity.m_domain;
    state.m_ownership.m_self = identity.m_instance;
    state.m_ownership.m_incarnation = identity.m_incarnation;
    state.m_ownership.m_domain = identity.m_domain;
    if (identity.m_leases_upstreams)
    {
        state.m_membership.m_spans_domains = true;
        state.m_membership.m_failure_timeout = leased_failure_timeout;
    }
    // An answer to a request of an earlier incarnation must not match a new request.
    state.m_next_request = identity.m_incarnation;
    state.m_identity = std::move(identity);
    return state;
}

void step(entry_state & state, event occurred, time_point now, random_source & random,
          std::vector<action> & actions)
{
    internal::detect_missed_drains(state, now);
    state.m_now = now;
    ownership::detect_suspension(state.m_ownership, now);
    lease::detect_gap(state.m_leasing.m_sessions, now);
    internal::step_context context{state, now, random, actions};
    std::size_t const first_action = actions.size();
    std::visit([&context](auto & occurrence) { internal::handle(context, occurrence); },
               occurred);
    internal::advance(context);
    if (state.m_identity.m_leases_upstreams)
    {
        internal::advance_capacity_requests(context);
        internal::append_load_reports(context, first_action);
    }
}

std::vector<std::string_view> check_invariants(entry_state const & state)
{
    std::vector<std::string_view> broken = dispatch::check_invariants(state.m_dispatch);
    for (std::string_view const name : membership::check_invariants(state.m_membership))
    {
        broken.push_back(name);
    }
    for (std::string_view const name : ownership::check_invariants(state.m_ownership))
    {
        broken.push_back(name);
    }
    for (std::string_view const name :
         lease::check_invariants(state.m_leasing.m_sessions))
    {
        broken.push_back(name);
    }
    internal::check_routes(state, broken);
    internal::check_open_records(state, broken);
    return broken;
}

bool is_idle(entry_state const & state) noexcept
{
    return state.m_draining && state.m_open_jobs.empty() && state.m_forwarded.empty() &&
           !dispatch::serves_peers(state.m_dispatch) &&
           state.m_leasing.m_sessions.m_sessions.empty() &&
           ownership::is_drain_complete(state.m_ownership, state.m_now);
}

} // namespace cassiahub::decision
