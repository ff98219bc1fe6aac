#ifndef CASSIAHUB_SRC_DISPATCH_INVARIANTS_HPP
#define CASSIAHUB_SRC_DISPATCH_INVARIANTS_HPP

#include <cassiahub/dispatch/state.hpp>

#include <string_view>
#include <vector>

namespace cassiahub::dispatch::internal
{

/// Names of the invariants that do not hold, each of them once.
using violation_names = std::vector<std::string_view>;

/// Adds \p name, unless it is listed, if the invariant is \p violated.
void add_if_violated(violation_names & violations, bool violated, std::string_view name);

/// Checks that each element of dispatch_state::m_upstreams is either unused or listed by
/// name and a member of the pool of its service, and that whatever refers to an element
/// refers to one in use.
void check_elements(dispatch_state const & state, violation_names & violations);

/// Checks that each pool refers to its members only, and its totals.
void check_pools(dispatch_state const & state, violation_names & violations);

} // namespace cassiahub::dispatch::internal

#endif
