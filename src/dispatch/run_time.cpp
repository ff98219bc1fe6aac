#include <cassiahub/dispatch/run_time.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cassiahub::dispatch
{

namespace internal
{

constexpr double buckets_per_doubling = 4;
/// Smallest weight of one observation in the mean.
constexpr double mean_weight = 0.02;
/// Number of observations at which all bucket counts are halved, so that the histogram
/// follows changes.
constexpr std::uint32_t halving_count = 2048;
/// Number of observations below which an estimate is not used to refuse work.
constexpr std::uint32_t min_established_observations = 20;
/// Age of the last observation after which an estimate is not used to refuse work.
/// Refused work is never observed, so without this limit a wrong estimate would refuse
/// work forever.
constexpr duration established_age = std::chrono::seconds(30);

std::size_t bucket_of(duration observed)
{
    double const milliseconds =
        std::chrono::duration<double, std::milli>(observed).count();
    double const position = std::log2(std::max(milliseconds, 1.0)) * buckets_per_doubling;
    return std::min(static_cast<std::size_t>(position), run_time_buckets - 1);
}

duration upper_bound_of(std::size_t bucket)
{
    double const milliseconds =
        std::exp2(static_cast<double>(bucket + 1) / buckets_per_doubling);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

void halve_counts(run_time_estimate & estimate)
{
    estimate.m_count = 0;
    for (std::uint32_t & bucket : estimate.m_buckets)
    {
        bucket /= 2;
        estimate.m_count += bucket;
    }
}

} // namespace internal

void observe_run_time(run_time_estimate & estimate, duration observed, time_point now)
{
    double const seconds = std::chrono::duration<double>(observed).count();
    ++estimate.m_count;
    double const weight =
        std::max(1.0 / static_cast<double>(estimate.m_count), internal::mean_weight);
    estimate.m_mean_seconds += weight * (seconds - estimate.m_mean_seconds);
    estimate.m_last_observation = now;
    ++estimate.m_buckets[internal::bucket_of(observed)];
    if (estimate.m_count >= internal::halving_count)
    {
        internal::halve_counts(estimate);
    }
}

double mean_seconds(run_time_estimate const & estimate, duration expected) noexcept
{
    return estimate.m_count > 0 ? estimate.m_mean_seconds
                                : std::chrono::duration<double>(expected).count();
}

duration run_time_quantile(run_time_estimate const & estimate, double fraction) noexcept
{
    BOOST_ASSERT(estimate.m_count > 0);
    double const wanted = fraction * estimate.m_count;
    double seen = 0;
    for (std::size_t bucket = 0; bucket < run_time_buckets; ++bucket)
    {
        seen += estimate.m_buckets[bucket];
        if (seen >= wanted && seen > 0)
        {
            return internal::upper_bound_of(bucket);
        }
    }
    return internal::upper_bound_of(run_time_buckets - 1);
}

bool is_established(run_time_estimate const & estimate, time_point now) noexcept
{
    return estimate.m_count >= internal::min_established_observations &&
           now - estimate.m_last_observation <= internal::established_age;
}

} // namespace cassiahub::dispatch
