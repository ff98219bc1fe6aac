#ifndef CASSIAHUB_DECISION_STEP_HPP
#define CASSIAHUB_DECISION_STEP_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/decision/action.hpp>
#include <cassiahub/decision/entry_state.hpp>
#include <cassiahub/decision/event.hpp>

#include <string_view>
#include <vector>

namespace cassiahub::decision
{

/// \returns the initial state of an instance.
entry_state make_entry_state(entry_identity identity);

/// Handles one event and appends the resulting actions to \p actions, in the order in
/// which they must be performed. Reads and writes nothing but its arguments.
/// \pre \p now is not before that of the previous call.
void step(entry_state & state, event occurred, time_point now, random_source & random,
          std::vector<action> & actions);

/// \returns the names of the invariants that \p state violates; empty when all hold.
std::vector<std::string_view> check_invariants(entry_state const & state);

/// \returns true when a configuration is in force, every key shard of the own failure
/// domain is served by this or another live instance, and every other failure domain with
/// known instances has a live one. O(shards * members).
bool knows_every_owner(entry_state const & state);

/// \returns true when a configuration is in force, the drained domains are known from the
/// store or a peer, and an upstream is served here or a live peer can be asked to run
/// tasks.
bool can_serve(entry_state const & state);

/// \returns true when the instance is draining and has no jobs, requests, upstreams or
/// shards left.
bool is_idle(entry_state const & state) noexcept;

} // namespace cassiahub::decision

#endif
