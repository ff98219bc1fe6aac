#ifndef CASSIAHUB_DISPATCH_RESERVATION_HPP
#define CASSIAHUB_DISPATCH_RESERVATION_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/dispatch/state.hpp>

#include <optional>

namespace cassiahub::dispatch::internal
{

// Small tasks would fill each upstream for ever before a task that needs most of a
// worker. A job whose next task has found no room for a while therefore gets one
// upstream reserved, which is offered to nobody else until the task fits.

/// Notes that the next task of \p job found no room, and reserves an upstream when that
/// has lasted and no other job holds the reservation.
void consider_reservation(dispatch_state & state, job_state & job,
                          resources const & demand, time_point now,
                          random_source & random);

/// \returns the upstream reserved for \p job when it has room for \p demand by now.
std::optional<std::uint32_t> reserved_room(dispatch_state & state, job_state const & job,
                                           resources const & demand);

/// Offers the reserved upstream to everyone again when \p job holds the reservation.
void drop_reservation(dispatch_state & state, job_state const & job);

/// \returns true when the reserved upstream has room by now.
bool reservation_is_due(dispatch_state const & state);

} // namespace cassiahub::dispatch::internal

#endif
