#include "dispatch/jobs.hpp"
#include "dispatch/shedding.hpp"

#include <algorithm>

namespace cassiahub::dispatch::internal
{

duration reserved_run_time(kind_state const & kind, duration time_limit, time_point now)
{
    // Work that is started too late takes service and is answered as failed, so most of
    // the kind's tasks should still end in time. The second bound keeps a time limit
    // that is short for its kind from being refused for that alone.
    constexpr double low_quantile = 0.05;
    constexpr double high_quantile = 0.9;
    if (!is_established(kind.m_run_time, now))
    {
        return duration::zero();
    }
    duration const usual = run_time_quantile(kind.m_run_time, high_quantile);
    return std::max(run_time_quantile(kind.m_run_time, low_quantile),
                    std::min(usual, time_limit / 2));
}

bool shed_if_hopeless(dispatch_state & state, job_state & job, time_point now,
                      effects & out)
{
    if (job.m_send_before <= now)
    {
        finish_job(state, job, failed_answer(job, job_errc::lease_lapsed), out);
        return true;
    }
    duration const needed =
        reserved_run_time(state.m_kinds[job.m_kind], job.m_spec.m_time_limit, now);
    if (now + needed < job.m_deadline)
    {
        return false;
    }
    ++state.m_counters.m_shed_jobs;
    job_answer const answer = failed_answer(job, job_errc::deadline_exceeded);
    finish_job(state, job,
               answer.m_ran == run_state::no
                   ? failed_answer(job, job_errc::deadline_unreachable)
                   : answer,
               out);
    return true;
}

} // namespace cassiahub::dispatch::internal
