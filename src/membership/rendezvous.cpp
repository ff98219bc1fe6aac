#include <cassiahub/membership/rendezvous.hpp>

#include <boost/assert.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <numeric>

namespace cassiahub::membership
{

namespace internal
{

/// \param seed hash of the item.
/// \returns the weight of \p name for the item in rendezvous hashing.
std::uint64_t seeded_rank(std::string_view name, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

/// \returns the weight of \p name for \p item in rendezvous hashing.
std::uint64_t rank(std::string_view name, std::string_view item)
{
    return seeded_rank(name, XXH3_64bits(item.data(), item.size()));
}

/// Owners to which the items of one domain may be assigned.
struct domain_share
{
    std::vector<std::size_t> m_candidates;
    std::size_t m_max_items = 0;         ///< for each candidate
    std::vector<std::size_t> m_assigned; ///< items assigned so far, for each candidate
};

domain_share share_of(std::span<placed_name const> owners,
                      std::span<placed_name const> items, std::string_view domain)
{
    domain_share share;
    for (std::size_t index = 0; index < owners.size(); ++index)
    {
        if (owners[index].m_domain == domain)
        {
            share.m_candidates.push_back(index);
        }
    }
    if (share.m_candidates.empty())
    {
        share.m_candidates.resize(owners.size());
        std::iota(share.m_candidates.begin(), share.m_candidates.end(), std::size_t(0));
    }
    auto const count = static_cast<std::size_t>(std::count_if(
        items.begin(), items.end(),
        [domain](placed_name const & item) { return item.m_domain == domain; }));
    share.m_max_items =
        (count + share.m_candidates.size() - 1) / share.m_candidates.size();
    share.m_assigned.assign(share.m_candidates.size(), 0);
    return share;
}

/// Assigns \p item to the candidate with the highest rank that is below its share.
/// \returns the index of the owner.
std::size_t assign_item(std::span<placed_name const> owners, domain_share & share,
                        std::string_view item)
{
    std::uint64_t const seed = XXH3_64bits(item.data(), item.size());
    std::size_t best = share.m_candidates.size();
    std::uint64_t best_rank = 0;
    for (std::size_t index = 0; index < share.m_candidates.size(); ++index)
    {
        if (share.m_assigned[index] >= share.m_max_items)
        {
            continue;
        }
        std::uint64_t const rank =
            seeded_rank(owners[share.m_candidates[index]].m_name, seed);
        if (best == share.m_candidates.size() || rank > best_rank)
        {
            best = index;
            best_rank = rank;
        }
    }
    ++share.m_assigned[best];
    return share.m_candidates[best];
}

} // namespace internal

std::size_t rendezvous_choice(std::span<std::string const> names, std::string_view item)
{
    BOOST_ASSERT(!names.empty());
    std::size_t best = 0;
    for (std::size_t index = 1; index < names.size(); ++index)
    {
        if (internal::rank(names[index], item) > internal::rank(names[best], item))
        {
            best = index;
        }
    }
    return best;
}

std::vector<std::size_t> assign_shards(std::span<std::string const> names,
                                       std::uint32_t count)
{
    std::vector<std::size_t> owners;
    if (names.empty())
    {
        return owners;
    }
    std::size_t const max_shards = (count + names.size() - 1) / names.size();
    std::vector<std::size_t> assigned(names.size(), 0);
    std::vector<std::size_t> order(names.size());
    for (std::uint32_t shard = 0; shard < count; ++shard)
    {
        std::string const item = "shard/" + std::to_string(shard);
        std::iota(order.begin(), order.end(), std::size_t(0));
        std::sort(order.begin(), order.end(),
                  [&](std::size_t left, std::size_t right) {
                      return internal::rank(names[left], item) >
                             internal::rank(names[right], item);
                  });
        std::size_t const owner = *std::find_if(order.begin(), order.end(),
                                                [&](std::size_t index)
                                                { return assigned[index] < max_shards; });
        ++assigned[owner];
        owners.push_back(owner);
    }
    return owners;
}

std::vector<std::size_t> items_of_owner(std::span<placed_name const> owners,
                                        std::span<placed_name const> items,
                                        std::string_view owner)
{
    std::vector<std::size_t> result;
    if (owners.empty())
    {
        return result;
    }
    std::map<std::string_view, internal::domain_share> shares;
    for (std::size_t index = 0; index < items.size(); ++index)
    {
        placed_name const & item = items[index];
        auto const inserted = shares.try_emplace(item.m_domain);
        internal::domain_share & share = inserted.first->second;
        if (inserted.second)
        {
            share = internal::share_of(owners, items, item.m_domain);
            bool const is_candidate = std::any_of(
                share.m_candidates.begin(), share.m_candidates.end(),
                [&](std::size_t entry) { return owners[entry].m_name == owner; });
            if (!is_candidate)
            {
                share.m_candidates.clear();
            }
        }
        if (!share.m_candidates.empty() &&
            owners[internal::assign_item(owners, share, item.m_name)].m_name == owner)
        {
            result.push_back(index);
        }
    }
    return result;
}

} // namespace cassiahub::membership
