#ifndef CASSIAHUB_DISPATCH_CAPACITY_INDEX_HPP
#define CASSIAHUB_DISPATCH_CAPACITY_INDEX_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/core/resources.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace cassiahub::dispatch
{

/// Free slots and resources that an upstream offers to new attempts.
struct offered_capacity
{
    std::uint32_t m_slots = 0;
    resources m_free;
    bool operator==(offered_capacity const &) const = default;
};

/// Segment tree over upstreams. An inner node holds the maximum of its children in each
/// dimension, so a search skips a subtree without capacity as a whole.
struct capacity_index
{
    std::size_t m_leaves = 0;              ///< a power of two; 0: empty
    std::vector<offered_capacity> m_nodes; ///< root at 1, children of n at 2n and 2n + 1
};

/// Grows the tree to at least \p count leaves; existing leaves keep their values.
void grow_index(capacity_index & index, std::size_t count);

/// Sets the free slots and resources of leaf \p leaf. O(log leaves).
/// \pre \p leaf < capacity_index::m_leaves
void set_leaf(capacity_index & index, std::uint32_t leaf, offered_capacity capacity);

/// \returns a random leaf other than \p avoid with a free slot and capacity for \p
/// demand. Usually O(log leaves). The search visits a limited number of nodes, so it may
/// miss a leaf with capacity.
std::optional<std::uint32_t> find_leaf(capacity_index const & index,
                                       resources const & demand, std::uint32_t avoid,
                                       random_source & random);

/// \returns true when some upstream has a free slot.
bool has_slot(capacity_index const & index) noexcept;

} // namespace cassiahub::dispatch

#endif
