#ifndef CASSIAHUB_DECISION_ACTION_HPP
#define CASSIAHUB_DECISION_ACTION_HPP

#include <cassiahub/decision/event.hpp>

#include <string>
#include <string_view>
#include <system_error>
#include <variant>

namespace cassiahub::decision
{

struct answer_caller
{
    caller_token m_caller = 0;
    job_answer m_answer;
};

struct send_peer
{
    instance_id m_to;
    std::string m_address; ///< "ip:port"
    peer_message m_message;
};

/// Asks for a structured log line about a decision or a change of what is believed. Codes
/// are stable; the text of details is free.
struct log_event
{
    std::string_view m_code; ///< a string literal
    std::string m_subject;   ///< job, instance, upstream or shard that it is about
    std::error_code m_error;
    std::string m_detail{}; ///< inputs of the decision as "name=value" pairs
};

/// A sample for the metrics.
struct observe_job
{
    std::string m_tenant;
    std::string m_kind;
    duration m_response_time{0};
    std::error_code m_error;
};

/// Asks for a fleet document that a peer holds to be checked and put in force.
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
