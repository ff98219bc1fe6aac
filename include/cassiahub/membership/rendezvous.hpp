#ifndef CASSIAHUB_MEMBERSHIP_RENDEZVOUS_HPP
#define CASSIAHUB_MEMBERSHIP_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::membership
{

/// \returns the index of the name in \p names with the highest rank for \p item. Removing
/// a name that was not chosen does not change the choice.
/// \pre \p names is not empty.
std::size_t rendezvous_choice(std::span<std::string const> names, std::string_view item);

/// Assigns the shards 0 to \p count - 1 so that no name gets more than an equal share,
/// rounded up. Each shard goes to the name with the highest rank that is below its share.
/// \returns for each shard an index into \p names; empty when \p names is empty.
std::vector<std::size_t> assign_shards(std::span<std::string const> names,
                                       std::uint32_t count);

/// Name and failure domain of an instance or an upstream.
struct placed_name
{
    std::string m_name;
    std::string m_domain;
};

/// Assigns the items of each domain to the owners in that domain, or to all owners when
/// the domain has none. No owner gets more than an equal share of the items of a domain,
/// rounded up. Only domains whose items may go to \p owner are examined.
/// \returns the indices of the items assigned to \p owner, ascending; empty when \p owner
/// is not in \p owners.
std::vector<std::size_t> items_of_owner(std::span<placed_name const> owners,
                                        std::span<placed_name const> items,
                                        std::string_view owner);

} // namespace cassiahub::membership

#endif
