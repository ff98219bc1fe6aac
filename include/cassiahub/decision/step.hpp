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

/// \returns the state of an instance that has just started.
entry_state make_entry_state(entry_identity identity);

/// Handles one event and appends what has to be done to \p actions, in order.
/// Pure: reads and writes only its arguments. \p now never goes back between calls.
void step(entry_state & state, event occurred, time_point now, random_source & random,
          std::vector<action> & actions);

/// \returns the names of the invariants that \p state breaks; empty when it is sound.
std::vector<std::string_view> check_invariants(entry_state const & state);

/// \returns true when a configuration is in force, every key shard of the own failure
/// domain is served here or reported by a live instance, and every other failure domain
/// with listed instances has a live one. O(shards * members).
bool knows_every_owner(entry_state const & state);

/// \returns true when a configuration is in force and some upstream can be reached, here
/// or through a live instance.
bool can_serve(entry_state const & state);

/// \returns true when a draining instance has nothing left in progress.
bool is_idle(entry_state const & state) noexcept;

} // namespace cassiahub::decision

#endif
