#include "dispatch/jobs.hpp"
#include "dispatch/verdict.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

namespace cassiahub::dispatch
{

namespace internal
{

crash_verdict judge_task(dispatch_state const & state, job_state const & job,
                         std::uint32_t task)
{
    job_key const & key = job.m_spec.m_key;
    return dispatch::judge_task(state.m_crashes, key.m_tenant, key.m_key, task);
}

bool forbids_start(crash_verdict verdict) noexcept
{
    return verdict == crash_verdict::withheld || verdict == crash_verdict::convicted;
}

std::error_code check_verdicts(dispatch_state const & state, job_spec const & spec)
{
    std::error_code error;
    if (state.m_crashes.m_tasks.empty())
    {
        return error;
    }
    for (std::uint32_t task = 0; task < spec.m_tasks.size(); ++task)
    {
        switch (dispatch::judge_task(state.m_crashes, spec.m_key.m_tenant,
                                     spec.m_key.m_key, task))
        {
        case crash_verdict::convicted:
            return job_errc::crashes_upstreams;
        case crash_verdict::withheld:
            error = job_errc::crash_suspected;
            break;
        case crash_verdict::unsuspected:
        case crash_verdict::suspected:
            break;
        }
    }
    return error;
}

/// \returns the answer to a job with a task that is withheld. Only a job of which nothing
/// can have run may be submitted again safely.
job_answer withheld_answer(job_state const & job)
{
    job_answer const answer = failed_answer(job, job_errc::crash_suspected);
    return answer.m_ran == run_state::no ? answer
                                         : failed_answer(job, job_errc::outcome_unknown);
}

bool end_if_forbidden(dispatch_state & state, job_state & job, std::uint32_t task,
                      effects & out)
{
    switch (judge_task(state, job, task))
    {
    case crash_verdict::unsuspected:
    case crash_verdict::suspected:
        return false;
    case crash_verdict::withheld:
        ++state.m_counters.m_withheld_jobs;
        finish_job(state, job, withheld_answer(job), out);
        return true;
    case crash_verdict::convicted:
        // The task has run, in this submission of the job or in an earlier one.
        ++state.m_counters.m_convicted_jobs;
        finish_job(state, job, {job_errc::crashes_upstreams, run_state::yes, {}, {}},
                   out);
        return true;
    }
    return false;
}

} // namespace internal

void record_loss(dispatch_state & state, upstream_loss const & loss, time_point now)
{
    record_loss(state.m_crashes, loss, now);
}

} // namespace cassiahub::dispatch
