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
    job_deadline,     ///< m_subject.m_serial is a job
    objective_due,    ///< m_subject.m_serial is a job
    retry_due,        ///< m_subject is {task, job}
    attempt_timeout,  ///< m_subject is an attempt
    forwarded_expiry, ///< m_subject is a queued attempt of a peer
    forget_forwarded, ///< m_subject is a finished attempt of a peer
    upstream_hold,    ///< m_subject is {hold, upstream}
    upstream_probe    ///< m_subject.m_serial is an upstream
};

/// Something to do at a given time.
struct timer
{
    time_point m_at;
    timer_kind m_kind = timer_kind::job_deadline;
    attempt_id m_subject;
    auto operator<=>(timer const &) const = default;
};

using timer_set = std::set<timer>;

/// Time at which an attempt counts as a straggler.
struct hedge_due
{
    time_point m_at;
    attempt_id m_attempt;
};

struct later_hedge
{
    bool operator()(hedge_due const & left, hedge_due const & right) const noexcept
    {
        return left.m_at > right.m_at;
    }
};

/// Entries are not removed when their attempt ends; they are dropped when due. Nearly
/// every attempt ends before, so pushing in order is what has to be cheap.
using hedge_queue = std::priority_queue<hedge_due, std::vector<hedge_due>, later_hedge>;

} // namespace cassiahub::dispatch

#endif
