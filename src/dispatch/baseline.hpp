#ifndef CASSIAHUB_DISPATCH_BASELINE_HPP
#define CASSIAHUB_DISPATCH_BASELINE_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

// Reference policy for benchmarks: each task is assigned to a random upstream on
// arrival, and each upstream serves its tasks first come, first served.

inline bool is_baseline(dispatch_state const & state) noexcept
{
    return state.m_configuration->m_dispatch.m_policy ==
           config::dispatch_policy::baseline;
}

/// Assigns every task of a new job to an upstream.
void assign_job(dispatch_state & state, job_state & job);

/// Assigns one task to an owned upstream of its service. While there is none, the task is
/// in dispatch_state::m_unassigned.
void assign_task(dispatch_state & state, job_state & job, std::uint32_t task,
                 random_source & random);

/// Takes back the tasks that wait for upstream \p id; the next start_assigned() assigns
/// them again.
void unassign_tasks(dispatch_state & state, std::uint32_t id);

/// Assigns the tasks without an upstream, then starts the assigned tasks of every
/// upstream, in order, while it has capacity.
void start_assigned(dispatch_state & state, time_point now, random_source & random,
                    effects & out);

} // namespace cassiahub::dispatch::internal

#endif
