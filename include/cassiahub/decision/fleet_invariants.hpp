#ifndef CASSIAHUB_DECISION_FLEET_INVARIANTS_HPP
#define CASSIAHUB_DECISION_FLEET_INVARIANTS_HPP

#include <cassiahub/decision/entry_state.hpp>

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cassiahub::decision
{

/// Checks the invariants that span several instances, for tests that can access all
/// states.
/// \returns the names of the invariants that are broken; empty when all hold.
inline std::vector<std::string_view>
check_fleet_invariants(std::span<entry_state const * const> instances)
{
    std::vector<std::string_view> broken;
    std::set<std::tuple<std::string_view, std::size_t, std::uint64_t>> held;
    for (entry_state const * const instance : instances)
    {
        ownership::ownership_state const & ownership = instance->m_ownership;
        for (std::size_t index = 0; index < ownership.m_shards.size(); ++index)
        {
            ownership::shard_state const & shard = ownership.m_shards[index];
            bool const serving = shard.m_phase == ownership::shard_phase::serving;
            if (serving && !held.emplace(ownership.m_domain, index, shard.m_epoch).second)
            {
                broken.emplace_back("two_owners_in_one_epoch");
            }
        }
    }
    return broken;
}

} // namespace cassiahub::decision

#endif
