#ifndef CASSIAHUB_DISPATCH_HEDGING_HPP
#define CASSIAHUB_DISPATCH_HEDGING_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Hedges that may be saved up.
constexpr std::uint32_t hedge_reserve = 20;

/// Sets the time at which a new attempt of a repeatable kind counts as a straggler.
void schedule_hedge(dispatch_state & state, job_state const & job,
                    running_attempt & attempt, attempt_id const & id, time_point now);

/// Starts a second attempt beside each straggler that is due, when there is room and
/// budget.
void start_due_hedges(dispatch_state & state, time_point now, random_source & random,
                      effects & out);

} // namespace cassiahub::dispatch::internal

#endif
