#ifndef CASSIAHUB_DISPATCH_ATTEMPT_HPP
#define CASSIAHUB_DISPATCH_ATTEMPT_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/resources.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <string>

namespace cassiahub::dispatch
{

/// Outcome of one attempt, as far as the system can prove it.
enum class attempt_outcome
{
    succeeded,   ///< the complete result arrived
    failed,      ///< the task ran and reported a failure
    not_run,     ///< the attempt provably never started
    interrupted, ///< the attempt ran and provably ended without a result
    unknown      ///< may have run: connection lost, timeout, lease holder suspended
};

/// Order to start one attempt on an upstream.
struct attempt_start
{
    attempt_id m_attempt;
    job_key m_job;
    std::uint32_t m_task = 0;
    /// Increases with every start of the task by any instance; 0 if not used.
    std::uint64_t m_generation = 0;
    std::string m_kind;
    std::string m_service; ///< service of the kind; empty if not known
    std::string m_payload;
    resources m_demand;
    std::string m_upstream;
    std::string m_upstream_address;
    fencing_token m_token;
    time_point m_deadline;
    /// Latest time at which the attempt may be sent; an attempt not sent by then counts
    /// as not_run. Not after the end of the shard lease.
    time_point m_send_before;
    /// Earlier attempts of the task by this instance; not sent to peers.
    std::uint32_t m_earlier_attempts = 0;
};

/// Order to cancel an attempt that was started.
struct attempt_cancel
{
    attempt_id m_attempt;
    std::string m_upstream_address;
};

/// Result of one attempt, from the upstream's response or from the failed request.
struct attempt_result
{
    attempt_id m_attempt;
    attempt_outcome m_outcome = attempt_outcome::unknown;
    std::string m_payload;
    bool m_upstream_leaving = false;
    /// The upstream was lost while it had the attempt: it crashed or cannot be reached.
    bool m_upstream_lost = false;
    std::uint64_t m_upstream_incarnation = 0; ///< of a lost upstream; 0: not known
    /// The upstream was lost before it had reported progress of the attempt, so the start
    /// of the task may have crashed it.
    bool m_lost_at_start = false;
};

} // namespace cassiahub::dispatch

#endif
