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

} // namespace cassiahub::membership

#endif
