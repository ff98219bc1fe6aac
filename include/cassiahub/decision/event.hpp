#ifndef CASSIAHUB_DECISION_EVENT_HPP
#define CASSIAHUB_DECISION_EVENT_HPP

#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/decision/peer_message.hpp>
#include <cassiahub/decision/store_message.hpp>
#include <cassiahub/lease/call.hpp>

#include <memory>
#include <variant>

namespace cassiahub::decision
{

/// Identifies a caller's connection that waits for an answer.
using caller_id = std::uint64_t;

/// A caller's request. For query and cancel only m_spec.m_key is set. If
/// m_spec.m_key.m_home_domain is empty, the hash of the key selects the home domain.
struct caller_request
{
    caller_id m_caller = 0;
    key_operation m_operation = key_operation::submit;
    job_spec m_spec;
};

/// A caller's request whose kind is determined by a route of the configuration. The rest
/// of the path after the route's prefix is the key of the job, one segment. The operation
/// count has no key and asks for the number of waiting jobs.
struct routed_request
{
    caller_id m_caller = 0;
    key_operation m_operation = key_operation::submit;
    std::string m_host;
    std::string m_path;
    std::string m_request_id; ///< chosen by the caller, for the log; may be empty
    job_spec m_spec;          ///< for submit; key and kind are not set
};

/// The caller's connection was closed; no answer can be delivered.
struct caller_disconnected
{
    caller_id m_caller = 0;
};

/// An attempt that this instance started has ended.
struct attempt_finished
{
    dispatch::attempt_result m_result;
};

/// A message of another instance has arrived.
struct peer_message_received
{
    instance_id m_from;
    peer_message m_message;
};

/// The connection to a peer was lost, possibly with messages in flight.
struct peer_disconnected
{
    instance_id m_peer;
};

/// Row of the platform's instance list, which lags behind the instances themselves.
struct listed_instance
{
    std::string m_name;
    std::string m_domain;
    /// For an entry instance the address for messages of peers, for an upstream the
    /// address of the upstream itself.
    std::string m_address;
    bool m_is_entry = false;
    bool m_leaving = false;          ///< shutting down; takes no new work
    std::uint64_t m_row_version = 0; ///< of an entry instance's registration
    duration m_age{0};               ///< since the registration's renewal; 0: not known
};

/// The instance list was read.
struct instances_listed
{
    std::vector<listed_instance> m_instances;
};

/// A fleet configuration document was read and validated. It may be older than the one in
/// force.
struct configuration_changed
{
    std::shared_ptr<config::fleet_configuration const> m_configuration;
    std::string m_document; ///< text, to be sent to peers
};

/// The store has confirmed the configuration: nothing newer than what was announced by
/// configuration_changed existed when the store was asked.
struct configuration_confirmed
{
    time_point m_asked_at; ///< when the request was sent
};

/// The drained failure domains were read from the store. Sent for every change of the
/// operator's table and, as a confirmation, for every other reply about it.
struct domains_drained
{
    std::vector<std::string> m_domains;
    std::uint64_t m_version = 0; ///< of the store that m_domains reflects
    time_point m_asked_at;       ///< when the request for the last reply was sent
    /// The store has lost its history and counts from a lower version: m_domains replace
    /// those of any version.
    bool m_replaces = false;
};

/// Registration of an upstream.
struct discovered_upstream
{
    config::upstream m_definition;
    std::uint64_t m_incarnation = 0; ///< start time; 0: not reported
    bool operator==(discovered_upstream const &) const = default;
};

/// The registrations were read: all upstreams that are registered now.
struct upstreams_discovered
{
    std::vector<discovered_upstream> m_upstreams;
};

/// Reading of the store's clock, taken from a reply. All instances use this clock as the
/// common clock of the fleet.
struct fleet_clock_read
{
    std::int64_t m_milliseconds = 0;
};

/// Reply of an upstream to a call of a lease session.
struct upstream_replied
{
    lease::upstream_reply m_reply;
};

/// Advances time without any other event.
struct tick
{
};

/// A planned shutdown has begun.
struct drain_requested
{
};

/// The time limit of a planned shutdown has passed; all requests in progress are aborted.
struct drain_expired
{
};

using event =
    std::variant<caller_request, routed_request, caller_disconnected, attempt_finished,
                 peer_message_received, peer_disconnected, store_reply, instances_listed,
                 configuration_changed, configuration_confirmed, domains_drained,
                 upstreams_discovered, fleet_clock_read, upstream_replied, tick,
                 drain_requested, drain_expired>;

} // namespace cassiahub::decision

#endif
