#ifndef CASSIAHUB_TELEMETRY_METRICS_HPP
#define CASSIAHUB_TELEMETRY_METRICS_HPP

#include <cassiahub/telemetry/latency_histogram.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cassiahub::telemetry
{

/// Series of one family beyond this number are merged into the label "other". The
/// design size has 670 tenants.
constexpr std::size_t max_series = 1'000;
constexpr std::string_view overflow_label = "other";

/// Counters by a label, such as refusals by code.
using counter_family = std::map<std::string, std::uint64_t, std::less<>>;

/// Response-time histograms by a label, such as the tenant.
using histogram_family = std::map<std::string, latency_histogram, std::less<>>;

/// Everything that an entry instance measures. Used by the telemetry duty alone.
struct metrics
{
    histogram_family m_response_by_tenant;
    histogram_family m_response_by_kind;
    counter_family m_jobs_by_code;                       ///< "ok" or the job_errc name
    std::map<std::string, double, std::less<>> m_gauges; ///< by metric name
    counter_family m_totals;                             ///< by metric name
};

/// Accounts for one finished job. \p code is "ok" or the name of a job_errc.
void record_job(metrics & target, std::string_view tenant, std::string_view kind,
                std::string_view code, duration response_time);

/// Sets the current value of the gauge \p name.
void set_gauge(metrics & target, std::string_view name, double value);

/// Sets the running total of the counter \p name, which its owner keeps.
void set_total(metrics & target, std::string_view name, std::uint64_t value);

} // namespace cassiahub::telemetry

#endif
