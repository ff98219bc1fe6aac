#include <cassiahub/load/load_report.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace cassiahub::load
{

namespace internal
{

namespace
{

using nlohmann::json;

constexpr std::int64_t max_intervals = 300;
constexpr std::size_t max_not_run_keys = 200'000;
/// Jobs of this first part of the run do not count as normal service: connections are
/// still being opened.
constexpr duration warm_up = std::chrono::seconds(2);

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration interval_start(load_report const & report, std::size_t index)
{
    return report.m_interval * static_cast<std::int64_t>(index);
}

bool overlaps(load_report const & report, std::size_t index, flood const & item)
{
    duration const start = interval_start(report, index);
    return start + report.m_interval > item.m_start &&
           start < item.m_start + item.m_length;
}

/// \returns whether the interval \p index lies completely within the flood \p item.
bool is_inside(load_report const & report, std::size_t index, flood const & item)
{
    duration const start = interval_start(report, index);
    return start >= item.m_start &&
           start + report.m_interval <= item.m_start + item.m_length;
}

/// \returns the share of jobs answered in time in the intervals that \p chosen selects,
/// over every kind but \p excluded_kind.
template <typename Choice>
double in_time_share(load_report const & report, std::string_view excluded_kind,
                     load_plan const & plan, Choice chosen)
{
    double offered = 0;
    double in_time = 0;
    for (std::size_t kind = 0; kind < report.m_kinds.size(); ++kind)
    {
        std::vector<interval_counts> const & intervals = report.m_kinds[kind].m_intervals;
        for (std::size_t index = 0; index < intervals.size(); ++index)
        {
            if (plan.m_kinds[kind].m_name != excluded_kind && chosen(index))
            {
                offered += static_cast<double>(intervals[index].m_offered);
                in_time += static_cast<double>(intervals[index].m_in_time);
            }
        }
    }
    return offered > 0 ? in_time / offered : 0;
}

json to_json(kind_totals const & totals, load_plan const & plan)
{
    return {{"sent", totals.m_finished},
            {"answered_whole", totals.m_complete},
            {"late", totals.m_late},
            {"failed", totals.m_failed},
            {"refused_not_run", totals.m_refused_not_run},
            {"goodput_per_second",
             static_cast<double>(totals.m_in_time) / to_seconds(plan.m_length)},
            {"good_share", totals.m_finished == 0
                               ? 0.0
                               : static_cast<double>(totals.m_in_time) /
                                     static_cast<double>(totals.m_finished)},
            {"response_ratio_p50", quantile(totals.m_response_ratio, 0.5)},
            {"response_ratio_p99", quantile(totals.m_response_ratio, 0.99)},
            {"latency_p50_ms", quantile(totals.m_latency, 0.5) * 1000},
            {"latency_p99_ms", quantile(totals.m_latency, 0.99) * 1000},
            {"resubmitted", totals.m_resubmissions},
            {"resubmitted_answered_whole", totals.m_resubmissions_complete},
            {"resubmitted_failed", totals.m_resubmissions_failed},
            {"wrong_answers", totals.m_wrong_answers}};
}

json to_json(upstream_totals const & totals)
{
    return {{"known", totals.m_available},
            {"starts", totals.m_starts},
            {"refused", totals.m_refused},
            {"cancelled", totals.m_cancelled},
            {"repeated_starts_by_kind", totals.m_repeated_starts_by_kind}};
}

void count_resubmission(kind_totals & totals, submission_outcome const & outcome)
{
    ++totals.m_resubmissions;
    if (outcome.m_complete)
    {
        ++totals.m_resubmissions_complete;
    }
    else
    {
        ++totals.m_resubmissions_failed[outcome.m_code];
    }
}

} // namespace

} // namespace internal

log_histogram make_log_histogram(double low, double high, double step)
{
    using namespace boost::histogram;
    auto const bins = static_cast<unsigned>(std::ceil(std::log(high / low) / step));
    return make_histogram(axis::regular<double, axis::transform::log>(bins, low, high));
}

double quantile(log_histogram const & counts, double rank)
{
    double total = 0;
    for (auto && bin : boost::histogram::indexed(counts, boost::histogram::coverage::all))
    {
        total += static_cast<double>(*bin);
    }
    double remaining = total * rank;
    double value = 0;
    for (auto && bin : boost::histogram::indexed(counts, boost::histogram::coverage::all))
    {
        auto const count = static_cast<double>(*bin);
        if (count > 0)
        {
            value =
                std::isfinite(bin.bin().upper()) ? bin.bin().upper() : bin.bin().lower();
        }
        remaining -= count;
        if (total > 0 && remaining <= 0 && count > 0)
        {
            return value;
        }
    }
    return value;
}

load_report make_empty_report(load_plan const & plan)
{
    load_report report;
    report.m_interval = std::max<duration>(std::chrono::seconds(1),
                                           plan.m_length / internal::max_intervals);
    report.m_kinds.resize(plan.m_kinds.size());
    auto const count = static_cast<std::size_t>(plan.m_length / report.m_interval) + 1;
    for (kind_totals & totals : report.m_kinds)
    {
        totals.m_intervals.resize(count);
    }
    return report;
}

void add_outcome(load_plan const & plan, load_report & report,
                 submission_outcome const & outcome)
{
    kind_totals & totals = report.m_kinds[outcome.m_kind];
    totals.m_wrong_answers += outcome.m_wrong_answer ? 1 : 0;
    if (outcome.m_resubmission)
    {
        internal::count_resubmission(totals, outcome);
        return;
    }
    bool const in_time = outcome.m_complete &&
                         outcome.m_latency <= plan.m_kinds[outcome.m_kind].m_deadline;
    interval_counts & interval = totals.m_intervals[std::min<std::size_t>(
        static_cast<std::size_t>(outcome.m_at / report.m_interval),
        totals.m_intervals.size() - 1)];
    ++totals.m_finished;
    ++interval.m_offered;
    if (outcome.m_complete)
    {
        double const latency = internal::to_seconds(outcome.m_latency);
        ++totals.m_complete;
        ++(in_time ? totals.m_in_time : totals.m_late);
        interval.m_in_time += in_time ? 1 : 0;
        totals.m_tasks_in_time += in_time ? outcome.m_tasks : 0;
        totals.m_response_ratio(latency / internal::to_seconds(outcome.m_ideal_latency));
        totals.m_latency(latency);
        interval.m_latency(latency);
        return;
    }
    ++totals.m_failed[outcome.m_code];
    if (outcome.m_ran == run_state::no)
    {
        ++totals.m_refused_not_run;
        if (!outcome.m_multiple_submissions && !outcome.m_key.empty() &&
            report.m_not_run_keys.size() < internal::max_not_run_keys)
        {
            report.m_not_run_keys.push_back(outcome.m_key);
        }
    }
}

double flood_retention(load_plan const & plan, load_report const & report,
                       flood const & item)
{
    double const during = internal::in_time_share(
        report, item.m_kind, plan,
        [&](std::size_t index) { return internal::is_inside(report, index, item); });
    double const normal = internal::in_time_share(
        report, item.m_kind, plan,
        [&](std::size_t index)
        {
            return internal::interval_start(report, index) >= internal::warm_up &&
                   std::none_of(plan.m_floods.begin(), plan.m_floods.end(),
                                [&](flood const & other)
                                { return internal::overlaps(report, index, other); });
        });
    return normal > 0 ? during / normal : 0;
}

std::uint64_t count_violations(load_plan const & plan, load_report const & report)
{
    std::uint64_t count = report.m_started_despite_refusal;
    for (std::size_t kind = 0; kind < report.m_kinds.size(); ++kind)
    {
        count += report.m_kinds[kind].m_wrong_answers;
        auto const repeated =
            report.m_upstreams.m_repeated_starts_by_kind.find(plan.m_kinds[kind].m_name);
        if (!plan.m_kinds[kind].m_repeatable &&
            repeated != report.m_upstreams.m_repeated_starts_by_kind.end())
        {
            count += repeated->second;
        }
    }
    return count;
}

double wasted_ratio(load_report const & report)
{
    std::uint64_t useful_starts = 0;
    for (kind_totals const & totals : report.m_kinds)
    {
        useful_starts += totals.m_tasks_in_time;
    }
    upstream_totals const & upstreams = report.m_upstreams;
    std::uint64_t const useless_starts =
        upstreams.m_starts > useful_starts ? upstreams.m_starts - useful_starts : 0;
    return useful_starts == 0
               ? 0.0
               : static_cast<double>(upstreams.m_refused + useless_starts) /
                     static_cast<double>(useful_starts);
}

std::string format_report(load_plan const & plan, load_report const & report)
{
    internal::json kinds = internal::json::object();
    for (std::size_t kind = 0; kind < report.m_kinds.size(); ++kind)
    {
        kinds[plan.m_kinds[kind].m_name] = internal::to_json(report.m_kinds[kind], plan);
    }
    internal::json floods = internal::json::object();
    for (flood const & item : plan.m_floods)
    {
        floods[item.m_name] = {{"kind", item.m_kind},
                               {"factor", item.m_factor},
                               {"retention", flood_retention(plan, report, item)}};
    }
    return internal::json({{"seed", plan.m_seed},
                           {"length_s", internal::to_seconds(plan.m_length)},
                           {"offered_slots", offered_slots(plan)},
                           {"kinds", std::move(kinds)},
                           {"floods", std::move(floods)},
                           {"upstreams", internal::to_json(report.m_upstreams)},
                           {"wasted_ratio", wasted_ratio(report)},
                           {"started_despite_refusal", report.m_started_despite_refusal},
                           {"violations", count_violations(plan, report)}})
        .dump(2);
}

std::string format_progress(load_report const & report, duration elapsed)
{
    std::uint64_t finished = 0;
    std::uint64_t in_time = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrong = 0;
    for (kind_totals const & totals : report.m_kinds)
    {
        finished += totals.m_finished;
        in_time += totals.m_in_time;
        refused += totals.m_refused_not_run;
        wrong += totals.m_wrong_answers;
    }
    return fmt::format(
        "{:.0f} s: {} jobs finished, {} answered in time, {} refused before "
        "any task ran, {} wrong answers",
        internal::to_seconds(elapsed), finished, in_time, refused, wrong);
}

} // namespace cassiahub::load
