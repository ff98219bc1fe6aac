#ifndef CASSIAHUB_MEMBERSHIP_MEMBERS_HPP
#define CASSIAHUB_MEMBERSHIP_MEMBERS_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/membership/state.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace cassiahub::membership
{

// The functions here read and write only their arguments. One thread at a time may use a
// state.

/// Effect of a heartbeat on the membership state.
enum class report_effect
{
    ignored,   ///< from a replaced incarnation, or sent before one that has arrived
    refreshed, ///< the sender was already live
    joined,    ///< the sender was not live
    restarted  ///< the sender replaces an earlier incarnation that was live
};

/// Updates the members from the platform's list of instances. The list adds members and
/// their addresses; only heartbeats decide whether a member is live.
void update_listed_members(membership_state & state,
                           std::span<listed_member const> listed, time_point now);

/// Processes a heartbeat that arrived at \p now.
report_effect receive_report(membership_state & state, instance_id const & from,
                             member_report report, time_point now);

/// Records that this instance and \p peer exchange requests. \p peer then gets every
/// heartbeat for request_heartbeat_time.
void record_request(membership_state & state, instance_id const & peer, time_point now);

/// Marks members as failed whose heartbeats have timed out. Must be called at least every
/// 100 ms.
/// \returns the members that have failed since the last call.
std::vector<instance_id> expire_members(membership_state & state, time_point now);

/// \returns true directly after a suspension of this instance, while messages that
/// arrived during it may be unread.
bool is_catching_up(membership_state const & state, time_point now) noexcept;

/// \returns the near members that are still live although no heartbeat was sent within
/// the failure timeout: their failure timeout was extended by a suspension of this
/// instance. Empty while is_catching_up().
std::vector<instance_id> silent_members(membership_state const & state, time_point now);

/// \returns the time between heartbeats to the near members. It grows with their number,
/// up to longest_domain_heartbeat_period, to limit the heartbeats per second.
duration near_heartbeat_period(membership_state const & state);

/// Schedules the next heartbeats.
/// \returns the members to which a heartbeat is due now.
std::vector<instance_id> schedule_heartbeats(membership_state & state, time_point now,
                                             random_source & random);

/// \returns the member \p instance when it is live, else nullptr.
member const * find_live(membership_state const & state, instance_id const & instance);

/// \returns the address of \p entry: the listed one if any, else the one in its
/// heartbeat.
std::string_view address_of(member const & entry) noexcept;

/// \returns the live members of \p domain that are not leaving, without this instance,
/// sorted.
std::vector<instance_id> live_members(membership_state const & state,
                                      std::string_view domain);

/// \returns true when this instance has selected \p entry, a member of another failure
/// domain, as a partner. Two instances that see the same fleet select each other.
bool is_selected(membership_state const & state, member const & entry) noexcept;

/// \returns true when \p entry and this instance share work and exchange all heartbeats:
/// they are in the same failure domain, or work is shared across domains and one of them
/// has selected the other as a partner.
bool is_near(membership_state const & state, member const & entry) noexcept;

/// \returns the near members that are live and not leaving, without this instance,
/// sorted.
std::vector<instance_id> near_members(membership_state const & state);

/// \returns true when \p entry may still hold leases: it is live, or its registration in
/// the list is fresh, or the list is outdated and this instance reaches at most half of
/// the near members.
bool may_be_alive(membership_state const & state, member const & entry, time_point now);

/// \returns true when every near listed member with a fresh registration has sent a
/// heartbeat, which reports its leases, or was first listed at least
/// first_heartbeat_timeout ago. Without a list, true once registration_timeout has passed
/// since the start.
bool has_heard_listed_members(membership_state const & state, time_point now);

/// \returns the epoch under which \p entry owns \p shard according to its last
/// heartbeat; 0 when it does not own it.
std::uint64_t held_epoch(member const & entry, std::uint32_t shard) noexcept;

/// Converts the time limit \p local to the clock of \p peer. The result is never later
/// than the exact one.
/// \pre a heartbeat of \p peer has arrived.
time_point to_peer_clock(member const & peer, time_point local) noexcept;

/// \returns the names of the invariants that \p state violates; empty when there are
/// none.
std::vector<std::string_view> check_invariants(membership_state const & state);

} // namespace cassiahub::membership

#endif
