#include <cassiahub/decision/step.hpp>
#include <cassiahub/membership/members.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace cassiahub::decision
{

namespace internal
{

/// \returns true when a live member of this domain reports to own \p shard.
bool is_held_by_member(entry_state const & state, std::uint32_t shard)
{
    auto const & members = state.m_membership.m_members;
    return std::any_of(members.begin(), members.end(),
                       [&state, shard](auto const & entry)
                       {
                           membership::member const & known = entry.second;
                           return known.m_live &&
                                  known.m_domain == state.m_identity.m_domain &&
                                  membership::held_epoch(known, shard) > 0;
                       });
}

/// \returns true when another failure domain has known members and none of them is live.
bool has_silent_domain(entry_state const & state)
{
    std::set<std::string_view> known;
    std::set<std::string_view> live;
    for (auto const & [id, entry] : state.m_membership.m_members)
    {
        known.insert(entry.m_domain);
        if (entry.m_live)
        {
            live.insert(entry.m_domain);
        }
    }
    known.erase(state.m_identity.m_domain);
    live.erase(state.m_identity.m_domain);
    return known != live;
}

} // namespace internal

bool knows_every_owner(entry_state const & state)
{
    auto const & shards = state.m_ownership.m_shards;
    for (std::uint32_t shard = 0; shard < shards.size(); ++shard)
    {
        if (shards[shard].m_phase != ownership::shard_phase::serving &&
            !internal::is_held_by_member(state, shard))
        {
            return false;
        }
    }
    return state.m_dispatch.m_configuration != nullptr && !shards.empty() &&
           !internal::has_silent_domain(state);
}

bool can_serve(entry_state const & state)
{
    auto const & sessions = state.m_leasing.m_sessions.m_sessions;
    bool const serves =
        std::any_of(sessions.begin(), sessions.end(),
                    [](auto const & entry)
                    { return entry.second.m_phase == lease::session_phase::serving; });
    return state.m_dispatch.m_configuration != nullptr && state.m_drains.m_version != 0 &&
           (serves || !membership::near_members(state.m_membership).empty());
}

} // namespace cassiahub::decision
