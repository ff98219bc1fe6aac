#ifndef CASSIAHUB_DISPATCH_BASELINE_HPP
#define CASSIAHUB_DISPATCH_BASELINE_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

// The policy to which measurements compare: each task is bound to a random upstream when
// it arrives, and each upstream serves its tasks first come, first served.

inline bool is_baseline(dispatch_state const & state) noexcept
{
    return state.m_configuration->m_dispatch.m_policy ==
           config::dispatch_policy::baseline;
}

/// Binds every task of a new job.
void bind_job(dispatch_state & state, job_state & job);

/// Binds one task that is attempted again.
void bind_task(dispatch_state & state, job_state & job, std::uint32_t task,
               random_source & random);

/// Starts bound tasks on every upstream that has a slot and bound tasks.
void start_bound(dispatch_state & state, time_point now, effects & out);

} // namespace cassiahub::dispatch::internal

#endif
