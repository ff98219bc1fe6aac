#ifndef CASSIAHUB_CONFIG_DISPATCH_SETTINGS_HPP
#define CASSIAHUB_CONFIG_DISPATCH_SETTINGS_HPP

#include <cassiahub/core/time.hpp>

#include <cstdint>

namespace cassiahub::config
{

/// Order and placement of tasks.
enum class dispatch_policy
{
    fair,    ///< fair queue, late binding, budgets, forwarding to peers
    baseline ///< random upstream, first come first served, plain retry; for comparison
};

/// How upstreams that fail everything are kept from getting work.
enum class ejection_policy
{
    success_rate,         ///< low success rate over a window, capped, bounded probes
    consecutive_failures, ///< circuit breaker: closed, open, half-open
    none
};

/// Settings of the decision core, section [dispatch] of the fleet document.
struct dispatch_settings
{
    dispatch_policy m_policy = dispatch_policy::fair;
    ejection_policy m_ejection = ejection_policy::success_rate;
    /// Attempts of one repeatable task, the first included. 1 to 10.
    std::uint32_t m_max_attempts = 3;
    /// Retries allowed for each 100 first attempts; retries are load as well. 0 to 100.
    std::uint32_t m_retry_budget_percent = 10;
    /// Retries that may be made before the percentage limits them. 0 to 1000.
    std::uint32_t m_retry_reserve = 50;
    /// Longest wait before the third attempt of a task that did not run. 1 ms to 1 s.
    duration m_retry_delay = std::chrono::milliseconds(10);
    /// Hedges allowed for each 100 first attempts; 0 turns hedging off. 0 to 100.
    std::uint32_t m_hedge_budget_percent = 1;
    /// A repeatable task is hedged after this percentage of the 95th percentile of its
    /// kind's run time. 100 to 1000.
    std::uint32_t m_hedge_delay_percent = 200;
    /// Period over which a kind may use its share in a burst. 0 ms to 60 s.
    duration m_share_window = std::chrono::seconds(1);
    /// Period over which the success rate of an upstream is taken. 1 s to 10 min.
    duration m_ejection_window = std::chrono::seconds(10);
    /// Results in the window below which an upstream is not judged. 1 to 1000.
    std::uint32_t m_ejection_min_results = 5;
    /// An upstream with a lower success rate is ejected. 1 to 100.
    std::uint32_t m_ejection_success_percent = 50;
    /// An upstream whose run times exceed this percentage of the usual is ejected.
    /// 150 to 10000.
    std::uint32_t m_ejection_slow_percent = 300;
    /// Largest ejected part of the upstreams of an instance. 0 to 90.
    std::uint32_t m_ejection_cap_percent = 40;
    /// Time before an ejected upstream is probed; doubled for each ejection in a row, up
    /// to eight times. 100 ms to 10 min.
    duration m_ejection_cooling = std::chrono::seconds(10);
    /// Consecutive failures that open the circuit breaker. 1 to 100.
    std::uint32_t m_breaker_threshold = 5;
    /// Time for which the circuit breaker stays open. 100 ms to 10 min.
    duration m_breaker_open_time = std::chrono::seconds(30);
    /// Time after its deadline at which an attempt without a result frees its slot.
    /// 100 ms to 60 s.
    duration m_attempt_timeout_margin = std::chrono::seconds(5);
    /// Time for which a task must have found no room before an upstream is reserved for
    /// it. 1 ms to 60 s.
    duration m_reservation_delay = std::chrono::milliseconds(100);
    /// Time for which a forwarded task may wait at the peer before it comes back. 10 ms
    /// to 60 s.
    duration m_forward_wait = std::chrono::milliseconds(500);
    /// Time for which a job's key and answer are remembered for resubmissions. 10 s to
    /// 24 h.
    duration m_resubmission_window = std::chrono::minutes(10);
};

} // namespace cassiahub::config

#endif
