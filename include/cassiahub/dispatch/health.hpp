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
    std::uint32_t m_outlasting = 0; ///< attempts that outlast nearly all of their kind
};

/// Results over the last one to two halves of the ejection window.
struct result_window
{
    std::array<result_counts, 2> m_halves; ///< current, previous
    time_point m_half_start;
};

enum class health_phase
{
    healthy,
    ejected, ///< gets nothing until the probe timer
    probing  ///< gets one repeatable task at a time
};

/// What is known of how well an upstream serves.
struct upstream_health
{
    health_phase m_phase = health_phase::healthy;
    result_window m_window;
    double m_slowness = 1; ///< moving mean of run time over the mean of the kind
    std::uint32_t m_consecutive_failures = 0;
    std::uint32_t m_consecutive_ejections = 0;
    std::uint32_t m_probe_successes = 0;
    bool m_probe_running = false;
    time_point m_probe_at;
};

} // namespace cassiahub::dispatch

#endif
