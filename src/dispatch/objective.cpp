#include "dispatch/jobs.hpp"
#include "dispatch/objective.hpp"
#include "dispatch/service_pools.hpp"
#include "dispatch/upstreams.hpp"

#include <algorithm>
#include <chrono>

namespace cassiahub::dispatch::internal
{

namespace
{

/// Expected run time of the longest of several tasks, relative to their mean.
constexpr double longest_task_factor = 1.15;
/// Weight of one job in the exponential moving average of the demand.
constexpr double demand_weight = 0.05;
/// Relative change of the typical demand after which the number of tasks that fit into
/// each upstream is recomputed.
constexpr double recount_threshold = 0.1;

/// \returns the expected run time of the job's longest task: the average of the declared
/// run time and the observed mean of the kind, or one of them if the other is missing.
/// The configured run time of the kind is used if both are missing.
double expected_seconds(dispatch_state const & state, job_state const & job)
{
    kind_state const & kind = state.m_kinds[job.m_kind];
    double const observed =
        mean_seconds(kind.m_run_time, kind.m_definition.m_expected_run_time);
    duration longest{0};
    for (task_spec const & task : job.m_spec.m_tasks)
    {
        longest = std::max(longest, task.m_declared_run_time);
    }
    double const declared = std::chrono::duration<double>(longest).count();
    bool const known = kind.m_run_time.m_count > 0;
    double const expected = declared <= 0 ? observed
                            : known       ? (observed + declared) / 2
                                          : declared;
    return job.m_spec.m_tasks.size() > 1 ? expected * longest_task_factor : expected;
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

timer objective_timer(job_state const & job, time_point at)
{
    return {at, timer_kind::objective_due, {0, job.m_serial}};
}

std::size_t late_queued_tasks(dispatch_state const & state, service_pool const & pool)
{
    std::size_t queued = 0;
    for (std::uint64_t const serial : pool.m_late_jobs)
    {
        queued += queued_tasks(state.m_jobs.at(serial));
    }
    return queued;
}

bool has_started(job_state const & job)
{
    return job.m_next_task > 0;
}

void refuse_late_job(dispatch_state & state, job_state & job, effects & out)
{
    ++state.m_counters.m_shed_jobs;
    finish_job(state, job, failed_answer(job, job_errc::deadline_unreachable), out);
}

std::uint32_t count_in_dimension(std::uint32_t free, double typical)
{
    return typical < 1 ? ~std::uint32_t(0)
                       : static_cast<std::uint32_t>(static_cast<double>(free) / typical);
}

} // namespace

void set_objective(dispatch_state & state, job_state & job, time_point now)
{
    config::work_kind const & kind = state.m_kinds[job.m_kind].m_definition;
    if (kind.m_objective_stretch <= 0)
    {
        return;
    }
    double const run = expected_seconds(state, job);
    double const slack = std::chrono::duration<double>(kind.m_objective_slack).count();
    double const objective = run * kind.m_objective_stretch + slack;
    job.m_expected_run = to_duration(run);
    job.m_on_time_until = now + to_duration(std::max(0.0, objective - run));
    job.m_late_until = job.m_on_time_until + to_duration(objective);
    state.m_timers.insert(objective_timer(job, job.m_on_time_until));
}

void handle_objective_timer(dispatch_state & state, std::uint64_t serial, time_point now,
                            effects & out)
{
    job_state & job = state.m_jobs.at(serial);
    if (has_started(job))
    {
        return;
    }
    service_pool & pool = pool_of(state, job.m_kind);
    bool const others_queued =
        pool.m_queued_tasks - late_queued_tasks(state, pool) > queued_tasks(job);
    if (now >= job.m_late_until || (!job.m_late && others_queued))
    {
        refuse_late_job(state, job, out);
        return;
    }
    job.m_late = true;
    pool.m_late_jobs.insert(serial);
    state.m_timers.insert(objective_timer(job, job.m_late_until));
}

void cancel_objective_timers(dispatch_state & state, job_state const & job)
{
    if (job.m_on_time_until != time_point())
    {
        state.m_timers.erase(objective_timer(job, job.m_on_time_until));
        state.m_timers.erase(objective_timer(job, job.m_late_until));
        pool_of(state, job.m_kind).m_late_jobs.erase(job.m_serial);
    }
}

bool yields_to_others(dispatch_state const & state, job_state const & job)
{
    service_pool const & pool = pool_of(state, job.m_kind);
    return job.m_late && !has_started(job) &&
           pool.m_queued_tasks > late_queued_tasks(state, pool);
}

void update_typical_demand(dispatch_state & state, std::uint32_t pool,
                           job_spec const & spec)
{
    typical_demand & typical = state.m_pools[pool].m_typical_demand;
    double const weight = typical.m_millicores == 0 ? 1 : demand_weight;
    resources const & demand = spec.m_tasks.front().m_demand;
    typical.m_millicores += weight * (demand.m_millicores - typical.m_millicores);
    typical.m_memory_mib += weight * (demand.m_memory_mib - typical.m_memory_mib);
    typical.m_accelerators += weight * (demand.m_accelerators - typical.m_accelerators);
    double const change = typical.m_millicores - typical.m_counted_millicores;
    if (std::abs(change) > recount_threshold * typical.m_counted_millicores)
    {
        typical.m_counted_millicores = typical.m_millicores;
        for (std::uint32_t id = 0; id < state.m_upstreams.size(); ++id)
        {
            if (state.m_upstreams[id].m_pool == pool)
            {
                update_offered_capacity(state, id);
            }
        }
    }
}

std::uint32_t count_fitting(service_pool const & pool, resources const & free,
                            std::uint32_t slots)
{
    typical_demand const & typical = pool.m_typical_demand;
    return std::min({slots,
                     count_in_dimension(free.m_millicores, typical.m_counted_millicores),
                     count_in_dimension(free.m_memory_mib, typical.m_memory_mib),
                     count_in_dimension(free.m_accelerators, typical.m_accelerators)});
}

} // namespace cassiahub::dispatch::internal
