#ifndef CASSIAHUB_SRC_DISPATCH_OBJECTIVE_HPP
#define CASSIAHUB_SRC_DISPATCH_OBJECTIVE_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Sets the times until which a new job can be answered on time and at all of use. Does
/// nothing for a kind without an objective.
void set_objective(dispatch_state & state, job_state & job, time_point now);

/// Handles a job whose objective time is due and that has not started: it becomes late,
/// or is refused when others wait that can still be on time.
void miss_objective(dispatch_state & state, std::uint64_t serial, time_point now,
                    effects & out);

/// Forgets the timer of a job that ends.
void drop_objective(dispatch_state & state, job_state const & job);

/// \returns true when \p job must wait because others can still be on time.
bool yields_to_others(dispatch_state const & state, job_state const & job);

/// Follows the demand of new tasks, which tells how many of them an upstream holds.
void observe_demand(dispatch_state & state, job_spec const & spec);

/// \returns how many tasks of typical demand fit into \p free, at most \p slots.
std::uint32_t count_fitting(dispatch_state const & state, resources const & free,
                            std::uint32_t slots);

} // namespace cassiahub::dispatch::internal

#endif
