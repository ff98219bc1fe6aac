#ifndef CASSIAHUB_DISPATCH_HEDGING_HPP
#define CASSIAHUB_DISPATCH_HEDGING_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Largest balance of the hedge budget, in hedges.
constexpr std::uint32_t hedge_reserve = 20;

/// Schedules the time at which a new attempt of a repeatable kind becomes a straggler.
void schedule_hedge(dispatch_state & state, job_state const & job,
                    running_attempt & attempt, attempt_id const & id, time_point now);

/// Starts a second attempt of the task of each straggler that is due, if an upstream has
/// capacity and the budget allows it.
void start_due_hedges(dispatch_state & state, time_point now, random_source & random,
                      effects & out);

} // namespace cassiahub::dispatch::internal

#endif
