#ifndef CASSIAHUB_MEMBERSHIP_STATE_HPP
#define CASSIAHUB_MEMBERSHIP_STATE_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassiahub::membership
{

/// Time between heartbeats to a member of the same failure domain.
constexpr duration domain_heartbeat_period = std::chrono::milliseconds(250);
/// The period in a domain grows up to this value when the domain is large, so that 30
/// members cost 58 messages a second. It is a third of the failure timeout.
constexpr duration longest_domain_heartbeat_period = std::chrono::milliseconds(500);
/// Heartbeats to the own domain per second above which their period grows.
constexpr std::int64_t domain_heartbeats_per_second = 48;
/// Time between heartbeats to some members of another failure domain.
constexpr duration remote_heartbeat_period = std::chrono::seconds(1);
/// Members of each other domain that get a heartbeat although no request links them.
constexpr std::size_t remote_heartbeat_targets = 2;
/// Time after the last request during which a member of another domain gets every
/// heartbeat; longer than the time limit of nearly every job.
constexpr duration request_interest = std::chrono::seconds(30);
/// Silence after which a member of the same domain counts as failed.
constexpr duration domain_failure_timeout = std::chrono::milliseconds(1500);
/// Silence after which a member of another domain counts as failed.
constexpr duration remote_failure_timeout = std::chrono::seconds(5);
/// Time for which messages of a replaced incarnation are ignored; longer than any
/// message stays on its way.
constexpr duration retired_incarnation_time = std::chrono::seconds(10);
/// Time after which a failed member that the platform does not list is forgotten.
constexpr duration forget_time = std::chrono::seconds(60);
/// A member whose registration in the store has not changed for this long has failed. It
/// is three times the period in which a member renews it.
constexpr duration registration_timeout = std::chrono::milliseconds(3000);
/// Age of the list from which on it no longer tells which registrations are fresh.
constexpr duration list_validity = std::chrono::milliseconds(2500);
/// Gap between two calls after which this instance was itself suspended. Silence of the
/// others during the gap is not held against them.
constexpr duration suspension_gap = std::chrono::milliseconds(500);
/// Time in which a listed member is heard for the first time: the period of heartbeats
/// and a connection in either direction.
constexpr duration introduction_time = std::chrono::milliseconds(1000);
/// Time after the start in which the members of the domain are still being learned.
constexpr duration discovery_time = std::chrono::milliseconds(500);

/// A shard lease that a member reports as its own.
struct held_shard
{
    std::uint32_t m_shard = 0;
    std::uint64_t m_epoch = 0;
    bool operator==(held_shard const &) const = default;
};

/// What one heartbeat says of its sender.
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
};

/// An entry instance in the platform's list.
struct listed_member
{
    instance_id m_instance;
    std::string m_domain;
    std::string m_address;
    bool m_leaving = false;
    std::uint64_t m_row_version = 0; ///< of its registration; 0 where there is none
    duration m_age{0};               ///< of its registration; 0 when not known
};

/// An incarnation that was replaced by another one of the same name.
struct retired_incarnation
{
    std::uint64_t m_incarnation = 0;
    time_point m_retired_at;
};

/// Another entry instance: a candidate from the list, or one that was heard.
struct member
{
    std::string m_domain;
    std::string m_listed_address; ///< empty when the list lacks it
    member_report m_report;       ///< of the last heartbeat
    bool m_live = false;
    bool m_listed = false;
    time_point m_first_listed_at; ///< zero when it was heard of from its heartbeats only
    std::uint64_t m_row_version = 0;
    time_point m_row_changed_at; ///< when its registration was last seen to change
    time_point m_heard_at;       ///< moved on by the length of own suspensions
    time_point m_report_at;      ///< arrival of the last heartbeat, for clock bounds
    time_point m_interest_until;
    std::vector<retired_incarnation> m_retired;
};

/// View that one instance has of the others. Owned by the decision thread.
struct membership_state
{
    instance_id m_self;
    std::string m_domain;
    /// The instances of every domain share their work, so all are treated as near.
    bool m_spans_domains = false;
    duration m_failure_timeout = domain_failure_timeout; ///< of near members
    time_point m_listed_at;                              ///< when the list was last read
    std::map<instance_id, member> m_members;             ///< without m_self
    time_point m_started_at;
    time_point m_last_call;
    time_point m_next_domain_heartbeat;
    time_point m_next_remote_heartbeat;
};

} // namespace cassiahub::membership

#endif
