#include "dispatch/attempts.hpp"
#include "dispatch/baseline.hpp"
#include "dispatch/ejection.hpp"
#include "dispatch/hedging.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/verdict.hpp"

namespace cassiahub::dispatch::internal
{

namespace
{

constexpr double straggler_quantile = 0.95;

bool may_hedge(dispatch_state const & state, job_state const & job, time_point now)
{
    kind_state const & kind = state.m_kinds[job.m_kind];
    return kind.m_definition.m_repeatable && !is_baseline(state) &&
           state.m_configuration->m_dispatch.m_hedge_budget_percent > 0 &&
           is_established(kind.m_run_time, now);
}

void set_hedge_timer(dispatch_state & state, running_attempt & attempt,
                     attempt_id const & id, time_point at)
{
    attempt.m_hedge_at = at;
    state.m_hedges.push({at, id});
}

duration straggler_delay(dispatch_state const & state, std::uint32_t kind)
{
    return run_time_quantile(state.m_kinds[kind].m_run_time, straggler_quantile) *
           state.m_configuration->m_dispatch.m_hedge_delay_percent / 100;
}

void schedule_again(dispatch_state & state, job_state const & job,
                    running_attempt & attempt, attempt_id const & id, time_point now)
{
    time_point const again = now + straggler_delay(state, attempt.m_kind);
    if (again < job.m_deadline)
    {
        set_hedge_timer(state, attempt, id, again);
    }
}

/// Most tasks that run longer than the others do so on every upstream, so a straggler is
/// hedged only after a second delay unless its upstream is known to be slow.
bool is_suspect(dispatch_state const & state, running_attempt const & attempt)
{
    constexpr double suspect_slowness = 1.5;
    return attempt.m_upstream != no_upstream &&
           state.m_upstreams[attempt.m_upstream].m_health.m_slowness > suspect_slowness;
}

/// Starts a second attempt of the task of straggler \p id, or reschedules the check.
void start_hedge(dispatch_state & state, attempt_id const & id, time_point now,
                 random_source & random, effects & out)
{
    running_attempt & attempt = state.m_attempts.at(id);
    job_state & job = state.m_jobs.at(attempt.m_job);
    std::uint32_t const task = attempt.m_task.m_task;
    if (job.m_tasks[task].m_hedged || job.m_send_before <= now ||
        judge_task(state, job, task) != crash_verdict::unsuspected)
    {
        return;
    }
    if (!is_suspect(state, attempt) && !attempt.m_hedge_deferred)
    {
        attempt.m_hedge_deferred = true;
        if (attempt.m_upstream != no_upstream)
        {
            record_straggler(state, attempt.m_upstream, now);
        }
        schedule_again(state, job, attempt, id, now);
        return;
    }
    placement_request request{state.m_kinds[job.m_kind].m_pool,
                              job.m_spec.m_tasks[task].m_demand, false,
                              attempt.m_upstream, true};
    request.m_kind = job.m_kind;
    auto const target = pick_upstream(state, request, random);
    if (target && spend(state.m_hedge_budget))
    {
        job.m_tasks[task].m_hedged = true;
        start_attempt(state, job, task, {target->m_upstream, {}}, attempt_role::hedge,
                      now, out);
        return;
    }
    schedule_again(state, job, attempt, id, now);
}

bool is_still_due(dispatch_state const & state, hedge_due const & due)
{
    auto const found = state.m_attempts.find(due.m_attempt);
    return found != state.m_attempts.end() && found->second.m_hedge_at == due.m_at &&
           !found->second.m_cancelled;
}

} // namespace

void schedule_hedge(dispatch_state & state, job_state const & job,
                    running_attempt & attempt, attempt_id const & id, time_point now)
{
    task_state const & task = job.m_tasks[attempt.m_task.m_task];
    bool const attempts_left =
        task.m_attempts < state.m_configuration->m_dispatch.m_max_attempts;
    if (!may_hedge(state, job, now) || task.m_hedged || !attempts_left)
    {
        return;
    }
    time_point const at = now + straggler_delay(state, job.m_kind);
    if (at < job.m_deadline)
    {
        set_hedge_timer(state, attempt, id, at);
    }
}

void start_due_hedges(dispatch_state & state, time_point now, random_source & random,
                      effects & out)
{
    while (!state.m_hedges.empty() && state.m_hedges.top().m_at <= now)
    {
        hedge_due const due = state.m_hedges.top();
        state.m_hedges.pop();
        if (is_still_due(state, due))
        {
            start_hedge(state, due.m_attempt, now, random, out);
        }
    }
}

} // namespace cassiahub::dispatch::internal
