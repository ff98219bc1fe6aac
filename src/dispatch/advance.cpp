#include "dispatch/attempts.hpp"
#include "dispatch/baseline.hpp"
#include "dispatch/drained_domains.hpp"
#include "dispatch/ejection.hpp"
#include "dispatch/forwarding.hpp"
#include "dispatch/hedging.hpp"
#include "dispatch/jobs.hpp"
#include "dispatch/neighbours.hpp"
#include "dispatch/objective.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/reservation.hpp"
#include "dispatch/retry.hpp"
#include "dispatch/service_pools.hpp"
#include "dispatch/shedding.hpp"
#include "dispatch/upstreams.hpp"
#include "dispatch/verdict.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <utility>
#include <vector>

namespace cassiahub::dispatch
{

namespace internal
{

/// Tenant queues whose head one call of advance() may skip because no upstream has
/// capacity for it. Bounds the cost of an event when many different demands are queued.
constexpr std::size_t max_skipped_heads = 16;

/// Arguments of advance(), bundled for the functions that it calls.
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

void handle_timer(advance_context & context, timer const & due)
{
    dispatch_state & state = context.m_state;
    attempt_id const & subject = due.m_subject;
    switch (due.m_kind)
    {
    case timer_kind::job_deadline:
        expire_job(context, subject.m_serial);
        break;
    case timer_kind::objective_due:
        handle_objective_timer(state, subject.m_serial, context.m_now, context.m_out);
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
    case timer_kind::finished_forwarded_expiry:
        state.m_finished_forwarded.erase(subject);
        break;
    case timer_kind::withheld_slot_expiry:
        release_withheld_slot(state, static_cast<std::uint32_t>(subject.m_serial));
        break;
    case timer_kind::upstream_probe:
        begin_probing(state, static_cast<std::uint32_t>(subject.m_serial));
        break;
    }
}

void handle_due_timers(advance_context & context)
{
    timer_set & timers = context.m_state.m_timers;
    while (!timers.empty() && timers.begin()->m_at <= context.m_now)
    {
        timer const due = *timers.begin();
        timers.erase(timers.begin());
        handle_timer(context, due);
    }
    expire_losses(context.m_state.m_crashes, context.m_now);
}

/// Result of an attempt to place the head of a queue.
enum class head_result
{
    dequeued, ///< started, forwarded, or its job has ended
    no_capacity
};

placement_request make_placement_request(dispatch_state const & state,
                                         job_state const & job, std::uint32_t task,
                                         time_point now)
{
    kind_state const & kind = state.m_kinds[job.m_kind];
    placement_request request{kind.m_pool,
                              job.m_spec.m_tasks[task].m_demand,
                              may_probe(kind.m_definition, job.m_tasks[task].m_failures),
                              job.m_tasks[task].m_last_upstream,
                              false,
                              judge_task(state, job, task) != crash_verdict::unsuspected};
    request.m_kind = job.m_kind;
    request.m_max_slowness = max_slowness(job, now);
    request.m_may_wait = now < job.m_on_time_until;
    return request;
}

head_result try_start_job_task(advance_context & context, std::uint64_t serial)
{
    dispatch_state & state = context.m_state;
    job_state & job = state.m_jobs.at(serial);
    std::uint32_t const next =
        job.m_retries.empty() ? job.m_next_task : job.m_retries.front();
    if (end_if_forbidden(state, job, next, context.m_out) ||
        shed_if_unreachable(state, job, context.m_now, context.m_out))
    {
        return head_result::dequeued;
    }
    if (yields_to_others(state, job))
    {
        return head_result::no_capacity;
    }
    attempt_target target;
    placement_request const request =
        make_placement_request(state, job, next, context.m_now);
    if (refuse_if_oversized(state, job, request.m_demand, context.m_out))
    {
        return head_result::dequeued;
    }
    if (auto const reserved = reserved_upstream(state, job, request.m_demand))
    {
        target.m_upstream = *reserved;
        drop_reservation(state, job);
    }
    else if (auto const upstream = pick_upstream(state, request, context.m_random))
    {
        target.m_upstream = upstream->m_upstream;
        state.m_counters.m_moved_placements += upstream->m_moved ? 1 : 0;
    }
    else if (auto const * const peer =
                 pick_peer(state, request.m_pool, request.m_demand, context.m_random))
    {
        target.m_peer = *peer;
    }
    else if (auto const * const busy = pick_busy_peer(state, job.m_kind, context.m_now))
    {
        target.m_peer = *busy;
    }
    else
    {
        pool_of(state, job.m_kind).m_short_of_capacity = true;
        reserve_if_starved(state, job, request.m_demand, context.m_now, context.m_random);
        return head_result::no_capacity;
    }
    std::uint32_t const task = dequeue_task(state, job);
    start_attempt(state, job, task, target, attempt_role::primary, context.m_now,
                  context.m_out);
    return head_result::dequeued;
}

head_result try_start_forwarded(advance_context & context, attempt_id const & id)
{
    dispatch_state & state = context.m_state;
    forwarded_task const & task = state.m_forwarded.at(id);
    job_key const & key = task.m_start.m_job;
    crash_verdict const verdict =
        judge_task(state.m_crashes, key.m_tenant, key.m_key, task.m_start.m_task);
    if (forbids_start(verdict))
    {
        refuse_forwarded(state, id, context.m_out);
        return head_result::dequeued;
    }
    placement_request request{state.m_kinds[task.m_kind].m_pool,
                              task.m_start.m_demand,
                              may_probe(state.m_kinds[task.m_kind].m_definition, 0),
                              no_upstream,
                              false,
                              verdict != crash_verdict::unsuspected};
    request.m_kind = task.m_kind;
    auto const upstream = pick_upstream(state, request, context.m_random);
    if (!upstream)
    {
        return head_result::no_capacity;
    }
    state.m_counters.m_moved_placements += upstream->m_moved ? 1 : 0;
    start_forwarded(state, dequeue_forwarded(state, id), upstream->m_upstream,
                    context.m_now, context.m_out);
    return head_result::dequeued;
}

head_result try_start_head(advance_context & context, service_pool const & pool,
                           std::uint32_t kind, std::uint32_t tenant)
{
    auto const & [order, item] =
        *pool.m_queue.m_kinds[kind].m_tenants.at(tenant).m_items.begin();
    if (order.m_local)
    {
        return try_start_job_task(context, order.m_serial);
    }
    attempt_id const id = item.m_forwarded;
    return try_start_forwarded(context, id);
}

/// Queues suspended for this call because their head found no capacity.
struct skipped_heads
{
    std::vector<std::uint32_t>
        m_kinds; ///< kinds whose tenants with items are all suspended
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_tenants; ///< (kind, tenant)
};

void resume_skipped(fair_queue & queue, skipped_heads const & skipped)
{
    for (auto const & [kind, tenant] : skipped.m_tenants)
    {
        resume_tenant(queue, kind, tenant);
    }
    for (std::uint32_t const kind : skipped.m_kinds)
    {
        resume_kind(queue, kind);
    }
}

void start_queued_tasks(advance_context & context, std::uint32_t pool_id)
{
    service_pool & pool = context.m_state.m_pools[pool_id];
    skipped_heads skipped;
    pool.m_short_of_capacity =
        pool.m_queued_tasks > 0 && !any_capacity(context.m_state, pool_id);
    while (skipped.m_tenants.size() < max_skipped_heads &&
           any_capacity(context.m_state, pool_id))
    {
        auto const kind = next_kind(pool.m_queue);
        if (!kind)
        {
            break;
        }
        auto const tenant = next_tenant(pool.m_queue.m_kinds[*kind]);
        if (!tenant)
        {
            suspend_kind(pool.m_queue, *kind);
            skipped.m_kinds.push_back(*kind);
        }
        else if (try_start_head(context, pool, *kind, *tenant) ==
                 head_result::no_capacity)
        {
            suspend_tenant(pool.m_queue, *kind, *tenant);
            skipped.m_tenants.emplace_back(*kind, *tenant);
        }
    }
    resume_skipped(pool.m_queue, skipped);
}

} // namespace internal

void advance_timers(dispatch_state & state, time_point now, random_source & random,
                    effects & out)
{
    if (state.m_configuration)
    {
        internal::advance_context context{state, now, random, out};
        internal::handle_due_timers(context);
    }
}

void advance(dispatch_state & state, time_point now, random_source & random,
             effects & out)
{
    if (!state.m_configuration)
    {
        return;
    }
    internal::advance_context context{state, now, random, out};
    internal::handle_due_timers(context);
    internal::refuse_stranded(state, out);
    internal::update_kept_apart(state, now, out);
    internal::start_due_hedges(state, now, random, out);
    if (internal::is_baseline(state))
    {
        internal::start_assigned(state, now, random, out);
        return;
    }
    for (std::uint32_t pool = 0; pool < state.m_pools.size(); ++pool)
    {
        internal::start_queued_tasks(context, pool);
    }
}

} // namespace cassiahub::dispatch
