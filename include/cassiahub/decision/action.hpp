#ifndef CASSIAHUB_DECISION_ACTION_HPP
#define CASSIAHUB_DECISION_ACTION_HPP

#include <cassiahub/decision/event.hpp>

#include <string>
#include <string_view>
#include <system_error>
#include <variant>

namespace cassiahub::decision
{

/// Sends the answer to a caller of this instance.
struct answer_caller
{
    caller_id m_caller = 0;
    job_answer m_answer;
};

/// Sends a message to another instance.
struct send_peer
{
    instance_id m_to;
    std::string m_address; ///< "ip:port"
    peer_message m_message;
};

/// Writes a structured log line about a decision or a change of state. Codes are stable;
/// the text of m_detail may change.
struct log_event
{
    std::string_view m_code; ///< a string literal
    std::string m_subject;   ///< name of the job, instance, upstream or shard concerned
    std::error_code m_error;
    std::string m_detail{}; ///< inputs of the decision as "name=value" pairs
};

/// Records a finished job in the metrics.
struct observe_job
{
    std::string m_tenant;
    std::string m_kind;
    duration m_response_time{0}; ///< from submission to answer
    std::error_code m_error;
};

/// Validates a fleet configuration document received from a peer. When it is valid, the
/// instance receives it back as configuration_changed.
struct check_document
{
    std::uint64_t m_version = 0;
    std::string m_document;
};

using action = std::variant<dispatch::attempt_start, dispatch::attempt_cancel,
                            lease::upstream_call, answer_caller, send_peer, write_store,
                            read_store, check_document, observe_job, log_event>;

} // namespace cassiahub::decision

#endif
