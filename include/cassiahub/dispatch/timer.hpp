#ifndef CASSIAHUB_DISPATCH_TIMER_HPP
#define CASSIAHUB_DISPATCH_TIMER_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/time.hpp>

#include <compare>
#include <queue>
#include <set>
#include <vector>

namespace cassiahub::dispatch
{

enum class timer_kind
{
    job_deadline,  ///< m_subject.m_serial is a job
    objective_due, ///< m_subject.m_serial is a job
    /// m_subject.m_serial is a job, m_subject.m_incarnation the index of a task in it.
    retry_due,
    attempt_timeout,           ///< m_subject is an attempt
    forwarded_expiry,          ///< m_subject is a queued task of a peer
    finished_forwarded_expiry, ///< m_subject is a finished attempt of a peer
    /// m_subject.m_serial is an upstream. m_subject.m_incarnation is a unique number,
    /// since several slots of an upstream may be withheld until the same time and a
    /// timer_set holds equal timers only once.
    withheld_slot_expiry,
    upstream_probe ///< m_subject.m_serial is an upstream
};

/// A scheduled action and the job, attempt or upstream that it concerns.
struct timer
{
    time_point m_at;
    timer_kind m_kind = timer_kind::job_deadline;
    attempt_id m_subject;
    auto operator<=>(timer const &) const = default;
};

using timer_set = std::set<timer>;

/// Time at which an attempt becomes a straggler.
struct hedge_due
{
    time_point m_at;
    attempt_id m_attempt;
};

/// Comparison that puts the earliest entry on top of a hedge_queue.
struct later_hedge
{
    bool operator()(hedge_due const & left, hedge_due const & right) const noexcept
    {
        return left.m_at > right.m_at;
    }
};

/// Straggler checks, earliest first. The entry of an attempt that ends is not removed
/// but dropped when due: nearly every attempt ends before its check, so insertion has to
/// be cheap and removal by attempt is not needed.
using hedge_queue = std::priority_queue<hedge_due, std::vector<hedge_due>, later_hedge>;

} // namespace cassiahub::dispatch

#endif
