#ifndef CASSIAHUB_DECISION_EVENT_HPP
#define CASSIAHUB_DECISION_EVENT_HPP

#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/decision/peer_message.hpp>
#include <cassiahub/decision/store_message.hpp>

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

/// Time has passed; nothing else happened.
struct tick
{
};

/// A planned stop has begun.
struct drain_requested
{
};

using event =
    std::variant<caller_request, caller_gone, attempt_finished, peer_message_received,
                 peer_disconnected, store_answered, instances_listed,
                 configuration_changed, tick, drain_requested>;

} // namespace cassiahub::decision

#endif
