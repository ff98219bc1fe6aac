#ifndef CASSIAHUB_DISPATCH_BASELINE_HPP
#define CASSIAHUB_DISPATCH_BASELINE_HPP

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

/// Assigns one task that is retried to an upstream.
void assign_task(dispatch_state & state, job_state & job, std::uint32_t task,
                 random_source & random);

/// Starts the assigned tasks of every upstream, in order, while it has capacity.
void start_assigned(dispatch_state & state, time_point now, effects & out);

} // namespace cassiahub::dispatch::internal

#endif
