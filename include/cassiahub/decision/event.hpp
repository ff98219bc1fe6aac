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

/// Names the caller's connection that waits for an answer.
using caller_token = std::uint64_t;

/// A caller's request. For query and cancel only m_spec.m_key is set. An empty
/// m_spec.m_key.m_home_domain lets the hash of the key choose the home domain.
struct caller_request
{
    caller_token m_caller = 0;
    key_operation m_operation = key_operation::submit;
    job_spec m_spec;
};

/// A caller's request that a route of the configuration assigns to a kind. The key of the
/// job is what follows the route's prefix in the path; without a key it asks for the
/// number of jobs that wait.
struct routed_request
{
    caller_token m_caller = 0;
    key_operation m_operation = key_operation::submit;
    std::string m_host;
    std::string m_path;
    std::string m_request_id; ///< of the caller, for the log; may be empty
    job_spec m_spec;          ///< of a submission, without key and kind
};

/// The caller's connection is gone; no answer can reach it any more.
struct caller_gone
{
    caller_token m_caller = 0;
};

struct attempt_finished
{
    dispatch::attempt_result m_result;
};

struct peer_message_received
{
    instance_id m_from;
    peer_message m_message;
};

/// The connection to a peer broke; messages on it may be lost.
struct peer_disconnected
{
    instance_id m_peer;
};

/// What the platform's instance list says of one instance. The list lags.
struct listed_instance
{
    std::string m_name;
    std::string m_domain;
    std::string m_address; ///< peer address of an entry instance, else of the upstream
    bool m_is_entry = false;
    bool m_leaving = false;
    std::uint64_t m_row_version = 0; ///< of an entry instance's registration
    duration m_age{0};               ///< of that registration; 0 when not known
};

struct instances_listed
{
    std::vector<listed_instance> m_instances;
};

/// A newer fleet document was read and checked.
struct configuration_changed
{
    std::shared_ptr<config::fleet_configuration const> m_configuration;
    std::string m_document; ///< the text, to pass on to peers
};

/// An upstream that has registered itself.
struct discovered_upstream
{
    config::upstream m_definition;
    std::uint64_t m_incarnation = 0; ///< start time; 0: not reported
    bool operator==(discovered_upstream const &) const = default;
};

/// Every upstream that is registered now.
struct upstreams_discovered
{
    std::vector<discovered_upstream> m_upstreams;
};

/// The clock of the store, which all instances share, at the time of a reply.
struct fleet_clock_read
{
    std::int64_t m_milliseconds = 0;
};

/// Reply of an upstream to a call of a lease session.
struct upstream_replied
{
    lease::upstream_reply m_reply;
};

/// Time has passed; nothing else happened.
struct tick
{
};

/// A planned stop has begun.
struct drain_requested
{
};

/// The time for a planned stop is over; what is in progress ends now.
struct drain_expired
{
};

using event = std::variant<caller_request, routed_request, caller_gone, attempt_finished,
                           peer_message_received, peer_disconnected, store_answered,
                           instances_listed, configuration_changed, upstreams_discovered,
                           fleet_clock_read, upstream_replied, tick, drain_requested,
                           drain_expired>;

} // namespace cassiahub::decision

#endif
