#ifndef CASSIAHUB_DISPATCH_SHEDDING_HPP
#define CASSIAHUB_DISPATCH_SHEDDING_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Ends a job that can no longer meet its deadline, or whose lease has expired, before
/// another of its tasks starts.
/// \returns true when \p job was ended; the reference is then dangling.
bool shed_if_unreachable(dispatch_state & state, job_state & job, time_point now,
                         effects & out);

/// Refuses a job that has not run and whose next task, with \p demand, fits no upstream
/// any more, so that it does not block the jobs behind it.
/// \returns true when \p job was ended; the reference is then dangling.
bool refuse_if_oversized(dispatch_state & state, job_state & job,
                         resources const & demand, effects & out);

/// \returns the part of \p time_limit to reserve for running a task of \p kind; zero when
/// there are too few recent observations.
duration reserved_run_time(kind_state const & kind, duration time_limit, time_point now);

} // namespace cassiahub::dispatch::internal

#endif
