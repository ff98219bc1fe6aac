#ifndef CASSIAHUB_INTERFERENCE_OBSERVER_HPP
#define CASSIAHUB_INTERFERENCE_OBSERVER_HPP

#include <cassiahub/interference/state.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cassiahub::interference
{

// These functions do no I/O and use no globals. An interference_state must not be used by
// two threads at a time.

/// \returns the number of the kind called \p name, which is added when there is room for
/// it, or untracked_kind.
std::uint8_t track_kind(interference_state & state, std::string_view name);

/// \returns the number of the kind called \p name, or untracked_kind.
std::uint8_t find_kind(interference_state const & state, std::string_view name) noexcept;

/// Sets what an operator has decided about a pair, in both directions. Kinds that are not
/// tracked are ignored.
void set_rule(interference_state & state, std::uint8_t left, std::uint8_t right,
              pair_rule rule);

/// Takes back all decisions of operators.
void clear_rules(interference_state & state);

/// Records a finished run. Does not allocate, except for the first runs on an upstream.
void observe(interference_state & state, finished_run const & run, time_point now);

/// Forgets the runs on an upstream that are not compared yet.
void forget_upstream(interference_state & state, std::uint32_t upstream);

/// \returns the factor by which a task of \p kind is expected to be slower beside tasks
/// of the kinds \p neighbours; 1 without evidence. A kind may be named more than once.
double expected_slowdown(interference_state const & state, std::uint8_t kind,
                         std::span<std::uint8_t const> neighbours) noexcept;

/// \returns the factor by which the neighbours of a finished run explain its run time, at
/// least 1.
double explained_slowdown(interference_state const & state,
                          finished_run const & run) noexcept;

/// Combines the evidence of all instances and decides which pairs are kept apart. To be
/// called about once a second.
/// \returns the pairs for which that changed.
std::vector<pair_change> update_pairs(interference_state & state, time_point now);

/// \returns the evidence of this instance, as of \p now.
summary summarize(interference_state const & state, time_point now);

/// Replaces the evidence of another instance. A summary that is repeated or older than
/// the last one changes nothing. Takes effect with the next update_pairs().
void merge(interference_state & state, instance_id const & instance, summary received,
           time_point now);

/// \returns the number of ordered pairs that are kept apart.
std::size_t count_apart(interference_state const & state) noexcept;

} // namespace cassiahub::interference

#endif
