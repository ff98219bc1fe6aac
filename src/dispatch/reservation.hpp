#ifndef CASSIAHUB_DISPATCH_RESERVATION_HPP
#define CASSIAHUB_DISPATCH_RESERVATION_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/dispatch/state.hpp>

#include <optional>

namespace cassiahub::dispatch::internal
{

// Small tasks can starve a task that needs most of an upstream, because they fill every
// slot that becomes free. Therefore one upstream is reserved for a job whose next task
// has found no capacity for the reservation delay; it accepts no other task until the
// next task of that job fits.

/// Records that the next task of \p job found no capacity although slots are free.
/// Reserves an upstream for the job when this has lasted for the reservation delay and no
/// other job has the reservation.
void reserve_if_starved(dispatch_state & state, job_state & job, resources const & demand,
                        time_point now, random_source & random);

/// \returns the upstream reserved for \p job, if it now has capacity for \p demand. Ends
/// the reservation of an upstream that is no longer usable or too small.
std::optional<std::uint32_t> reserved_upstream(dispatch_state & state,
                                               job_state const & job,
                                               resources const & demand);

/// Ends the reservation of \p pool.
/// \pre the pool has one
void release_reservation(dispatch_state & state, service_pool & pool);

/// Ends the reservation if it belongs to \p job.
void drop_reservation(dispatch_state & state, job_state const & job);

/// \returns true when the upstream reserved in \p pool now has capacity for the task it
/// is reserved for.
bool reservation_has_capacity(dispatch_state const & state, service_pool const & pool);

} // namespace cassiahub::dispatch::internal

#endif
