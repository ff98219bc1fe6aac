#include "dispatch/baseline.hpp"
#include "dispatch/jobs.hpp"
#include "dispatch/retry.hpp"
#include "dispatch/verdict.hpp"

#include <algorithm>
#include <random>

namespace cassiahub::dispatch::internal
{

namespace
{

void record_outcome(dispatch_state & state, job_state & job, task_state & task,
                    attempt_outcome outcome)
{
    if (outcome == attempt_outcome::not_run)
    {
        ++task.m_not_run;
        ++state.m_counters.m_refused_results;
        return;
    }
    ++state.m_counters.m_failed_results;
    task.m_failures += outcome == attempt_outcome::failed ? 1 : 0;
    job.m_ran |=
        outcome == attempt_outcome::failed || outcome == attempt_outcome::interrupted;
    job.m_may_have_run |= outcome == attempt_outcome::unknown;
}

job_errc error_for(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::failed:
    case attempt_outcome::interrupted:
        return job_errc::task_failed;
    case attempt_outcome::unknown:
        return job_errc::outcome_unknown;
    default:
        return job_errc::retries_exhausted;
    }
}

/// \returns true when another attempt is allowed. For a kind that is neither repeatable
/// nor restartable this requires that no attempt can have run.
bool may_repeat(dispatch_state const & state, job_state const & job,
                task_state const & task, attempt_outcome outcome)
{
    config::work_kind const & kind = state.m_kinds[job.m_kind].m_definition;
    bool const ended = outcome != attempt_outcome::unknown;
    return kind.m_repeatable || (kind.m_restartable && ended) ||
           task.m_not_run == task.m_attempts;
}

bool has_reached_failure_limit(dispatch_state const & state, job_state const & job,
                               task_state const & task)
{
    std::uint32_t const limit = state.m_kinds[job.m_kind].m_definition.m_max_failures;
    return limit > 0 && task.m_failures >= limit;
}

/// \returns true when a start at \p now cannot meet the objective of the job's kind.
bool has_missed_objective(job_state const & job, time_point now)
{
    return job.m_on_time_until != time_point() && now > job.m_on_time_until;
}

/// \returns the delay before the next attempt: zero before the second attempt, then
/// exponential backoff with jitter, so that tasks refused together are not retried
/// together.
duration retry_delay(dispatch_state const & state, task_state const & task,
                     random_source & random)
{
    std::uint32_t const returned_attempts = task.m_attempts + task.m_declined;
    if (returned_attempts < 2)
    {
        return duration::zero();
    }
    std::uint32_t const doublings = std::min(returned_attempts - 2, 6U);
    duration const longest =
        state.m_configuration->m_dispatch.m_retry_delay * (1 << doublings);
    std::uniform_int_distribution<duration::rep> jitter(longest.count() / 2,
                                                        longest.count());
    return duration(jitter(random));
}

/// Spends one retry of the budget. The baseline policy has no retry budget.
/// \returns false when the budget is exhausted.
bool spend_retry_budget(dispatch_state & state)
{
    return is_baseline(state) || spend(state.m_retry_budget);
}

void schedule_retry(dispatch_state & state, job_state & job, std::uint32_t task,
                    time_point now, random_source & random)
{
    duration const delay = is_baseline(state)
                               ? duration::zero()
                               : retry_delay(state, job.m_tasks[task], random);
    if (delay == duration::zero())
    {
        requeue_task(state, job, task, random);
        return;
    }
    job.m_delayed.emplace(task, now + delay);
    state.m_timers.insert({now + delay, timer_kind::retry_due, {task, job.m_serial}});
}

} // namespace

void handle_unsuccessful(dispatch_state & state, job_state & job,
                         std::uint32_t task_index, attempt_result const & result,
                         time_point now, random_source & random, effects & out)
{
    task_state & task = job.m_tasks[task_index];
    attempt_outcome const outcome = result.m_outcome;
    record_outcome(state, job, task, outcome);
    if (is_running(task))
    {
        return; // a hedge of the same task may still succeed
    }
    if (end_if_forbidden(state, job, task_index, out))
    {
        return;
    }
    if (!may_repeat(state, job, task, outcome) ||
        has_reached_failure_limit(state, job, task))
    {
        finish_job(state, job, failed_answer(job, error_for(outcome)), out);
    }
    else if (result.m_lost_at_start && has_missed_objective(job, now))
    {
        // Another start would risk another upstream for an answer that is late anyway.
        finish_job(state, job, failed_answer(job, job_errc::outcome_unknown), out);
    }
    else if (task.m_attempts >= state.m_configuration->m_dispatch.m_max_attempts ||
             !spend_retry_budget(state))
    {
        finish_job(state, job, failed_answer(job, job_errc::retries_exhausted), out);
    }
    else
    {
        schedule_retry(state, job, task_index, now, random);
    }
}

void handle_declined(dispatch_state & state, job_state & job, std::uint32_t task_index,
                     time_point now, random_source & random)
{
    task_state & task = job.m_tasks[task_index];
    ++state.m_counters.m_refused_results;
    --task.m_attempts;
    ++task.m_declined;
    if (!is_running(task))
    {
        schedule_retry(state, job, task_index, now, random);
    }
}

void end_retry_delay(dispatch_state & state, std::uint64_t job_serial, std::uint32_t task,
                     random_source & random)
{
    job_state & job = state.m_jobs.at(job_serial);
    job.m_delayed.erase(task);
    requeue_task(state, job, task, random);
}

} // namespace cassiahub::dispatch::internal
