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
    bool m_may_probe = false;            ///< it may run again when the upstream fails it
    std::uint32_t m_avoid = no_upstream; ///< used only when no other has room
    bool m_avoid_strictly = false;       ///< never use m_avoid
};

/// \returns true when a task of \p kind that has failed \p failures times may try an
/// upstream that is likely to fail it.
bool may_probe(config::work_kind const & kind, std::uint32_t failures) noexcept;

/// \returns an owned upstream with room, or none.
std::optional<std::uint32_t> pick_upstream(dispatch_state const & state,
                                           placement_request const & request,
                                           random_source & random);

/// \returns true when a task might find a place here or at a peer.
bool any_room(dispatch_state const & state);

} // namespace cassiahub::dispatch::internal

#endif
