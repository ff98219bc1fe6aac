#include "dispatch/attempts.hpp"
#include "dispatch/baseline.hpp"
#include "dispatch/hedging.hpp"
#include "dispatch/placement.hpp"

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
    state.m_timers.insert({at, timer_kind::hedge_due, id});
}

duration straggler_delay(dispatch_state const & state, std::uint32_t kind)
{
    return run_time_quantile(state.m_kinds[kind].m_run_time, straggler_quantile) *
           state.m_configuration->m_dispatch.m_hedge_delay_percent / 100;
}

} // namespace

void schedule_hedge(dispatch_state & state, job_state const & job,
                    running_attempt & attempt, attempt_id const & id, time_point now)
{
    task_state const & task = job.m_tasks[attempt.m_task];
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

void start_hedge(dispatch_state & state, attempt_id const & id, time_point now,
                 random_source & random, effects & out)
{
    running_attempt & attempt = state.m_attempts.at(id);
    job_state & job = state.m_jobs.at(attempt.m_job);
    attempt.m_hedge_at = {};
    if (job.m_tasks[attempt.m_task].m_hedged || job.m_send_before <= now)
    {
        return;
    }
    placement_request const request{job.m_spec.m_tasks[attempt.m_task].m_demand, false,
                                    attempt.m_upstream, true};
    auto const target = pick_upstream(state, request, random);
    if (target && spend(state.m_hedge_budget))
    {
        job.m_tasks[attempt.m_task].m_hedged = true;
        start_attempt(state, job, attempt.m_task, {*target, {}}, attempt_role::hedge, now,
                      out);
        return;
    }
    time_point const again = now + straggler_delay(state, attempt.m_kind);
    if (again < job.m_deadline)
    {
        set_hedge_timer(state, attempt, id, again);
    }
}

} // namespace cassiahub::dispatch::internal
