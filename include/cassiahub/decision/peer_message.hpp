#ifndef CASSIAHUB_DECISION_PEER_MESSAGE_HPP
#define CASSIAHUB_DECISION_PEER_MESSAGE_HPP

#include <cassiahub/core/job.hpp>
#include <cassiahub/dispatch/attempt.hpp>
#include <cassiahub/dispatch/state.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cassiahub::decision
{

/// Number that the sender of a request chooses and the answer echoes.
using peer_request = std::uint64_t;

/// What the owner of a key is asked to do with it.
enum class key_operation
{
    submit,
    query,
    cancel,
    count ///< the jobs that wait; never sent to a peer
};

/// Forwards a caller's request to the owner of the key, or to its home domain. For
/// query and cancel only m_spec.m_key is set.
struct forward_request
{
    peer_request m_request = 0;
    key_operation m_operation = key_operation::submit;
    job_spec m_spec; ///< m_time_limit is what remains at the time of sending
};

/// Answers a forward_request.
struct request_answered
{
    peer_request m_request = 0;
    job_answer m_answer;
};

/// Asks the receiver to run a task on one of its upstreams. The times in m_start are
/// on the receiver's clock, as the sender bounds it from the last heartbeat.
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

/// Periodic sign of life. Carries what the other instances need of the sender.
struct heartbeat
{
    std::uint64_t m_incarnation = 0;
    std::string m_domain;
    std::string m_peer_address;
    time_point m_sent_at; ///< on the sender's clock
    std::uint64_t m_configuration_version = 0;
    bool m_leaving = false;
    bool m_store_contact = false; ///< the sender has reached the store recently
    std::vector<shard_holding> m_holdings;
    dispatch::peer_load m_load;
    std::vector<std::string> m_held_upstreams; ///< whose runs the sender holds leases of
    std::int64_t m_fleet_clock_ms = 0; ///< clock of the store at m_sent_at; 0: not known
};

/// Room that the sender has now. Sent between heartbeats when it has changed much.
struct load_report
{
    dispatch::peer_load m_load;
};

/// Keys that the sender has admitted without a record in the store. The receiver keeps
/// them, so that it can recognise resubmissions if it takes the shard over.
struct key_notice
{
    peer_request m_request = 0;
    std::uint32_t m_shard = 0;
    std::vector<job_key> m_keys;
};

/// Acknowledges a key_notice.
struct key_notice_received
{
    peer_request m_request = 0;
};

/// Passes on a fleet document, so that an instance without the store can get it.
struct configuration_notice
{
    std::uint64_t m_version = 0;
    std::string m_document;
};

using peer_message = std::variant<forward_request, request_answered, forward_task,
                                  task_reported, cancel_task, heartbeat, load_report,
                                  key_notice, key_notice_received, configuration_notice>;

} // namespace cassiahub::decision

#endif
