#include "entry/duties.hpp"

#include <cassiahub/dispatch.hpp>
#include <cassiahub/lease.hpp>
#include <cassiahub/membership.hpp>
#include <cassiahub/ownership.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cassiahub::entry
{

namespace internal
{

/// Longest wait for events before a tick; bounds how late an expired deadline is
/// detected.
constexpr duration tick_period = std::chrono::milliseconds(20);

/// Target of the actions, and the events that report actions which could not be queued.
struct action_context
{
    daemon_context & m_daemon;
    std::vector<decision::event> & m_failure_events;
};

void perform(action_context & context, dispatch::attempt_start & start)
{
    attempt_id const id = start.m_attempt;
    if (!context.m_daemon.m_attempts.try_push(std::move(start)))
    {
        context.m_failure_events.emplace_back(decision::attempt_finished{
            {id, dispatch::attempt_outcome::not_run, {}, false}});
    }
}

void perform(action_context & context, dispatch::attempt_cancel & cancel)
{
    context.m_daemon.m_cancellations.try_push(std::move(cancel));
}

void perform(action_context & context, lease::upstream_call & call)
{
    lease::upstream_reply reply;
    reply.m_number = call.m_number;
    reply.m_upstream = call.m_upstream;
    if (!context.m_daemon.m_upstream_calls.try_push(std::move(call)))
    {
        context.m_failure_events.emplace_back(
            decision::upstream_replied{std::move(reply)});
    }
}

void perform(action_context & context, decision::answer_caller & answer)
{
    if (context.m_daemon.m_state.m_identity.m_leases_upstreams)
    {
        context.m_daemon.m_answers.try_push(
            {answer.m_caller, std::move(answer.m_answer)});
        return;
    }
    std::size_t const index = answer.m_caller & 0xffff'ffff;
    context.m_daemon.m_answer_rings[index].try_push(
        {answer.m_caller, std::move(answer.m_answer)});
}

void perform(action_context & context, decision::send_peer & message)
{
    bool const is_reliable = !peer::is_periodic(message.m_message);
    instance_id to = message.m_to;
    if (!context.m_daemon.m_peer_messages.try_push(std::move(message)) && is_reliable)
    {
        context.m_failure_events.emplace_back(decision::peer_disconnected{std::move(to)});
    }
}

/// \p command is a write_store or a read_store.
template <typename Command>
void perform_store_command(action_context & context, Command & command)
{
    decision::store_request_number const request = command.m_request;
    if (!context.m_daemon.m_store_commands.try_push(std::move(command)))
    {
        context.m_failure_events.emplace_back(
            decision::store_reply{request, decision::store_outcome::unavailable, {}});
    }
}

void perform(action_context & context, decision::write_store & write)
{
    perform_store_command(context, write);
}

void perform(action_context & context, decision::read_store & read)
{
    perform_store_command(context, read);
}

void perform(action_context & context, decision::check_document & check)
{
    context.m_daemon.m_documents.try_push(std::move(check));
}

void perform(action_context & context, decision::observe_job & observed)
{
    record(context.m_daemon, std::move(observed));
}

void perform(action_context & context, decision::log_event & event)
{
    record(context.m_daemon, std::move(event));
}

void process_event(daemon_context & context, decision::event input,
                   std::vector<decision::event> & failure_events)
{
    std::vector<decision::action> actions;
    decision::step(context.m_state, std::move(input), runtime::read_boot_clock(),
                   context.m_random, actions);
    action_context target{context, failure_events};
    for (decision::action & next : actions)
    {
        std::visit([&target](auto & action) { perform(target, action); }, next);
    }
}

void process_events(daemon_context & context, std::vector<decision::event> & events)
{
    std::vector<decision::event> failure_events;
    while (!events.empty())
    {
        for (decision::event & input : events)
        {
            process_event(context, std::move(input), failure_events);
        }
        events.clear();
        std::swap(events, failure_events);
    }
    if (context.m_state.m_dispatch.m_configuration)
    {
        context.m_configuration_version =
            context.m_state.m_dispatch.m_configuration->m_version;
    }
    if (decision::is_idle(context.m_state))
    {
        // When the ring is full, an equal notice is already waiting.
        context.m_idle_notices.try_push(1);
    }
}

/// Time after which an instance reports ready even if it does not know the owner of every
/// shard: while the store is down a shard may have no owner for a long time.
constexpr duration max_readiness_delay = std::chrono::seconds(15);

/// Sets m_ready once the instance can serve. m_ready is never cleared, so that shards
/// without an owner do not make the load balancer remove every instance of a failure
/// domain at once.
void update_readiness(daemon_context & context, time_point start_time)
{
    if (context.m_ready || context.m_configuration_version == 0)
    {
        return;
    }
    bool const delay_expired =
        runtime::read_boot_clock() - start_time >= max_readiness_delay;
    context.m_ready = context.m_state.m_identity.m_leases_upstreams
                          ? decision::can_serve(context.m_state)
                          : delay_expired || decision::knows_every_owner(context.m_state);
}

/// Time between two samples of the state for the metrics.
constexpr duration sample_period = std::chrono::seconds(1);

void record_sample(daemon_context & context)
{
    decision::entry_state const & state = context.m_state;
    state_sample sample;
    sample.m_counters = state.m_dispatch.m_counters;
    sample.m_load = dispatch::total_load(state.m_dispatch);
    sample.m_capacity_requests_sent = state.m_capacity_requests_sent;
    sample.m_pairs_apart = state.m_dispatch.m_pairs_apart;
    sample.m_ignored_runs = state.m_dispatch.m_interference.m_counters.m_ignored;
    sample.m_documents_sent = state.m_documents_sent;
    sample.m_document_bytes_sent = state.m_document_bytes_sent;
    sample.m_documents_received = state.m_documents_received;
    sample.m_open_jobs = state.m_open_jobs.size();
    sample.m_live_members = membership::near_members(state.m_membership).size();
    for (ownership::shard_state const & shard : state.m_ownership.m_shards)
    {
        sample.m_served_shards +=
            shard.m_phase == ownership::shard_phase::serving ? 1 : 0;
    }
    sample.m_drained_upstreams = dispatch::count_drained_upstreams(state.m_dispatch);
    sample.m_unregistered_upstreams =
        lease::count_unregistered(state.m_leasing.m_sessions);
    sample.m_configuration_version = context.m_configuration_version;
    sample.m_store_contact = ownership::has_store_contact(state.m_ownership, state.m_now);
    sample.m_broken_invariants = decision::check_invariants(state);
    record(context, std::move(sample));
}

} // namespace internal

std::error_code run_decision(daemon_context & context, std::stop_token const & stop)
{
    std::vector<decision::event> events;
    time_point const start_time = runtime::read_boot_clock();
    time_point next_sample = start_time;
    while (!stop.stop_requested())
    {
        if (context.m_events.pop_all(events, internal::tick_period, stop) == 0)
        {
            events.emplace_back(decision::tick{});
        }
        internal::process_events(context, events);
        internal::update_readiness(context, start_time);
        if (runtime::read_boot_clock() >= next_sample)
        {
            next_sample = runtime::read_boot_clock() + internal::sample_period;
            internal::record_sample(context);
        }
    }
    context.m_events.pop_all(events, duration::zero());
    internal::process_events(context, events);
    return {};
}

} // namespace cassiahub::entry
