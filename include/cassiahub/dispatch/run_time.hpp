#ifndef CASSIAHUB_DISPATCH_RUN_TIME_HPP
#define CASSIAHUB_DISPATCH_RUN_TIME_HPP

#include <cassiahub/core/time.hpp>

#include <array>
#include <cstdint>

namespace cassiahub::dispatch
{

/// Number of histogram buckets: four per doubling from 1 ms to 65 s.
constexpr std::size_t run_time_buckets = 64;

/// Run time distribution of one kind. The counts are halved periodically, so that recent
/// observations weigh more.
struct run_time_estimate
{
    std::array<std::uint32_t, run_time_buckets> m_buckets{};
    std::uint32_t m_count = 0;
    double m_mean_seconds = 0;
    time_point m_last_observation;
};

/// Adds the run time of one successful attempt to the estimate.
void observe_run_time(run_time_estimate & estimate, duration observed, time_point now);

/// \returns the mean run time in seconds, or \p expected before the first observation.
double mean_seconds(run_time_estimate const & estimate, duration expected) noexcept;

/// \returns the upper bound of the bucket that holds the quantile \p fraction in [0, 1].
/// \pre the estimate has an observation
duration run_time_quantile(run_time_estimate const & estimate, double fraction) noexcept;

/// \returns true when the estimate has enough recent observations to refuse work on
/// its basis.
bool is_established(run_time_estimate const & estimate, time_point now) noexcept;

} // namespace cassiahub::dispatch

#endif
