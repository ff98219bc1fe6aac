#ifndef CASSIAHUB_DISPATCH_TIMER_HPP
#define CASSIAHUB_DISPATCH_TIMER_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/time.hpp>

#include <compare>
#include <set>

namespace cassiahub::dispatch
{

enum class timer_kind
{
    job_deadline,     ///< m_subject.m_serial is a job
    retry_due,        ///< m_subject is {task, job}
    attempt_timeout,  ///< m_subject is an attempt
    hedge_due,        ///< m_subject is an attempt
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

} // namespace cassiahub::dispatch

#endif
