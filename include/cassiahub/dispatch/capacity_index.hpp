#ifndef CASSIAHUB_DISPATCH_CAPACITY_INDEX_HPP
#define CASSIAHUB_DISPATCH_CAPACITY_INDEX_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/core/resources.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace cassiahub::dispatch
{

/// Slots and resources that an upstream offers at the moment.
struct offered_room
{
    std::uint32_t m_slots = 0;
    resources m_free;
    bool operator==(offered_room const &) const = default;
};

/// Binary tree over upstreams. An inner node holds the maximum of its children in each
/// dimension, so a subtree without room is skipped as a whole.
struct capacity_index
{
    std::size_t m_leaves = 0; ///< a power of two
    std::vector<offered_room> m_nodes;
};

/// Makes room for \p count leaves; present leaves keep their values.
void grow_index(capacity_index & index, std::size_t count);

/// Replaces the room of leaf \p leaf. O(log leaves).
void set_room(capacity_index & index, std::uint32_t leaf, offered_room room);

/// \returns a random leaf with a slot and room for \p demand other than \p avoid.
/// Usually O(log leaves); the search gives up after a fixed number of nodes.
std::optional<std::uint32_t> find_room(capacity_index const & index,
                                       resources const & demand, std::uint32_t avoid,
                                       random_source & random);

/// \returns true when some upstream offers a slot.
bool has_slot(capacity_index const & index) noexcept;

} // namespace cassiahub::dispatch

#endif
