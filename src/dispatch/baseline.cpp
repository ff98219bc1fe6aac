#include "dispatch/attempts.hpp"
#include "dispatch/baseline.hpp"
#include "dispatch/jobs.hpp"
#include "dispatch/verdict.hpp"

#include <algorithm>
#include <utility>

namespace cassiahub::dispatch::internal
{

namespace
{

bool has_capacity(upstream_state const & upstream, resources const & demand)
{
    resources needed = upstream.m_used;
    add_resources(needed, demand);
    return upstream.m_running + upstream.m_withheld < upstream.m_definition.m_slots &&
           fits(needed, upstream.m_definition.m_capacity);
}

job_state * find_job_by_serial(dispatch_state & state, std::uint64_t serial)
{
    auto const found = state.m_jobs.find(serial);
    return found == state.m_jobs.end() ? nullptr : &found->second;
}

void start_assigned_on(dispatch_state & state, std::uint32_t id, time_point now,
                       effects & out)
{
    auto & assigned = state.m_upstreams[id].m_assigned;
    while (!assigned.empty() && !state.m_upstreams[id].m_domain_drained)
    {
        auto const [serial, task] = assigned.front();
        job_state * const job = find_job_by_serial(state, serial);
        if (job != nullptr && !end_if_forbidden(state, *job, task, out))
        {
            if (!has_capacity(state.m_upstreams[id], job->m_spec.m_tasks[task].m_demand))
            {
                return;
            }
            start_attempt(state, *job, task, {id, {}}, attempt_role::primary, now, out);
        }
        assigned.pop_front();
    }
}

} // namespace

void assign_task(dispatch_state & state, job_state & job, std::uint32_t task,
                 random_source & random)
{
    std::uint32_t const pool = state.m_kinds[job.m_kind].m_pool;
    std::vector<upstream_state *> candidates;
    for (upstream_state & upstream : state.m_upstreams)
    {
        if (upstream.m_owned && upstream.m_pool == pool)
        {
            candidates.push_back(&upstream);
        }
    }
    if (candidates.empty())
    {
        state.m_unassigned.push_back({job.m_serial, task});
        return;
    }
    candidates[random() % candidates.size()]->m_assigned.push_back({job.m_serial, task});
}

void unassign_tasks(dispatch_state & state, std::uint32_t id)
{
    auto & assigned = state.m_upstreams[id].m_assigned;
    state.m_unassigned.insert(state.m_unassigned.end(), assigned.begin(), assigned.end());
    assigned.clear();
}

void assign_job(dispatch_state & state, job_state & job)
{
    random_source random(state.m_incarnation ^ job.m_serial);
    job.m_next_task = static_cast<std::uint32_t>(job.m_tasks.size());
    for (std::uint32_t task = 0; task < job.m_tasks.size(); ++task)
    {
        assign_task(state, job, task, random);
    }
}

void start_assigned(dispatch_state & state, time_point now, random_source & random,
                    effects & out)
{
    for (assigned_task const & waiting : std::exchange(state.m_unassigned, {}))
    {
        if (job_state * const job = find_job_by_serial(state, waiting.m_job))
        {
            assign_task(state, *job, waiting.m_task, random);
        }
    }
    // A linear scan suffices: the CPU cost of the baseline policy is not compared.
    for (std::uint32_t id = 0; id < state.m_upstreams.size(); ++id)
    {
        start_assigned_on(state, id, now, out);
    }
}

} // namespace cassiahub::dispatch::internal
