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

/// \returns the index of the name in \p names that ranks highest for \p item. The loss of
/// another name never changes the result.
/// \pre \p names is not empty.
std::size_t rendezvous_choice(std::span<std::string const> names, std::string_view item);

/// Distributes shards 0 to \p count - 1 so that no name gets more than its share rounded
/// up. Each shard goes to the highest ranking name that still has room.
/// \returns for each shard an index into \p names; empty when \p names is empty.
std::vector<std::size_t> assign_shards(std::span<std::string const> names,
                                       std::uint32_t count);

/// Something with a name in a failure domain.
struct placed_name
{
    std::string m_name;
    std::string m_domain;
};

/// Distributes \p items so that no owner of a domain gets more than its share rounded up.
/// An item goes to an owner in its own domain while there is one.
/// \returns for each item an index into \p owners; empty when \p owners is empty.
std::vector<std::size_t> assign_in_domains(std::span<placed_name const> owners,
                                           std::span<placed_name const> items);

} // namespace cassiahub::membership

#endif
