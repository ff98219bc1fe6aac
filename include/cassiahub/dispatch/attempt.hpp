#ifndef CASSIAHUB_DISPATCH_ATTEMPT_HPP
#define CASSIAHUB_DISPATCH_ATTEMPT_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/resources.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <string>

namespace cassiahub::dispatch
{

/// What became of one attempt, as far as the system can prove it.
enum class attempt_outcome
{
    succeeded,   ///< the whole result arrived
    failed,      ///< the task ran and reported failure
    not_run,     ///< the attempt provably never started
    interrupted, ///< it ran, and is known to have ended without a result
    unknown      ///< it may have run: connection lost, timeout, paused holder
};

/// Order to start one attempt on an upstream.
struct attempt_start
{
    attempt_id m_attempt;
    job_key m_job;
    std::uint32_t m_task = 0;
    /// Grows with every start of the task by any instance; 0 where nothing reads it.
    std::uint64_t m_generation = 0;
    std::string m_kind;
    std::string m_payload;
    resources m_demand;
    std::string m_upstream;
    std::string m_upstream_address;
    fencing_token m_token;
    time_point m_deadline;
    /// Last time at which the attempt may be sent; later it counts as not_run. Bounded
    /// by the shard lease.
    time_point m_send_before;
};

/// Order to cancel an attempt that was started.
struct attempt_cancel
{
    attempt_id m_attempt;
    std::string m_upstream_address;
};

/// What an upstream, or the attempt to reach it, reported.
struct attempt_result
{
    attempt_id m_attempt;
    attempt_outcome m_outcome = attempt_outcome::unknown;
    std::string m_payload;
    bool m_upstream_leaving = false;
};

} // namespace cassiahub::dispatch

#endif
