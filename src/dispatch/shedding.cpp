#include "dispatch/jobs.hpp"
#include "dispatch/shedding.hpp"

namespace cassiahub::dispatch::internal
{

duration shortest_run_time(kind_state const & kind, time_point now)
{
    // A low quantile: refusing by the mean would refuse the short tasks of a kind.
    constexpr double low_quantile = 0.05;
    return is_established(kind.m_run_time, now)
               ? run_time_quantile(kind.m_run_time, low_quantile)
               : duration::zero();
}

bool shed_if_hopeless(dispatch_state & state, job_state & job, time_point now,
                      effects & out)
{
    if (job.m_send_before <= now)
    {
        finish_job(state, job, failed_answer(job, job_errc::lease_lapsed), out);
        return true;
    }
    if (now + shortest_run_time(state.m_kinds[job.m_kind], now) < job.m_deadline)
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
