#ifndef CASSIAHUB_MEMBERSHIP_MEMBERS_HPP
#define CASSIAHUB_MEMBERSHIP_MEMBERS_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/membership/state.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace cassiahub::membership
{

// Every function here is pure: it reads and writes only its arguments, and one thread
// at a time may use a state.

/// What a heartbeat changed.
enum class report_effect
{
    ignored,   ///< from a replaced incarnation, or overtaken by a later heartbeat
    refreshed, ///< the sender was live already
    joined,    ///< the sender was not live
    restarted  ///< the sender replaces an earlier incarnation that was live
};

/// Takes in the platform's list. It adds candidates and addresses; whether a member is
/// live is decided by heartbeats only.
void merge_list(membership_state & state, std::span<listed_member const> listed,
                time_point now);

/// Takes in a heartbeat that arrived at \p now.
report_effect receive_report(membership_state & state, instance_id const & from,
                             member_report report, time_point now);

/// Notes that requests go between this instance and \p peer, which then gets every
/// heartbeat for some time.
void note_request(membership_state & state, instance_id const & peer, time_point now);

/// Must be called at least every 100 ms. Marks silent members as failed.
/// \returns the members that have failed since the last call.
std::vector<instance_id> expire_members(membership_state & state, time_point now);

/// \returns the members to which a heartbeat is due now.
std::vector<instance_id> take_due_heartbeats(membership_state & state, time_point now,
                                             random_source & random);

/// \returns the member \p instance when it is live, else nullptr.
member const * find_live(membership_state const & state, instance_id const & instance);

/// \returns the address at which to reach \p entry: the listed one, if any.
std::string_view address_of(member const & entry) noexcept;

/// \returns the live members of \p domain that are not leaving, without this instance,
/// sorted.
std::vector<instance_id> live_members(membership_state const & state,
                                      std::string_view domain);

/// \returns true when \p entry shares its work with this instance.
bool is_near(membership_state const & state, member const & entry) noexcept;

/// \returns the near members that are live and not leaving, without this instance,
/// sorted.
std::vector<instance_id> near_members(membership_state const & state);

/// \returns true when \p entry may still hold leases although it is not heard: its
/// registration is fresh, or the store cannot tell and this instance reaches only a
/// minority.
bool may_be_alive(membership_state const & state, member const & entry, time_point now);

/// \returns true when this instance has heard what the listed members hold, or has waited
/// for them long enough.
bool is_introduced(membership_state const & state, time_point now);

/// \returns the epoch under which \p entry reports to own \p shard; 0 when it does not.
std::uint64_t held_epoch(member const & entry, std::uint32_t shard) noexcept;

/// Converts the local limit \p local to the clock of \p peer, so that it is never later
/// than the true limit.
/// \pre a heartbeat of \p peer has arrived.
time_point to_peer_clock(member const & peer, time_point local) noexcept;

/// \returns the names of the invariants that \p state breaks; empty when it is sound.
std::vector<std::string_view> check_invariants(membership_state const & state);

} // namespace cassiahub::membership

#endif
