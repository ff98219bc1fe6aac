#include <cassiahub/dispatch/capacity_index.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace cassiahub::dispatch
{

namespace internal
{

/// Nodes that one search may visit. An inner node combines maxima of different
/// upstreams, so it may seem to fit a demand that none of its leaves fits; the limit
/// bounds the cost of a decision.
constexpr std::uint32_t visit_limit = 256;

bool has_capacity(offered_capacity const & capacity, resources const & demand)
{
    return capacity.m_slots > 0 && fits(demand, capacity.m_free);
}

offered_capacity larger(offered_capacity const & left, offered_capacity const & right)
{
    return {std::max(left.m_slots, right.m_slots),
            {std::max(left.m_free.m_millicores, right.m_free.m_millicores),
             std::max(left.m_free.m_memory_mib, right.m_free.m_memory_mib),
             std::max(left.m_free.m_accelerators, right.m_free.m_accelerators)}};
}

/// State of one search, shared by all levels of the recursion.
struct leaf_search
{
    capacity_index const & m_index;
    resources const & m_demand;
    std::uint32_t m_avoid;
    /// Random bits, used in the order of visits: each inner node with capacity takes the
    /// lowest bit, which selects the child to try first. After 64 such visits the bits
    /// are 0, so the left child is tried first.
    std::uint64_t m_branch_bits;
    std::uint32_t m_visits = 0;
};

std::optional<std::uint32_t> search_node(leaf_search & search, std::size_t node)
{
    if (++search.m_visits > visit_limit ||
        !has_capacity(search.m_index.m_nodes[node], search.m_demand))
    {
        return std::nullopt;
    }
    if (node >= search.m_index.m_leaves)
    {
        auto const leaf = static_cast<std::uint32_t>(node - search.m_index.m_leaves);
        return leaf == search.m_avoid ? std::nullopt : std::optional(leaf);
    }
    std::size_t const first = search.m_branch_bits & 1;
    search.m_branch_bits >>= 1;
    if (auto const found = search_node(search, 2 * node + first))
    {
        return found;
    }
    return search_node(search, 2 * node + 1 - first);
}

} // namespace internal

void grow_index(capacity_index & index, std::size_t count)
{
    if (count <= index.m_leaves)
    {
        return;
    }
    std::size_t leaves = std::max<std::size_t>(index.m_leaves, 1);
    while (leaves < count)
    {
        leaves *= 2;
    }
    capacity_index grown{leaves, std::vector<offered_capacity>(2 * leaves)};
    for (std::size_t leaf = 0; leaf < index.m_leaves; ++leaf)
    {
        set_leaf(grown, static_cast<std::uint32_t>(leaf),
                 index.m_nodes[index.m_leaves + leaf]);
    }
    index = std::move(grown);
}

void set_leaf(capacity_index & index, std::uint32_t leaf, offered_capacity capacity)
{
    BOOST_ASSERT(leaf < index.m_leaves);
    std::size_t node = index.m_leaves + leaf;
    index.m_nodes[node] = capacity;
    while (node > 1)
    {
        node /= 2;
        offered_capacity const merged =
            internal::larger(index.m_nodes[2 * node], index.m_nodes[2 * node + 1]);
        if (merged == index.m_nodes[node])
        {
            return;
        }
        index.m_nodes[node] = merged;
    }
}

std::optional<std::uint32_t> find_leaf(capacity_index const & index,
                                       resources const & demand, std::uint32_t avoid,
                                       random_source & random)
{
    if (index.m_leaves == 0)
    {
        return std::nullopt;
    }
    internal::leaf_search search{index, demand, avoid, random()};
    return internal::search_node(search, 1);
}

bool has_slot(capacity_index const & index) noexcept
{
    return index.m_leaves > 0 && index.m_nodes[1].m_slots > 0;
}

} // namespace cassiahub::dispatch
