#ifndef CASSIAHUB_DISPATCH_UPSTREAMS_HPP
#define CASSIAHUB_DISPATCH_UPSTREAMS_HPP

#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// \returns true when the upstream may get new attempts.
bool is_usable(upstream_state const & upstream) noexcept;

/// Brings the capacity index and the sums in line with upstream \p id. Must follow every
/// change of the upstream.
void refresh_room(dispatch_state & state, std::uint32_t id);

/// Accounts for an attempt that starts on or leaves upstream \p id.
void occupy_slot(dispatch_state & state, std::uint32_t id, resources const & demand);
void vacate_slot(dispatch_state & state, std::uint32_t id, resources const & demand);

/// Withholds one free slot of \p id until \p until.
void hold_slot(dispatch_state & state, std::uint32_t id, time_point until);
void release_hold(dispatch_state & state, std::uint32_t id);

} // namespace cassiahub::dispatch::internal

#endif
