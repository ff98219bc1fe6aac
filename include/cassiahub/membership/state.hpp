#ifndef CASSIAHUB_MEMBERSHIP_STATE_HPP
#define CASSIAHUB_MEMBERSHIP_STATE_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiahub::membership
{

/// Shortest time between heartbeats to a member of the same failure domain. The period
/// grows with the number of members in the domain.
constexpr duration domain_heartbeat_period = std::chrono::milliseconds(250);
/// Upper limit of that period. At this limit, a domain of 30 members costs each of them
/// 58 messages a second. It is a third of the failure timeout.
constexpr duration longest_domain_heartbeat_period = std::chrono::milliseconds(500);
/// Heartbeats per second to the domain of this instance above which their period grows.
constexpr std::int64_t domain_heartbeats_per_second = 48;
/// Time between heartbeats to members of other failure domains.
constexpr duration remote_heartbeat_period = std::chrono::seconds(1);
/// Number of members of each other domain that get a heartbeat without exchanging
/// requests with this instance. They are drawn at random each time.
constexpr std::size_t remote_heartbeat_targets = 2;
/// Time after the last request during which a member of another domain gets every
/// heartbeat; longer than the time limit of nearly every job.
constexpr duration request_heartbeat_time = std::chrono::seconds(30);
/// Time without a heartbeat after which a member of the same domain counts as failed.
constexpr duration domain_failure_timeout = std::chrono::milliseconds(1500);
/// Time without a heartbeat after which a member of another domain counts as failed.
constexpr duration remote_failure_timeout = std::chrono::seconds(5);
/// Time for which heartbeats of a replaced incarnation are ignored; longer than any
/// message is in transit.
constexpr duration retired_incarnation_time = std::chrono::seconds(10);
/// Time without a heartbeat after which a member that the platform does not list is
/// removed.
constexpr duration unlisted_member_retention = std::chrono::seconds(60);
/// A member whose registration in the store has not changed for this long has failed. It
/// is three times the period at which members renew their registrations.
constexpr duration registration_timeout = std::chrono::milliseconds(3000);
/// Age at which the list is outdated: it no longer shows which registrations are fresh.
constexpr duration max_instance_list_age = std::chrono::milliseconds(2500);
/// A longer gap between two calls of expire_members() shows that this instance was
/// suspended. The gap does not count towards the failure timeouts of the members.
constexpr duration suspension_gap = std::chrono::milliseconds(500);
/// Time after a suspension of this instance in which the messages and the disconnects
/// that arrived during it are read.
constexpr duration catch_up_time = std::chrono::milliseconds(100);
/// Time for the first heartbeat of a listed member to arrive: one heartbeat period and
/// the set-up of a connection in each direction.
constexpr duration first_heartbeat_timeout = std::chrono::milliseconds(1000);
/// Time after the start before upstreams and shards are first assigned, so that the first
/// heartbeats of the other members of the domain can arrive.
constexpr duration discovery_time = std::chrono::milliseconds(500);

/// Number of members of other failure domains up to which an instance shares work with
/// all of them. Above it, each instance has partners: pairs of members that a hash of
/// both names selects, so that the work and the messages of an instance do not grow with
/// the number of failure domains.
constexpr std::size_t max_remote_members_without_selection = 48;
/// Least expected number of partners of an instance above that limit; the expected number
/// is below twice this one.
constexpr std::size_t min_expected_partners = 8;

/// Bound on the difference between the rates of two instances' clocks: they are
/// disciplined by at most this much.
constexpr double clock_drift = 0.001;

/// A shard lease that the sender of a heartbeat holds.
struct held_shard
{
    std::uint32_t m_shard = 0;
    std::uint64_t m_epoch = 0;
    bool operator==(held_shard const &) const = default;
};

/// Content of a heartbeat.
struct member_report
{
    std::uint64_t m_incarnation = 0;
    std::string m_domain;
    std::string m_address;
    time_point m_sent_at; ///< on the sender's clock
    std::uint64_t m_configuration_version = 0;
    bool m_leaving = false;
    bool m_store_contact = false;
    std::vector<held_shard> m_holdings;
    std::vector<std::string> m_held_upstreams;
    bool m_selected = false; ///< the sender has selected this instance as its partner
    /// Version of the drained domains that it knows; empty: it takes no notice of them.
    std::optional<std::uint64_t> m_drains_version;
    bool m_requests_configuration = false; ///< it asks peers for documents
};

/// An entry instance in the platform's list.
struct listed_member
{
    instance_id m_instance;
    std::string m_domain;
    std::string m_address;
    bool m_leaving = false;
    std::uint64_t m_row_version = 0; ///< version of its registration; 0: none
    duration m_age{0};               ///< age of its registration; 0: not known
};

/// An incarnation of a member that was replaced by a later one.
struct retired_incarnation
{
    std::uint64_t m_incarnation = 0;
    time_point m_retired_at;
};

/// Another entry instance, known from the list or from its heartbeats.
struct member
{
    std::string m_domain;
    /// Hash of the names of this instance and the member, equal at both; see
    /// membership_state::m_selection_bits.
    std::uint64_t m_pair_hash = 0;
    std::string m_listed_address; ///< empty when not listed
    member_report m_report;       ///< content of the last heartbeat
    bool m_live = false;          ///< heartbeats arrive within the failure timeout
    bool m_listed = false;
    time_point m_first_listed_at;    ///< zero when it was never listed
    std::uint64_t m_row_version = 0; ///< version of its registration; 0: none
    time_point m_row_changed_at;     ///< when its registration last changed
    /// Arrival of the last heartbeat, moved forward by the time for which this instance
    /// was suspended since then. Heartbeats that arrived during a suspension are still
    /// unread, so that time does not count towards the failure timeout.
    time_point m_last_heard_at;
    /// Time on this instance's clock at which the member was alive: when it sent the last
    /// heartbeat, or earlier. A heartbeat that is read long after it arrived shows only
    /// that the member was alive when it sent it.
    time_point m_alive_at;
    duration m_clock_offset{0}; ///< m_alive_at less the time of sending
    time_point m_report_at;     ///< arrival of the last heartbeat, for clock conversion
    time_point m_every_heartbeat_until; ///< request_heartbeat_time after the last request
    std::vector<retired_incarnation> m_retired; ///< replaced incarnations
};

/// The other entry instances, as known to this one. Used by the decision thread only.
struct membership_state
{
    instance_id m_self;
    std::string m_domain;
    /// Instances share work across failure domains: with all members, or with partners in
    /// the other domains when the fleet is large (is_selected()).
    bool m_spans_domains = false;
    /// A member of another domain is selected as a partner if this many leading bits of
    /// member::m_pair_hash are 0. Instances that see fleets of different sizes may differ
    /// in it, so a member is also near when it says that it has selected this instance.
    std::uint32_t m_selection_bits = 0;
    duration m_failure_timeout = domain_failure_timeout; ///< timeout of near members
    time_point m_listed_at;                              ///< when the list was last read
    std::map<instance_id, member> m_members;             ///< without this instance
    time_point m_started_at;
    time_point m_last_call;
    time_point m_resumed_at; ///< end of the last suspension of this instance; zero: none
    time_point m_next_domain_heartbeat;
    time_point m_next_remote_heartbeat;
};

} // namespace cassiahub::membership

#endif
