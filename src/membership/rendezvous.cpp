#include <cassiahub/membership/rendezvous.hpp>

#include <boost/assert.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace cassiahub::membership
{

namespace internal
{

std::uint64_t rank(std::string_view name, std::string_view item)
{
    return XXH3_64bits_withSeed(name.data(), name.size(),
                                XXH3_64bits(item.data(), item.size()));
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
    std::size_t const room = (count + names.size() - 1) / names.size();
    std::vector<std::size_t> taken(names.size(), 0);
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
        std::size_t const owner =
            *std::find_if(order.begin(), order.end(),
                          [&](std::size_t index) { return taken[index] < room; });
        ++taken[owner];
        owners.push_back(owner);
    }
    return owners;
}

} // namespace cassiahub::membership
