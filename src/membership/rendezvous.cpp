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

/// \returns the weight of \p name for \p item in rendezvous hashing.
std::uint64_t rank(std::string_view name, std::string_view item)
{
    return XXH3_64bits_withSeed(name.data(), name.size(),
                                XXH3_64bits(item.data(), item.size()));
}

/// \returns the candidates in descending order of their rank for \p item.
std::vector<std::size_t> rank_candidates(std::span<placed_name const> owners,
                                         std::vector<std::size_t> candidates,
                                         std::string_view item)
{
    std::sort(
        candidates.begin(), candidates.end(),
        [&](std::size_t left, std::size_t right)
        { return rank(owners[left].m_name, item) > rank(owners[right].m_name, item); });
    return candidates;
}

/// Owners to which the items of one domain may be assigned.
struct domain_share
{
    std::vector<std::size_t> m_candidates;
    std::size_t m_max_items = 0; ///< for each owner
};

domain_share share_of(std::span<placed_name const> owners,
                      std::span<placed_name const> items, std::string_view domain)
{
    domain_share share;
    std::vector<std::size_t> all_owners;
    for (std::size_t index = 0; index < owners.size(); ++index)
    {
        all_owners.push_back(index);
        if (owners[index].m_domain == domain)
        {
            share.m_candidates.push_back(index);
        }
    }
    if (share.m_candidates.empty())
    {
        share.m_candidates = std::move(all_owners);
    }
    auto const count = static_cast<std::size_t>(std::count_if(
        items.begin(), items.end(),
        [domain](placed_name const & item) { return item.m_domain == domain; }));
    share.m_max_items =
        (count + share.m_candidates.size() - 1) / share.m_candidates.size();
    return share;
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

std::vector<std::size_t> assign_in_domains(std::span<placed_name const> owners,
                                           std::span<placed_name const> items)
{
    std::vector<std::size_t> result;
    if (owners.empty())
    {
        return result;
    }
    std::map<std::string_view, internal::domain_share> shares;
    std::map<std::string_view, std::vector<std::size_t>> assigned;
    for (placed_name const & item : items)
    {
        auto const inserted = shares.try_emplace(item.m_domain);
        internal::domain_share & share = inserted.first->second;
        if (inserted.second)
        {
            share = internal::share_of(owners, items, item.m_domain);
            assigned[item.m_domain].assign(owners.size(), 0);
        }
        std::vector<std::size_t> & counts = assigned[item.m_domain];
        std::vector<std::size_t> const ranked =
            internal::rank_candidates(owners, share.m_candidates, item.m_name);
        std::size_t const owner = *std::find_if(
            ranked.begin(), ranked.end(),
            [&](std::size_t index) { return counts[index] < share.m_max_items; });
        ++counts[owner];
        result.push_back(owner);
    }
    return result;
}

} // namespace cassiahub::membership
