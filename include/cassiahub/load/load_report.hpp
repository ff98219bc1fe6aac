#ifndef CASSIAHUB_LOAD_LOAD_REPORT_HPP
#define CASSIAHUB_LOAD_LOAD_REPORT_HPP

#include <cassiahub/core/job.hpp>
#include <cassiahub/load/load_plan.hpp>

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::load
{

/// How one submission ended. Times count from the scheduled arrival.
struct submission_outcome
{
    std::uint32_t m_kind = 0;
    bool m_resubmission = false;
    bool m_sent_again = false; ///< the key was submitted more than once
    duration m_at{0};          ///< scheduled, since the start of the run
    duration m_latency{0};
    duration m_ideal{0};
    std::size_t m_tasks = 0;
    bool m_whole = false;
    bool m_wrong = false; ///< a result that belongs to another key, or the wrong count
    std::string m_code;   ///< of a refusal or failure
    run_state m_ran = run_state::unknown;
    std::string m_key;
};

/// Counts by a value whose bins have equal relative width.
using log_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>()));

/// \returns a histogram whose bins differ by about \p step (0.005 is half a percent).
log_histogram make_log_histogram(double low, double high, double step);

/// \returns the value below which the share \p rank of the counts lies; 0 when empty.
double quantile(log_histogram const & counts, double rank);

/// Jobs of one kind that were due in one interval of the run.
struct interval_counts
{
    std::uint64_t m_offered = 0;
    std::uint64_t m_good = 0; ///< answered whole within the deadline
    log_histogram m_latency = make_log_histogram(1e-4, 600, 0.05); ///< seconds
};

/// Totals of one kind.
struct kind_totals
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_whole = 0;
    std::uint64_t m_good = 0;
    std::uint64_t m_late = 0; ///< answered whole after the deadline
    std::uint64_t m_refused_not_run = 0;
    std::uint64_t m_tasks_in_time = 0;
    std::uint64_t m_resubmitted = 0;
    std::uint64_t m_resubmitted_whole = 0;
    std::uint64_t m_wrong_answers = 0;
    std::map<std::string, std::uint64_t> m_failed;             ///< by code
    std::map<std::string, std::uint64_t> m_resubmitted_failed; ///< by code
    log_histogram m_ratio = make_log_histogram(0.5, 1000, 0.005);
    log_histogram m_latency = make_log_histogram(1e-4, 600, 0.005); ///< seconds
    std::vector<interval_counts> m_intervals;
};

/// What the upstream stand-ins counted.
struct upstream_totals
{
    bool m_known = false;
    std::uint64_t m_starts = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_cancelled = 0;
    std::map<std::string, std::uint64_t> m_repeated_by_kind;
};

/// Everything measured in one run. Used by one thread.
struct load_report
{
    std::string m_run;      ///< begins every key of the run
    duration m_interval{0}; ///< length of one element of m_intervals
    std::vector<kind_totals> m_kinds;
    std::vector<std::string> m_not_run_keys; ///< refused as not run, bounded
    std::uint64_t m_started_despite_refusal = 0;
    upstream_totals m_upstreams;
};

load_report start_report(load_plan const & plan);

void add_outcome(load_plan const & plan, load_report & report,
                 submission_outcome const & outcome);

/// \returns the service that the kinds other than the flood's kept: the share of their
/// jobs answered in time during the flood, divided by the same share outside floods.
double flood_retention(load_plan const & plan, load_report const & report,
                       flood const & item);

/// \returns wrong answers, repeated starts of kinds that are not repeatable, and starts
/// of jobs that were refused as not run.
std::uint64_t count_violations(load_plan const & plan, load_report const & report);

/// \returns refused, cancelled and useless starts for each task answered in time.
double wasted_ratio(load_report const & report);

/// \returns the report as JSON.
std::string format_report(load_plan const & plan, load_report const & report);

/// \returns one line for a person who watches the run.
std::string format_progress(load_report const & report, duration elapsed);

/// \returns an SVG image: latency over time, and the share of jobs answered in time.
std::string format_plot(load_plan const & plan, load_report const & report);

} // namespace cassiahub::load

#endif
