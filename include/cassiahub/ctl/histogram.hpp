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
    double m_cumulative = 0;  ///< observations up to the bound
};

/// One histogram of a metrics page.
struct histogram
{
    std::string m_name;
    std::string m_labels; ///< as on the page, without "le"; may be empty
    std::vector<histogram_bucket> m_buckets; ///< by rising bound
    double m_sum = 0;
    double m_count = 0;
};

/// Reads the histograms of a page in the Prometheus text format. Lines of other metrics
/// and lines that are malformed are ignored. Thread-safe.
std::vector<histogram> parse_histograms(std::string_view page);

/// Estimates a quantile as Prometheus does, linear inside a bucket.
/// \param part in [0, 1].
/// \returns 0 for an empty histogram, and the highest finite bound when the quantile is
/// above it.
double estimate_quantile(std::span<histogram_bucket const> buckets, double part);

/// Draws one bar for each bucket that lies between the first and the last used one.
/// \param width length of the longest bar.
std::string draw_histogram(histogram const & drawn, std::size_t width);

} // namespace cassiahub::ctl

#endif
