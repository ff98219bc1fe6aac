#include <cassiahub/membership/members.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace cassiahub::membership
{

namespace internal
{

bool is_retired(member const & entry, std::uint64_t incarnation, time_point now)
{
    return std::any_of(entry.m_retired.begin(), entry.m_retired.end(),
                       [&](retired_incarnation const & retired)
                       {
                           return retired.m_incarnation == incarnation &&
                                  now - retired.m_retired_at < retired_incarnation_time;
                       });
}

void retire(member & entry, time_point now)
{
    std::erase_if(entry.m_retired, [now](retired_incarnation const & retired)
                  { return now - retired.m_retired_at >= retired_incarnation_time; });
    entry.m_retired.push_back({entry.m_report.m_incarnation, now});
}

/// Treats a long gap between calls as a suspension of this instance. Heartbeats that
/// arrived in the gap are still unread, so every failure timeout is extended by the gap.
void compensate_for_suspension(membership_state & state, time_point now)
{
    duration const gap = now - state.m_last_call;
    if (state.m_last_call != time_point() && gap > suspension_gap)
    {
        for (auto & [id, entry] : state.m_members)
        {
            entry.m_last_heard_at += gap;
        }
        state.m_resumed_at = now;
    }
    state.m_last_call = now;
}

/// Updates member::m_alive_at from a heartbeat sent at \p sent_at on the member's clock.
/// The least difference of arrival and sending so far belongs to the heartbeat with the
/// least delay.
/// \param first whether it is the first heartbeat of its incarnation.
void record_sign_of_life(member & entry, time_point sent_at, bool first, time_point now)
{
    duration const difference = now.time_since_epoch() - sent_at.time_since_epoch();
    auto const drift = std::chrono::duration_cast<duration>(
        clock_drift * std::chrono::duration<double, std::nano>(now - entry.m_report_at));
    entry.m_clock_offset =
        first ? difference : std::min(difference, entry.m_clock_offset + drift);
    entry.m_alive_at = time_point(sent_at.time_since_epoch() + entry.m_clock_offset);
}

/// \returns a hash of two names that does not depend on their order.
std::uint64_t hash_pair(std::string_view left, std::string_view right)
{
    auto const [first, second] = std::minmax(left, right);
    return XXH3_64bits_withSeed(first.data(), first.size(),
                                XXH3_64bits(second.data(), second.size()));
}

/// \returns the member \p id, which is added if it is not known.
member & find_or_add(membership_state & state, instance_id const & id)
{
    auto const [found, added] = state.m_members.try_emplace(id);
    if (added)
    {
        found->second.m_pair_hash = hash_pair(state.m_self.m_value, id.m_value);
    }
    return found->second;
}

/// Adapts the number of partners to the number of members in other domains.
void update_selection(membership_state & state)
{
    auto const remote = static_cast<std::size_t>(std::count_if(
        state.m_members.begin(), state.m_members.end(),
        [&state](auto const & item)
        {
            member const & entry = item.second;
            return entry.m_domain != state.m_domain && (entry.m_listed || entry.m_live);
        }));
    state.m_selection_bits =
        remote <= max_remote_members_without_selection
            ? 0
            : static_cast<std::uint32_t>(std::bit_width(remote / min_expected_partners) -
                                         1);
}

/// \returns true when heartbeats are sent to \p entry.
bool is_heartbeat_target(member const & entry, time_point now)
{
    return entry.m_live || entry.m_listed || entry.m_every_heartbeat_until > now;
}

/// Appends remote_heartbeat_targets random members of each other domain, and all members
/// there that exchange requests with this instance.
void append_remote_targets(membership_state const & state, time_point now,
                           random_source & random, std::vector<instance_id> & targets)
{
    std::map<std::string_view, std::vector<instance_id>> candidates_by_domain;
    for (auto const & [id, entry] : state.m_members)
    {
        if (is_near(state, entry) || !is_heartbeat_target(entry, now))
        {
            continue;
        }
        if (entry.m_every_heartbeat_until > now)
        {
            targets.push_back(id);
        }
        else
        {
            candidates_by_domain[entry.m_domain].push_back(id);
        }
    }
    for (auto & [domain, candidates] : candidates_by_domain)
    {
        std::shuffle(candidates.begin(), candidates.end(), random);
        candidates.resize(std::min(candidates.size(), remote_heartbeat_targets));
        targets.insert(targets.end(), candidates.begin(), candidates.end());
    }
}

} // namespace internal

void update_listed_members(membership_state & state,
                           std::span<listed_member const> listed, time_point now)
{
    state.m_listed_at = now;
    for (auto & [id, entry] : state.m_members)
    {
        entry.m_listed = false;
        entry.m_listed_address.clear();
    }
    for (listed_member const & item : listed)
    {
        if (item.m_instance == state.m_self)
        {
            continue;
        }
        member & entry = internal::find_or_add(state, item.m_instance);
        if (!entry.m_live)
        {
            entry.m_domain = item.m_domain;
        }
        entry.m_listed = true;
        if (entry.m_first_listed_at == time_point())
        {
            entry.m_first_listed_at = now;
        }
        if (entry.m_row_version != item.m_row_version)
        {
            entry.m_row_version = item.m_row_version;
            entry.m_row_changed_at = now - item.m_age;
        }
        entry.m_listed_address = item.m_address;
    }
    internal::update_selection(state);
}

report_effect receive_report(membership_state & state, instance_id const & from,
                             member_report report, time_point now)
{
    if (from == state.m_self)
    {
        return report_effect::ignored;
    }
    member & entry = internal::find_or_add(state, from);
    bool const heard_before = entry.m_report_at != time_point();
    bool const replaced =
        heard_before && entry.m_report.m_incarnation != report.m_incarnation;
    bool const outdated =
        replaced ? internal::is_retired(entry, report.m_incarnation, now)
                 : heard_before && report.m_sent_at < entry.m_report.m_sent_at;
    if (outdated)
    {
        return report_effect::ignored;
    }
    if (replaced)
    {
        internal::retire(entry, now);
    }
    report_effect const effect = !entry.m_live ? report_effect::joined
                                 : replaced    ? report_effect::restarted
                                               : report_effect::refreshed;
    internal::record_sign_of_life(entry, report.m_sent_at, !heard_before || replaced,
                                  now);
    entry.m_domain = report.m_domain;
    entry.m_report = std::move(report);
    entry.m_live = true;
    entry.m_last_heard_at = now;
    entry.m_report_at = now;
    return effect;
}

void record_request(membership_state & state, instance_id const & peer, time_point now)
{
    auto const found = state.m_members.find(peer);
    if (found != state.m_members.end())
    {
        found->second.m_every_heartbeat_until = now + request_heartbeat_time;
    }
}

std::vector<instance_id> expire_members(membership_state & state, time_point now)
{
    internal::compensate_for_suspension(state, now);
    std::vector<instance_id> failed;
    for (auto & [id, entry] : state.m_members)
    {
        duration const timeout =
            is_near(state, entry) ? state.m_failure_timeout : remote_failure_timeout;
        if (entry.m_live && now - entry.m_last_heard_at >= timeout)
        {
            entry.m_live = false;
            failed.push_back(id);
        }
    }
    std::erase_if(state.m_members,
                  [now](auto const & item)
                  {
                      member const & entry = item.second;
                      return !entry.m_live && !entry.m_listed &&
                             now - entry.m_last_heard_at >= unlisted_member_retention;
                  });
    return failed;
}

bool is_catching_up(membership_state const & state, time_point now) noexcept
{
    return state.m_resumed_at != time_point() && now - state.m_resumed_at < catch_up_time;
}

std::vector<instance_id> silent_members(membership_state const & state, time_point now)
{
    std::vector<instance_id> silent;
    if (is_catching_up(state, now))
    {
        return silent;
    }
    for (auto const & [id, entry] : state.m_members)
    {
        if (entry.m_live && is_near(state, entry) &&
            now - entry.m_alive_at >= state.m_failure_timeout)
        {
            silent.push_back(id);
        }
    }
    return silent;
}

duration near_heartbeat_period(membership_state const & state)
{
    auto const peers = std::count_if(state.m_members.begin(), state.m_members.end(),
                                     [&state](auto const & item)
                                     { return is_near(state, item.second); });
    duration const spread = std::chrono::nanoseconds(std::chrono::seconds(1)) * peers /
                            domain_heartbeats_per_second;
    return std::clamp<duration>(spread, domain_heartbeat_period,
                                longest_domain_heartbeat_period);
}

std::vector<instance_id> schedule_heartbeats(membership_state & state, time_point now,
                                             random_source & random)
{
    std::vector<instance_id> targets;
    if (state.m_next_domain_heartbeat <= now)
    {
        state.m_next_domain_heartbeat = now + near_heartbeat_period(state);
        for (auto const & [id, entry] : state.m_members)
        {
            if (is_near(state, entry) && internal::is_heartbeat_target(entry, now))
            {
                targets.push_back(id);
            }
        }
    }
    if (!state.m_spans_domains && state.m_next_remote_heartbeat <= now)
    {
        state.m_next_remote_heartbeat = now + remote_heartbeat_period;
        internal::append_remote_targets(state, now, random, targets);
    }
    return targets;
}

member const * find_live(membership_state const & state, instance_id const & instance)
{
    auto const found = state.m_members.find(instance);
    return found != state.m_members.end() && found->second.m_live ? &found->second
                                                                  : nullptr;
}

std::string_view address_of(member const & entry) noexcept
{
    return entry.m_listed_address.empty() ? entry.m_report.m_address
                                          : entry.m_listed_address;
}

std::vector<instance_id> live_members(membership_state const & state,
                                      std::string_view domain)
{
    std::vector<instance_id> live;
    for (auto const & [id, entry] : state.m_members)
    {
        if (entry.m_live && entry.m_domain == domain && !entry.m_report.m_leaving)
        {
            live.push_back(id);
        }
    }
    return live;
}

bool is_selected(membership_state const & state, member const & entry) noexcept
{
    return state.m_spans_domains && entry.m_domain != state.m_domain &&
           std::countl_zero(entry.m_pair_hash) >=
               static_cast<int>(state.m_selection_bits);
}

bool is_near(membership_state const & state, member const & entry) noexcept
{
    return entry.m_domain == state.m_domain || is_selected(state, entry) ||
           (state.m_spans_domains && entry.m_report.m_selected);
}

std::vector<instance_id> near_members(membership_state const & state)
{
    std::vector<instance_id> live;
    for (auto const & [id, entry] : state.m_members)
    {
        if (entry.m_live && is_near(state, entry) && !entry.m_report.m_leaving)
        {
            live.push_back(id);
        }
    }
    return live;
}

bool may_be_alive(membership_state const & state, member const & entry, time_point now)
{
    if (entry.m_live)
    {
        return true;
    }
    if (now - state.m_listed_at < max_instance_list_age)
    {
        return entry.m_listed && now - entry.m_row_changed_at < registration_timeout;
    }
    std::size_t near = 1;
    std::size_t live = 1;
    for (auto const & [id, other] : state.m_members)
    {
        if (is_near(state, other))
        {
            ++near;
            live += other.m_live ? 1 : 0;
        }
    }
    return live * 2 <= near;
}

bool has_heard_listed_members(membership_state const & state, time_point now)
{
    if (state.m_listed_at == time_point())
    {
        // Registrations made before the store became unavailable have timed out by then.
        return state.m_started_at != time_point() &&
               now - state.m_started_at >= registration_timeout;
    }
    return std::none_of(state.m_members.begin(), state.m_members.end(),
                        [&state, now](auto const & item)
                        {
                            member const & entry = item.second;
                            return entry.m_listed && is_near(state, entry) &&
                                   entry.m_report_at == time_point() &&
                                   now - entry.m_row_changed_at < registration_timeout &&
                                   now - entry.m_first_listed_at <
                                       first_heartbeat_timeout;
                        });
}

std::uint64_t held_epoch(member const & entry, std::uint32_t shard) noexcept
{
    for (held_shard const & holding : entry.m_report.m_holdings)
    {
        if (holding.m_shard == shard)
        {
            return holding.m_epoch;
        }
    }
    return 0;
}

time_point to_peer_clock(member const & peer, time_point local) noexcept
{
    return peer.m_report.m_sent_at + (local - peer.m_report_at);
}

std::vector<std::string_view> check_invariants(membership_state const & state)
{
    std::vector<std::string_view> broken;
    if (state.m_members.contains(state.m_self))
    {
        broken.emplace_back("instance_is_its_own_peer");
    }
    for (auto const & [id, entry] : state.m_members)
    {
        if (entry.m_live && entry.m_report_at == time_point())
        {
            broken.emplace_back("live_member_never_heard");
        }
    }
    return broken;
}

} // namespace cassiahub::membership
