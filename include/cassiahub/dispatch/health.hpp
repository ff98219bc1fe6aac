#ifndef CASSIAHUB_DISPATCH_HEALTH_HPP
#define CASSIAHUB_DISPATCH_HEALTH_HPP

#include <cassiahub/core/time.hpp>

#include <array>
#include <cstdint>

namespace cassiahub::dispatch
{

/// Results in one half of the ejection window.
struct result_counts
{
    std::uint32_t m_succeeded = 0;
    std::uint32_t m_failed = 0;
    /// Attempts that ran longer than nearly all others of their kind.
    std::uint32_t m_stragglers = 0;
};

/// Results of the current and the previous half of the ejection window.
struct result_window
{
    std::array<result_counts, 2> m_halves; ///< current, previous
    time_point m_half_start;
};

enum class health_phase
{
    healthy,
    ejected, ///< gets no attempts until the cooling period is over
    probing  ///< gets one attempt at a time, of a task that may run again
};

/// Observed health of an upstream and its ejection state.
struct upstream_health
{
    health_phase m_phase = health_phase::healthy;
    result_window m_window;
    double m_slowness = 1; ///< moving average of run time divided by the kind's mean
    std::uint32_t m_consecutive_failures = 0;
    std::uint32_t m_consecutive_ejections = 0;
    std::uint32_t m_probe_successes = 0;
    bool m_probe_running = false;
    time_point m_probe_at; ///< end of the cooling period
};

} // namespace cassiahub::dispatch

#endif
