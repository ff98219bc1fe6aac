#ifndef CASSIAHUB_DISPATCH_SHEDDING_HPP
#define CASSIAHUB_DISPATCH_SHEDDING_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Ends a job that can no longer be answered in time, before it takes more service.
/// \returns true when \p job was ended and is gone.
bool shed_if_hopeless(dispatch_state & state, job_state & job, time_point now,
                      effects & out);

/// \returns the part of \p time_limit that a task of \p kind needs to run; zero when too
/// little is known.
duration reserved_run_time(kind_state const & kind, duration time_limit, time_point now);

} // namespace cassiahub::dispatch::internal

#endif
