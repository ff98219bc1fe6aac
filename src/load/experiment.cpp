#include "load/experiment_simulation.hpp"

#include <cassiahub/load/experiment.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace cassiahub::load
{

namespace internal
{

/// Indices in standard_workload() of the kinds that are flooded.
constexpr std::size_t least_urgent_kind = 0;
constexpr std::size_t most_urgent_kind = 3;

/// Equals start_time in experiment_simulation.cpp.
constexpr time_point arrivals_start{std::chrono::seconds(1000)};

/// Part of the time during which jobs arrive; the bounds are fractions of that time.
struct time_window
{
    double m_from = 0;
    double m_to = 1;
};

bool arrived_in(job_record const & job, time_window window, std::uint32_t seconds)
{
    double const at =
        std::chrono::duration<double>(job.m_arrival - arrivals_start).count() / seconds;
    return at >= window.m_from && at < window.m_to;
}

double quantile(std::vector<double> & values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    auto const position =
        static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(position),
                     values.end());
    return values[position];
}

/// \returns the response time of each urgent job divided by its ideal latency. A job
/// without a complete answer in time counts with a ratio that no answer in time reaches.
std::vector<double> urgent_response_ratios(run_result const & run,
                                           std::optional<std::size_t> excluded_kind)
{
    constexpr double unanswered_ratio = 1000;
    std::vector<double> ratios;
    for (job_record const & job : run.m_jobs)
    {
        if (!is_urgent(standard_workload()[job.m_kind_index]) || job.m_flood ||
            job.m_kind_index == excluded_kind)
        {
            continue;
        }
        ratios.push_back(job.m_response
                             ? std::chrono::duration<double>(*job.m_response) /
                                   std::chrono::duration<double>(job.m_ideal_latency)
                             : unanswered_ratio);
    }
    return ratios;
}

/// \returns the number of jobs that arrived in \p window and were answered completely and
/// in time. Jobs of \p excluded_kind and of the flood are not counted.
std::size_t goodput(run_result const & run, std::optional<std::size_t> excluded_kind,
                    time_window window, std::uint32_t seconds)
{
    return static_cast<std::size_t>(std::count_if(
        run.m_jobs.begin(), run.m_jobs.end(),
        [excluded_kind, window, seconds](job_record const & job)
        {
            return job.m_response && !job.m_flood && job.m_kind_index != excluded_kind &&
                   arrived_in(job, window, seconds);
        }));
}

/// \returns the goodput of the kinds other than \p flooding_kind in the flooded run,
/// divided by their goodput in the normal run.
double retention(run_result const & normal, run_result const & flooded,
                 std::size_t flooding_kind, std::uint32_t seconds)
{
    constexpr time_window flood_window{0.2, 1.0};
    return static_cast<double>(goodput(flooded, flooding_kind, flood_window, seconds)) /
           static_cast<double>(std::max<std::size_t>(
               goodput(normal, flooding_kind, flood_window, seconds), 1));
}

/// \returns the share of the flood's jobs that were answered in time.
double flood_answered_share(run_result const & run)
{
    std::size_t all = 0;
    std::size_t answered = 0;
    for (job_record const & job : run.m_jobs)
    {
        all += job.m_flood ? 1 : 0;
        answered += job.m_flood && job.m_response ? 1 : 0;
    }
    return static_cast<double>(answered) /
           static_cast<double>(std::max<std::size_t>(all, 1));
}

double wasted_ratio(run_result const & run)
{
    return static_cast<double>(run.m_wasted_messages) /
           static_cast<double>(std::max<std::uint64_t>(run.m_useful_results, 1));
}

std::uint64_t violation_count(run_result const & run)
{
    std::uint64_t count = 0;
    for (auto const & [name, occurrences] : run.m_violations)
    {
        count += occurrences;
    }
    return count;
}

nlohmann::json run_to_json(run_result const & run,
                           std::optional<std::size_t> excluded_kind)
{
    std::vector<double> ratios = urgent_response_ratios(run, excluded_kind);
    return {{"response_ratio_p50", quantile(ratios, 0.5)},
            {"response_ratio_p99", quantile(ratios, 0.99)},
            {"wasted_ratio", wasted_ratio(run)},
            {"waste", run.m_wasted_by_cause},
            {"useful_results", run.m_useful_results},
            {"retries", run.m_retries},
            {"hedges", run.m_hedges},
            {"forwards", run.m_forwards},
            {"ejections", run.m_ejections},
            {"violations", run.m_violations}};
}

/// Results of the runs of one policy.
struct policy_runs
{
    run_result m_normal;
    run_result m_with_faults;
    run_result m_common_cause_failure;
    run_result m_least_urgent_flood;
    run_result m_most_urgent_flood;
};

policy_runs run_policy(config::dispatch_settings const & settings,
                       experiment_options const & options)
{
    auto const run = [&options](scenario const & simulated)
    {
        return run_scenario(simulated, options.m_seconds, options.m_seed,
                            options.m_check_period);
    };
    return {run({settings, std::nullopt, false, false}),
            run({settings, std::nullopt, true, false}),
            run({settings, std::nullopt, false, true}),
            run({settings, least_urgent_kind, false, false}),
            run({settings, most_urgent_kind, false, false})};
}

nlohmann::json policy_to_json(policy_runs const & runs, std::uint32_t seconds)
{
    constexpr time_window after_common_cause_failure{0.68, 1.0};
    nlohmann::json report = run_to_json(runs.m_normal, std::nullopt);
    report["flood_retention_least_urgent"] =
        retention(runs.m_normal, runs.m_least_urgent_flood, least_urgent_kind, seconds);
    report["flood_retention_most_urgent"] =
        retention(runs.m_normal, runs.m_most_urgent_flood, most_urgent_kind, seconds);
    report["with_common_cause"] = run_to_json(runs.m_common_cause_failure, std::nullopt);
    report["goodput_after_common_cause"] =
        static_cast<double>(goodput(runs.m_common_cause_failure, std::nullopt,
                                    after_common_cause_failure, seconds)) /
        static_cast<double>(std::max<std::size_t>(
            goodput(runs.m_normal, std::nullopt, after_common_cause_failure, seconds),
            1));
    report["goodput_with_faults"] =
        static_cast<double>(goodput(runs.m_with_faults, std::nullopt, {}, seconds)) /
        static_cast<double>(
            std::max<std::size_t>(goodput(runs.m_normal, std::nullopt, {}, seconds), 1));
    report["with_faults"] = run_to_json(runs.m_with_faults, std::nullopt);
    report["with_least_urgent_flood"] =
        run_to_json(runs.m_least_urgent_flood, std::nullopt);
    report["with_most_urgent_flood"] =
        run_to_json(runs.m_most_urgent_flood, most_urgent_kind);
    report["with_least_urgent_flood"]["flood_answered"] =
        flood_answered_share(runs.m_least_urgent_flood);
    report["with_most_urgent_flood"]["flood_answered"] =
        flood_answered_share(runs.m_most_urgent_flood);
    report["violations"] = violation_count(runs.m_normal) +
                           violation_count(runs.m_with_faults) +
                           violation_count(runs.m_common_cause_failure) +
                           violation_count(runs.m_least_urgent_flood) +
                           violation_count(runs.m_most_urgent_flood);
    return report;
}

} // namespace internal

std::string run_experiment(experiment_options const & options)
{
    nlohmann::json report = {{"seed", options.m_seed}, {"seconds", options.m_seconds}};
    auto const add =
        [&report, &options](char const * name, config::dispatch_settings const & settings)
    {
        report[name] = internal::policy_to_json(internal::run_policy(settings, options),
                                                options.m_seconds);
    };
    config::dispatch_settings settings = options.m_settings;
    add("current", settings);
    if (!options.m_current_policy_only)
    {
        settings.m_ejection = config::ejection_policy::consecutive_failures;
        add("ejection_consecutive_failures", settings);
        settings.m_ejection = config::ejection_policy::none;
        add("ejection_none", settings);
        settings.m_policy = config::dispatch_policy::baseline;
        add("baseline", settings);
    }
    return report.dump(2);
}

} // namespace cassiahub::load
