#ifndef CASSIAHUB_DISPATCH_NEIGHBOURS_HPP
#define CASSIAHUB_DISPATCH_NEIGHBOURS_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Tracks the kinds of the configuration and applies the operator's rules for pairs.
void configure_interference(dispatch_state & state);

/// Records that \p attempt starts on its upstream.
void begin_run(dispatch_state & state, attempt_id const & id,
               running_attempt const & attempt);

/// Records that \p attempt ends on its upstream. Only successful runs are evidence.
/// \returns the slowdown that its neighbours explain; 1 unless the mode is avoid.
double end_run(dispatch_state & state, attempt_id const & id,
               running_attempt const & attempt, bool succeeded, time_point now);

/// \returns the slowdown expected for a task of \p kind on \p upstream, times the largest
/// one that it would cause to a task there; 1 when no pair of kinds is kept apart.
double sharing_penalty(dispatch_state const & state, std::uint32_t kind,
                       upstream_state const & upstream);

/// Decides once a second which pairs are kept apart and emits the changes.
void update_kept_apart(dispatch_state & state, time_point now, effects & out);

} // namespace cassiahub::dispatch::internal

#endif
