#include "dispatch/attempts.hpp"
#include "dispatch/baseline.hpp"
#include "dispatch/ejection.hpp"
#include "dispatch/forwarding.hpp"
#include "dispatch/hedging.hpp"
#include "dispatch/jobs.hpp"
#include "dispatch/objective.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/reservation.hpp"
#include "dispatch/retry.hpp"
#include "dispatch/shedding.hpp"
#include "dispatch/upstreams.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <utility>
#include <vector>

namespace cassiahub::dispatch
{

namespace internal
{

/// Queue heads that one event may pass over because they do not fit. It bounds the cost
/// of an event when many different demands wait.
constexpr std::size_t pass_over_limit = 16;

/// Arguments of advance() that every step needs.
struct advance_context
{
    dispatch_state & m_state;
    time_point m_now;
    random_source & m_random;
    effects & m_out;
};

void expire_job(advance_context & context, std::uint64_t serial)
{
    dispatch_state & state = context.m_state;
    job_state & job = state.m_jobs.at(serial);
    finish_job(state, job, failed_answer(job, job_errc::deadline_exceeded),
               context.m_out);
}

void fire(advance_context & context, timer const & due)
{
    dispatch_state & state = context.m_state;
    attempt_id const & subject = due.m_subject;
    switch (due.m_kind)
    {
    case timer_kind::job_deadline:
        expire_job(context, subject.m_serial);
        break;
    case timer_kind::objective_due:
        miss_objective(state, subject.m_serial, context.m_now, context.m_out);
        break;
    case timer_kind::retry_due:
        end_retry_delay(state, subject.m_serial,
                        static_cast<std::uint32_t>(subject.m_incarnation),
                        context.m_random);
        break;
    case timer_kind::attempt_timeout:
        time_out_attempt(state, subject, context.m_now, context.m_random, context.m_out);
        break;
    case timer_kind::forwarded_expiry:
        refuse_forwarded(state, subject, context.m_out);
        break;
    case timer_kind::forget_forwarded:
        state.m_finished_forwarded.erase(subject);
        break;
    case timer_kind::upstream_hold:
        release_hold(state, static_cast<std::uint32_t>(subject.m_serial));
        break;
    case timer_kind::upstream_probe:
        begin_probing(state, static_cast<std::uint32_t>(subject.m_serial));
        break;
    }
}

void fire_timers(advance_context & context)
{
    timer_set & timers = context.m_state.m_timers;
    while (!timers.empty() && timers.begin()->m_at <= context.m_now)
    {
        timer const due = *timers.begin();
        timers.erase(timers.begin());
        fire(context, due);
    }
}

/// What came of trying the head of a queue.
enum class head_result
{
    removed, ///< started, forwarded, or its job ended
    no_room
};

placement_request request_of(dispatch_state const & state, job_state const & job)
{
    std::uint32_t const task =
        job.m_retries.empty() ? job.m_next_task : job.m_retries.front();
    return {
        job.m_spec.m_tasks[task].m_demand,
        may_probe(state.m_kinds[job.m_kind].m_definition, job.m_tasks[task].m_failures),
        job.m_tasks[task].m_last_upstream, false};
}

head_result try_job(advance_context & context, std::uint64_t serial)
{
    dispatch_state & state = context.m_state;
    job_state & job = state.m_jobs.at(serial);
    if (shed_if_hopeless(state, job, context.m_now, context.m_out))
    {
        return head_result::removed;
    }
    if (yields_to_others(state, job))
    {
        return head_result::no_room;
    }
    attempt_target target;
    placement_request const request = request_of(state, job);
    if (auto const reserved = reserved_room(state, job, request.m_demand))
    {
        target.m_upstream = *reserved;
        drop_reservation(state, job);
    }
    else if (auto const upstream = pick_upstream(state, request, context.m_random))
    {
        target.m_upstream = *upstream;
    }
    else if (auto const * const peer =
                 pick_peer(state, request.m_demand, context.m_random))
    {
        target.m_peer = *peer;
    }
    else if (auto const * const busy = pick_busy_peer(state, job.m_kind, context.m_now))
    {
        target.m_peer = *busy;
    }
    else
    {
        consider_reservation(state, job, request.m_demand, context.m_now,
                             context.m_random);
        return head_result::no_room;
    }
    std::uint32_t const task = take_waiting_task(state, job);
    start_attempt(state, job, task, target, attempt_role::primary, context.m_now,
                  context.m_out);
    return head_result::removed;
}

head_result try_forwarded(advance_context & context, attempt_id const & id)
{
    dispatch_state & state = context.m_state;
    forwarded_task const & task = state.m_forwarded.at(id);
    placement_request const request{
        task.m_start.m_demand, may_probe(state.m_kinds[task.m_kind].m_definition, 0)};
    auto const upstream = pick_upstream(state, request, context.m_random);
    if (!upstream)
    {
        return head_result::no_room;
    }
    start_forwarded(state, take_forwarded(state, id), *upstream, context.m_now,
                    context.m_out);
    return head_result::removed;
}

head_result try_head(advance_context & context, std::uint32_t kind, std::uint32_t tenant)
{
    auto const & [order, item] =
        *context.m_state.m_queue.m_kinds[kind].m_tenants.at(tenant).m_items.begin();
    if (order.m_local)
    {
        return try_job(context, order.m_serial);
    }
    attempt_id const id = item.m_forwarded;
    return try_forwarded(context, id);
}

/// Kinds and tenants whose head does not fit at the moment.
struct passed_over
{
    std::vector<std::uint32_t> m_kinds;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_tenants;
};

void restore(dispatch_state & state, passed_over const & passed)
{
    for (auto const & [kind, tenant] : passed.m_tenants)
    {
        restore_tenant(state.m_queue, kind, tenant);
    }
    for (std::uint32_t const kind : passed.m_kinds)
    {
        restore_kind(state.m_queue, kind);
    }
}

void start_waiting(advance_context & context)
{
    dispatch_state & state = context.m_state;
    passed_over passed;
    while (passed.m_tenants.size() < pass_over_limit && any_room(state))
    {
        auto const kind = next_kind(state.m_queue);
        if (!kind)
        {
            break;
        }
        auto const tenant = next_tenant(state.m_queue.m_kinds[*kind]);
        if (!tenant)
        {
            set_aside_kind(state.m_queue, *kind);
            passed.m_kinds.push_back(*kind);
        }
        else if (try_head(context, *kind, *tenant) == head_result::no_room)
        {
            set_aside_tenant(state.m_queue, *kind, *tenant);
            passed.m_tenants.emplace_back(*kind, *tenant);
        }
    }
    restore(state, passed);
}

} // namespace internal

void advance(dispatch_state & state, time_point now, random_source & random,
             effects & out)
{
    if (!state.m_configuration)
    {
        return;
    }
    internal::advance_context context{state, now, random, out};
    internal::fire_timers(context);
    internal::start_due_hedges(state, now, random, out);
    if (internal::is_baseline(state))
    {
        internal::start_bound(state, now, out);
        return;
    }
    internal::start_waiting(context);
}

} // namespace cassiahub::dispatch
