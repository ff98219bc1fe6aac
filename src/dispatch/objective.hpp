#ifndef CASSIAHUB_SRC_DISPATCH_OBJECTIVE_HPP
#define CASSIAHUB_SRC_DISPATCH_OBJECTIVE_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Sets the latest times at which a new job may start to meet its objective, and to be
/// answered while the answer is still useful. Does nothing for a kind without an
/// objective.
void set_objective(dispatch_state & state, job_state & job, time_point now);

/// Handles the objective timer of a job. A job that has not started is marked late, or
/// refused if it is already too late to be useful or if tasks of jobs that are
/// not late are queued for the same service.
void handle_objective_timer(dispatch_state & state, std::uint64_t serial, time_point now,
                            effects & out);

/// Removes the objective timers of a job that ends.
void cancel_objective_timers(dispatch_state & state, job_state const & job);

/// \returns true when \p job is late and must wait because tasks of jobs that are not
/// late are queued for the same service.
bool yields_to_others(dispatch_state const & state, job_state const & job);

/// Updates the typical demand in \p pool, from which count_fitting() estimates how many
/// tasks an upstream can hold, with a new job.
void update_typical_demand(dispatch_state & state, std::uint32_t pool,
                           job_spec const & spec);

/// \returns the number of tasks of the pool's typical demand that fit into \p free, at
/// most \p slots.
std::uint32_t count_fitting(service_pool const & pool, resources const & free,
                            std::uint32_t slots);

} // namespace cassiahub::dispatch::internal

#endif
