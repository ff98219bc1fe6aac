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

/// Outcome of one submission.
struct submission_outcome
{
    std::uint32_t m_kind = 0;            ///< index in the kinds of the plan
    bool m_resubmission = false;         ///< repeats an earlier job with the same key
    bool m_multiple_submissions = false; ///< the key was submitted more than once
    duration m_at{0};            ///< scheduled arrival, since the start of the run
    duration m_latency{0};       ///< since the scheduled arrival
    duration m_ideal_latency{0}; ///< without queueing: longest task and one round trip
    std::size_t m_tasks = 0;     ///< number of tasks
    bool m_complete = false;     ///< answered with the expected result of every task
    bool m_wrong_answer = false; ///< unexpected result or wrong number of results
    std::string m_code;          ///< reason of a refusal or failure, else empty
    run_state m_ran = run_state::unknown; ///< whether a task ran, as the answer states
    std::string m_key;
};

/// Histogram whose bins have equal relative width.
using log_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>()));

/// \param step relative width of a bin: 0.005 is half a percent.
log_histogram make_log_histogram(double low, double high, double step);

/// \param rank in [0, 1]; 0.99 gives the 99th percentile.
/// \returns the upper bound of the bin that holds the quantile; 0 when empty.
double quantile(log_histogram const & counts, double rank);

/// Jobs of one kind whose scheduled arrival lies in one interval of the run.
struct interval_counts
{
    std::uint64_t m_offered = 0;
    std::uint64_t m_in_time = 0; ///< answered completely within the deadline
    log_histogram m_latency = make_log_histogram(1e-4, 600, 0.05); ///< seconds
};

/// Totals of one kind. Resubmissions have counters of their own.
struct kind_totals
{
    std::uint64_t m_finished = 0;        ///< jobs that ended, whatever the outcome
    std::uint64_t m_complete = 0;        ///< answered with the expected results
    std::uint64_t m_in_time = 0;         ///< answered completely within the deadline
    std::uint64_t m_late = 0;            ///< answered completely after the deadline
    std::uint64_t m_refused_not_run = 0; ///< not answered completely, and no task ran
    std::uint64_t m_tasks_in_time = 0;   ///< tasks of the jobs in m_in_time
    std::uint64_t m_resubmissions = 0;
    std::uint64_t m_resubmissions_complete = 0;
    std::uint64_t m_wrong_answers = 0;
    std::map<std::string, std::uint64_t> m_failed;               ///< by code
    std::map<std::string, std::uint64_t> m_resubmissions_failed; ///< by code
    /// Latency divided by the ideal latency.
    log_histogram m_response_ratio = make_log_histogram(0.5, 1000, 0.005);
    log_histogram m_latency = make_log_histogram(1e-4, 600, 0.005); ///< seconds
    std::vector<interval_counts> m_intervals;
};

/// Counters of the upstream stand-ins, summed.
struct upstream_totals
{
    bool m_available = false;      ///< every process returned its counters
    std::uint64_t m_starts = 0;    ///< started task attempts
    std::uint64_t m_refused = 0;   ///< refused task attempts
    std::uint64_t m_cancelled = 0; ///< cancelled task attempts
    /// Starts of tasks that had started before.
    std::map<std::string, std::uint64_t> m_repeated_starts_by_kind;
};

/// Measurements of one run. Used by one thread.
struct load_report
{
    std::string m_run_id;   ///< prefix of every key of the run
    duration m_interval{0}; ///< length of the intervals of kind_totals::m_intervals
    std::vector<kind_totals> m_kinds; ///< in the order of the plan
    /// Keys of jobs that were submitted at most once and of which no task ran, as stated
    /// by the answer. The number of keys is limited.
    std::vector<std::string> m_not_run_keys;
    /// Number of keys in m_not_run_keys of which a task was started nevertheless.
    std::uint64_t m_started_despite_refusal = 0;
    upstream_totals m_upstreams;
};

/// \returns a report without outcomes, with the kinds and intervals of \p plan.
load_report make_empty_report(load_plan const & plan);

/// Adds \p outcome to the totals of its kind and interval.
void add_outcome(load_plan const & plan, load_report & report,
                 submission_outcome const & outcome);

/// Measures how far a flood of one kind affects the other kinds.
/// \returns the share of the other kinds' jobs that were answered in time during the
/// flood \p item, divided by the same share outside all floods.
double flood_retention(load_plan const & plan, load_report const & report,
                       flood const & item);

/// \returns the sum of wrong answers, repeated starts of kinds that are not repeatable,
/// and started jobs that were refused before any task ran.
std::uint64_t count_violations(load_plan const & plan, load_report const & report);

/// \returns the number of wasted attempts for each task answered in time. Wasted are the
/// attempts that an upstream refused, and the starts in excess of the number of tasks
/// answered in time.
double wasted_ratio(load_report const & report);

/// \returns the report as JSON.
std::string format_report(load_plan const & plan, load_report const & report);

/// \returns one line of progress for the terminal.
std::string format_progress(load_report const & report, duration elapsed);

/// \returns an SVG image: latency over time, and the share of jobs answered in time.
std::string format_plot(load_plan const & plan, load_report const & report);

} // namespace cassiahub::load

#endif
