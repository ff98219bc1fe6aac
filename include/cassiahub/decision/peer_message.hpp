#ifndef CASSIAHUB_DECISION_PEER_MESSAGE_HPP
#define CASSIAHUB_DECISION_PEER_MESSAGE_HPP

#include <cassiahub/core/job.hpp>
#include <cassiahub/dispatch/attempt.hpp>
#include <cassiahub/dispatch/crash_history.hpp>
#include <cassiahub/dispatch/state.hpp>
#include <cassiahub/interference/state.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cassiahub::decision
{

/// Request number: chosen by the sender and repeated in the answer.
using peer_request_number = std::uint64_t;

/// Operation of a request on a key.
enum class key_operation
{
    submit,
    query,
    cancel,
    count ///< number of waiting jobs; never sent to a peer
};

/// Forwards a caller's request to the owner of the key or, in another failure domain, to
/// any instance of the key's home domain. For query and cancel only m_spec.m_key is set.
struct forward_request
{
    peer_request_number m_request = 0;
    key_operation m_operation = key_operation::submit;
    job_spec m_spec; ///< m_time_limit: time left until the deadline
};

/// Answers a forward_request.
struct request_answered
{
    peer_request_number m_request = 0;
    job_answer m_answer;
};

/// Asks the receiver to run a task on one of its upstreams. The sender converts the times
/// in m_start to the receiver's clock, with a bound derived from the last heartbeat.
struct forward_task
{
    dispatch::attempt_start m_start;
};

/// Reports the result of a forward_task.
struct task_reported
{
    dispatch::attempt_result m_result;
};

/// Cancels a forward_task.
struct cancel_task
{
    attempt_id m_attempt;
};

/// A shard that the sender owns.
struct shard_holding
{
    std::uint32_t m_shard = 0;
    std::uint64_t m_epoch = 0;
};

/// Periodic liveness message with the sender's state.
struct heartbeat
{
    std::uint64_t m_incarnation = 0;
    std::string m_domain;
    std::string m_peer_address;
    time_point m_sent_at; ///< on the sender's clock
    std::uint64_t m_configuration_version = 0;
    bool m_leaving = false;                ///< the sender is draining
    bool m_store_contact = false;          ///< the sender has reached the store recently
    std::vector<shard_holding> m_holdings; ///< shards that the sender serves
    std::vector<dispatch::peer_load> m_loads;  ///< one for each service of its upstreams
    std::vector<std::string> m_held_upstreams; ///< upstreams under a lease of the sender
    std::int64_t m_fleet_clock_ms = 0; ///< clock of the store at m_sent_at; 0: not known
    /// The sender has selected the receiver as its partner (membership::is_selected()).
    bool m_selected = false;
    /// Version of the drained domains that the sender knows; 0: it knows none yet. Empty:
    /// it does not take a drained_domains_notice.
    std::optional<std::uint64_t> m_drains_version;
    /// Evidence of the sender about kinds that slow each other down; without pairs in
    /// most heartbeats. m_incarnation is that of the heartbeat.
    interference::summary m_interference{};
    /// The sender asks for documents with a configuration_request and answers such
    /// requests; earlier software gets and sends documents unasked.
    bool m_requests_configuration = false;
    /// Upstreams held by the receiver that drain by their registrations.
    std::vector<dispatch::upstream_identity> m_draining_upstreams{};
};

/// Load and free capacity of the sender's upstreams of one service. Sent between
/// heartbeats when the number of free slots has changed.
struct load_report
{
    dispatch::peer_load m_load;
};

/// Keys that the sender has admitted without a record in the store. The receiver stores
/// them in memory, so that it recognises resubmissions if it takes over the shard.
struct key_notice
{
    peer_request_number m_request = 0;
    std::uint32_t m_shard = 0;
    std::vector<job_key> m_keys;
};

/// Acknowledges a key_notice.
struct key_notice_received
{
    peer_request_number m_request = 0;
};

/// Asks for the fleet configuration document when a heartbeat of the receiver has shown a
/// newer version.
struct configuration_request
{
    std::uint64_t m_version = 0; ///< that the sender has; 0: none
};

/// Carries a fleet configuration document to an instance that may be unable to reach the
/// store.
struct configuration_notice
{
    std::uint64_t m_version = 0;
    std::string m_document;
};

/// Carries the drained failure domains to an instance that may be unable to reach the
/// store. They replace those of an earlier version.
struct drained_domains_notice
{
    std::uint64_t m_version = 0; ///< of the store that the domains reflect
    std::vector<std::string> m_domains;
};

/// Reports upstreams that were lost while they ran tasks, or the fate of a lost upstream.
struct loss_notice
{
    dispatch::upstream_loss m_loss;
};

/// Asks for a load_report when the sender's tasks of a service find no capacity. The
/// receiver answers at once if it has free slots, otherwise when it has some soon after.
struct capacity_request
{
    std::string m_service;
};

using peer_message =
    std::variant<forward_request, request_answered, forward_task, task_reported,
                 cancel_task, heartbeat, load_report, key_notice, key_notice_received,
                 configuration_notice, loss_notice, capacity_request,
                 drained_domains_notice, configuration_request>;

} // namespace cassiahub::decision

#endif
