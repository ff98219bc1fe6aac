#include <cassiahub/telemetry/exposition.hpp>

#include <fmt/format.h>

#include <iterator>

namespace cassiahub::telemetry
{

namespace internal
{

using output = std::back_insert_iterator<std::string>;

/// \returns \p value with backslashes and quotes escaped and line breaks replaced by
/// spaces.
std::string escape_label(std::string_view value)
{
    std::string escaped;
    for (char const c : value)
    {
        if (c == '\\' || c == '"')
        {
            escaped += '\\';
        }
        escaped += c == '\n' ? ' ' : c;
    }
    return escaped;
}

void format_series(output out, std::string_view name, std::string_view label,
                   std::string_view value, latency_histogram const & histogram)
{
    bucket_array const & counts = bucket_counts(histogram);
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < latency_bounds.size(); ++bucket)
    {
        cumulative += counts[bucket];
        fmt::format_to(out, "{}_bucket{{{}=\"{}\",le=\"{}\"}} {}\n", name, label, value,
                       latency_bounds[bucket], cumulative);
    }
    fmt::format_to(out, "{}_bucket{{{}=\"{}\",le=\"+Inf\"}} {}\n", name, label, value,
                   sample_count(histogram));
    fmt::format_to(out, "{}_sum{{{}=\"{}\"}} {}\n", name, label, value,
                   sample_sum(histogram));
    fmt::format_to(out, "{}_count{{{}=\"{}\"}} {}\n", name, label, value,
                   sample_count(histogram));
}

void format_histograms(output out, std::string_view name, std::string_view label,
                       histogram_family const & family)
{
    fmt::format_to(out, "# TYPE {} histogram\n", name);
    for (auto const & [value, histogram] : family)
    {
        format_series(out, name, label, escape_label(value), histogram);
    }
}

} // namespace internal

std::string format_exposition(metrics const & source)
{
    std::string text;
    internal::output const out = std::back_inserter(text);
    internal::format_histograms(out, "cassiahub_tenant_response_seconds", "tenant",
                                source.m_response_by_tenant);
    internal::format_histograms(out, "cassiahub_kind_response_seconds", "kind",
                                source.m_response_by_kind);
    fmt::format_to(out, "# TYPE cassiahub_jobs_total counter\n");
    for (auto const & [code, count] : source.m_jobs_by_code)
    {
        fmt::format_to(out, "cassiahub_jobs_total{{code=\"{}\"}} {}\n",
                       internal::escape_label(code), count);
    }
    for (auto const & [name, value] : source.m_gauges)
    {
        fmt::format_to(out, "# TYPE {0} gauge\n{0} {1}\n", name, value);
    }
    for (auto const & [name, value] : source.m_totals)
    {
        fmt::format_to(out, "# TYPE {0} counter\n{0} {1}\n", name, value);
    }
    return text;
}

} // namespace cassiahub::telemetry
