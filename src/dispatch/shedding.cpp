#include "dispatch/jobs.hpp"
#include "dispatch/service_pools.hpp"
#include "dispatch/shedding.hpp"
#include "dispatch/upstreams.hpp"

#include <algorithm>
#include <utility>

namespace cassiahub::dispatch::internal
{

duration reserved_run_time(kind_state const & kind, duration time_limit, time_point now)
{
    // A task that is started too late uses a slot and its job fails all the same, so the
    // reserved time covers the run time of most tasks of the kind. It is limited to half
    // the time limit, or to a short run time if that is longer, so that a job is not
    // refused only because its time limit is short for its kind.
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

bool shed_if_unreachable(dispatch_state & state, job_state & job, time_point now,
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

bool refuse_if_oversized(dispatch_state & state, job_state & job,
                         resources const & demand, effects & out)
{
    job_answer answer = failed_answer(job, job_errc::overloaded);
    if (answer.m_ran != run_state::no ||
        fits_some_upstream(pool_of(state, job.m_kind), demand))
    {
        return false;
    }
    ++state.m_counters.m_shed_jobs;
    finish_job(state, job, std::move(answer), out);
    return true;
}

} // namespace cassiahub::dispatch::internal
