#ifndef CASSIAHUB_DISPATCH_PLACEMENT_HPP
#define CASSIAHUB_DISPATCH_PLACEMENT_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/dispatch/state.hpp>

#include <optional>

namespace cassiahub::dispatch::internal
{

/// Demand of a task and what limits its place.
struct placement_request
{
    resources m_demand;
    bool m_repeatable = false;
    std::uint32_t m_avoid = no_upstream; ///< used only when no other has room
    bool m_avoid_strictly = false;       ///< never use m_avoid
};

/// \returns an owned upstream with room, or none.
std::optional<std::uint32_t> pick_upstream(dispatch_state const & state,
                                           placement_request const & request,
                                           random_source & random);

/// \returns true when a task might find a place here or at a peer.
bool any_room(dispatch_state const & state);

} // namespace cassiahub::dispatch::internal

#endif
