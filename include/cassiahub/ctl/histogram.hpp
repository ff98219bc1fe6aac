#ifndef CASSIAHUB_CTL_HISTOGRAM_HPP
#define CASSIAHUB_CTL_HISTOGRAM_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::ctl
{

/// One bucket of a histogram in the Prometheus text format.
struct histogram_bucket
{
    double m_upper_bound = 0; ///< infinite in the last bucket
    double m_cumulative = 0;  ///< number of observations up to the bound
};

/// One histogram of a metrics response.
struct histogram
{
    std::string m_name;
    std::string m_labels; ///< as in the response, without "le"; may be empty
    std::vector<histogram_bucket> m_buckets; ///< in ascending order of the bound
    double m_sum = 0;                        ///< of the observed values
    double m_count = 0;                      ///< number of observations
};

/// Parses the histograms in \p page, a metrics response in the Prometheus text format.
/// Ignores other metrics and malformed lines. Thread-safe.
/// \returns the histograms, sorted by name and labels.
std::vector<histogram> parse_histograms(std::string_view page);

/// Estimates a quantile like Prometheus, by linear interpolation inside a bucket.
/// \param quantile in [0, 1].
/// \returns the estimate; 0 for an empty histogram, and the highest finite bound when the
/// quantile lies above it.
double estimate_quantile(std::span<histogram_bucket const> buckets, double quantile);

/// \returns a text with a summary line and one bar for each bucket from the first to the
/// last one with observations.
/// \param width length of the longest bar, in characters.
std::string draw_histogram(histogram const & source, std::size_t width);

} // namespace cassiahub::ctl

#endif
