#ifndef CASSIAHUB_CONFIG_DISPATCH_SETTINGS_HPP
#define CASSIAHUB_CONFIG_DISPATCH_SETTINGS_HPP

#include <cassiahub/config/interference_settings.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>

namespace cassiahub::config
{

/// How an instance orders queued tasks and chooses an upstream for each.
enum class dispatch_policy
{
    fair,    ///< weighted fair queuing, assignment when a slot is free,
             ///< retry budgets, forwarding to peers
    baseline ///< random upstream, first come first served, retries without a
             ///< budget; for comparison
};

/// How unhealthy upstreams are detected; an ejected upstream gets no tasks.
enum class ejection_policy
{
    success_rate,         ///< success rate over a window; ejections and probes limited
    consecutive_failures, ///< circuit breaker: closed, open, half-open
    none                  ///< no upstream is ejected
};

/// Scheduling settings: section [dispatch] of the fleet configuration document.
struct dispatch_settings
{
    dispatch_policy m_policy = dispatch_policy::fair;
    ejection_policy m_ejection = ejection_policy::success_rate;
    /// Most attempts of one repeatable task, including the first. 1 to 10.
    std::uint32_t m_max_attempts = 3;
    /// Retries allowed for each 100 first attempts; limits the load that retries add.
    /// 0 to 100.
    std::uint32_t m_retry_budget_percent = 10;
    /// Initial and largest balance of the retry budget, in retries. The balance limit is
    /// at least one retry; a budget of 0 percent starts empty. 0 to 1000.
    std::uint32_t m_retry_reserve = 50;
    /// Longest delay before the third attempt of a task; doubled for
    /// each further attempt, to at most 64 times this value. 1 ms to 1 s.
    duration m_retry_delay = std::chrono::milliseconds(10);
    /// Hedges (duplicate attempts of slow tasks) allowed for each 100 first attempts;
    /// 0 disables hedging. 0 to 100.
    std::uint32_t m_hedge_budget_percent = 1;
    /// Run time after which a repeatable task is hedged, in percent of the 95th
    /// percentile of the run times of its kind. 100 to 1000.
    std::uint32_t m_hedge_delay_percent = 200;
    /// A kind may use in one burst at most its share of the fleet over this period.
    /// 0 ms to 60 s.
    duration m_share_window = std::chrono::seconds(1);
    /// Window over which the success rate of an upstream is computed. 1 s to 10 min.
    duration m_ejection_window = std::chrono::seconds(10);
    /// Results that the window must hold before an upstream may be ejected. 1 to 1000.
    std::uint32_t m_ejection_min_results = 5;
    /// Success rate below which an upstream is ejected, in percent. 1 to 100.
    std::uint32_t m_ejection_success_percent = 50;
    /// Average run time above which an upstream with m_ejection_min_results results is
    /// ejected, in percent of the mean run time of the kind. 150 to 10000.
    std::uint32_t m_ejection_slow_percent = 300;
    /// Largest part of the upstreams that an instance may eject, in percent. 0 to 90.
    std::uint32_t m_ejection_cap_percent = 40;
    /// Time before an ejected upstream is probed; doubled for each consecutive ejection,
    /// to at most 8 times this value. 100 ms to 10 min.
    duration m_ejection_cooling = std::chrono::seconds(10);
    /// Consecutive failures of an upstream that open its circuit breaker. 1 to 100.
    std::uint32_t m_breaker_threshold = 5;
    /// Time that the circuit breaker of an upstream stays open. 100 ms to 10 min.
    duration m_breaker_open_time = std::chrono::seconds(30);
    /// How long after its deadline an attempt without a result releases its slot.
    /// 100 ms to 60 s.
    duration m_attempt_timeout_margin = std::chrono::seconds(5);
    /// Time that a task that fits on no upstream waits before an upstream is reserved
    /// for it. 1 ms to 60 s.
    duration m_reservation_delay = std::chrono::milliseconds(100);
    /// Time that a forwarded task may wait for a slot at the peer before the peer returns
    /// it. 10 ms to 60 s.
    duration m_forward_wait = std::chrono::milliseconds(500);
    /// Time for which a job's idempotency key and response are kept, so that a
    /// resubmission gets the same response. 10 s to 24 h.
    duration m_resubmission_window = std::chrono::minutes(10);
    /// Kinds that slow each other down on a shared upstream.
    interference_settings m_interference;
};

} // namespace cassiahub::config

#endif
