#ifndef CASSIAHUB_TELEMETRY_LATENCY_HISTOGRAM_HPP
#define CASSIAHUB_TELEMETRY_LATENCY_HISTOGRAM_HPP

#include <cassiahub/core/time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace cassiahub::telemetry
{

/// Upper bounds of the buckets, inclusive, in seconds. They cover the response times from
/// a 50 ms task to a job of several slow tasks.
constexpr std::array<double, 14> latency_bounds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0, 60.0};

/// Number of samples by bucket. The last element counts the samples above every bound.
using bucket_array = std::array<std::uint64_t, latency_bounds.size() + 1>;

namespace internal
{

/// Boost accumulator that counts samples by bucket.
struct bucket_count_accumulator : boost::accumulators::accumulator_base
{
    using result_type = bucket_array const &;

    explicit bucket_count_accumulator(boost::accumulators::dont_care) {}

    template <typename Arguments>
    void operator()(Arguments const & arguments)
    {
        double const value = arguments[boost::accumulators::sample];
        std::size_t bucket = 0;
        while (bucket < latency_bounds.size() && value > latency_bounds[bucket])
        {
            ++bucket;
        }
        ++m_counts[bucket];
    }

    result_type result(boost::accumulators::dont_care) const
    {
        return m_counts;
    }

private:
    bucket_array m_counts{};
};

/// Boost accumulator feature that selects bucket_count_accumulator.
struct bucket_count : boost::accumulators::depends_on<>
{
    using impl = boost::mpl::always<bucket_count_accumulator>;
};

constexpr boost::accumulators::extractor<bucket_count> bucket_counts{};

} // namespace internal

/// Latency samples in seconds.
using latency_histogram = boost::accumulators::accumulator_set<
    double, boost::accumulators::features<
                boost::accumulators::tag::count, boost::accumulators::tag::sum,
                boost::accumulators::tag::max, internal::bucket_count>>;

/// Adds one sample.
inline void observe(latency_histogram & histogram, duration value)
{
    histogram(std::chrono::duration<double>(value).count());
}

/// \returns the number of samples by bucket.
inline bucket_array const & bucket_counts(latency_histogram const & histogram)
{
    return internal::bucket_counts(histogram);
}

/// \returns the number of samples.
inline std::uint64_t sample_count(latency_histogram const & histogram)
{
    return boost::accumulators::count(histogram);
}

/// \returns the sum of the samples, in seconds.
inline double sample_sum(latency_histogram const & histogram)
{
    return boost::accumulators::sum(histogram);
}

} // namespace cassiahub::telemetry

#endif
