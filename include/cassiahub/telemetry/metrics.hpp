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

/// Largest number of labels in a family; further labels share the series "other". The
/// design size has 670 tenants.
constexpr std::size_t max_series = 1'000;
/// Label of the series that counts every label beyond max_series.
constexpr std::string_view overflow_label = "other";

/// Counters by the value of a label, for example refusals by code.
using counter_family = std::map<std::string, std::uint64_t, std::less<>>;

/// Response-time histograms by the value of a label, for example the tenant.
using histogram_family = std::map<std::string, latency_histogram, std::less<>>;

/// Metrics of one entry or gateway instance. Not thread-safe; used by the telemetry duty
/// only.
struct metrics
{
    histogram_family m_response_by_tenant;
    histogram_family m_response_by_kind;
    counter_family m_jobs_by_code;                       ///< "ok" or the job_errc name
    std::map<std::string, double, std::less<>> m_gauges; ///< by metric name
    counter_family m_totals; ///< counters without a label, by metric name
};

/// Records a finished job. \p code is "ok" or the name of a job_errc.
void record_job(metrics & target, std::string_view tenant, std::string_view kind,
                std::string_view code, duration response_time);

/// Sets the current value of the gauge \p name.
void set_gauge(metrics & target, std::string_view name, double value);

/// Sets the counter \p name to \p value. \p value is the running total that the caller
/// counts.
void set_total(metrics & target, std::string_view name, std::uint64_t value);

} // namespace cassiahub::telemetry

#endif
