#include "load/experiment_simulation.hpp"

#include <cassiahub/load/experiment.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace cassiahub::load
{

namespace internal
{

/// Index in usual_load() of the kinds that flood.
constexpr std::size_t least_urgent_load = 0;
constexpr std::size_t most_urgent_load = 3;

constexpr time_point start_of_arrivals{std::chrono::seconds(1000)};

/// One part of a run, as fractions of the arrival time.
struct time_part
{
    double m_from = 0;
    double m_to = 1;
};

bool is_within(job_record const & job, time_part part, std::uint32_t seconds)
{
    double const at =
        std::chrono::duration<double>(job.m_arrival - start_of_arrivals).count() /
        seconds;
    return at >= part.m_from && at < part.m_to;
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

/// Response over ideal of each urgent job; a job without a timely complete answer counts
/// with a ratio beyond every bound.
std::vector<double> urgent_ratios(run_result const & run,
                                  std::optional<std::size_t> except)
{
    constexpr double unanswered_ratio = 1000;
    std::vector<double> ratios;
    for (job_record const & job : run.m_jobs)
    {
        if (!is_urgent(usual_load()[job.m_load]) || job.m_flood || job.m_load == except)
        {
            continue;
        }
        ratios.push_back(job.m_response ? std::chrono::duration<double>(*job.m_response) /
                                              std::chrono::duration<double>(job.m_ideal)
                                        : unanswered_ratio);
    }
    return ratios;
}

/// Timely complete answers to jobs of every kind but \p except that arrived in \p part.
std::size_t goodput(run_result const & run, std::optional<std::size_t> except,
                    time_part part, std::uint32_t seconds)
{
    return static_cast<std::size_t>(
        std::count_if(run.m_jobs.begin(), run.m_jobs.end(),
                      [except, part, seconds](job_record const & job)
                      {
                          return job.m_response && !job.m_flood && job.m_load != except &&
                                 is_within(job, part, seconds);
                      }));
}

double retention(run_result const & usual, run_result const & flooded, std::size_t load,
                 std::uint32_t seconds)
{
    constexpr time_part flood_part{0.2, 1.0};
    return static_cast<double>(goodput(flooded, load, flood_part, seconds)) /
           static_cast<double>(
               std::max<std::size_t>(goodput(usual, load, flood_part, seconds), 1));
}

/// Part of the flood's jobs that were answered in time.
double flood_answered(run_result const & run)
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
    return static_cast<double>(run.m_wasted) /
           static_cast<double>(std::max<std::uint64_t>(run.m_useful, 1));
}

std::uint64_t violation_count(run_result const & run)
{
    std::uint64_t count = 0;
    for (auto const & [name, times] : run.m_violations)
    {
        count += times;
    }
    return count;
}

nlohmann::json describe_run(run_result const & run, std::optional<std::size_t> except)
{
    std::vector<double> ratios = urgent_ratios(run, except);
    return {{"response_ratio_p50", quantile(ratios, 0.5)},
            {"response_ratio_p99", quantile(ratios, 0.99)},
            {"wasted_ratio", wasted_ratio(run)},
            {"waste", run.m_waste},
            {"useful_results", run.m_useful},
            {"retries", run.m_retries},
            {"hedges", run.m_hedges},
            {"forwards", run.m_forwards},
            {"ejections", run.m_ejections},
            {"violations", run.m_violations}};
}

/// The runs of one policy.
struct policy_runs
{
    run_result m_usual;
    run_result m_faulty;
    run_result m_common_cause;
    run_result m_least_flood;
    run_result m_most_flood;
};

policy_runs run_policy(config::dispatch_settings const & settings,
                       experiment_options const & options)
{
    auto const run = [&options](scenario const & chosen)
    {
        return run_scenario(chosen, options.m_seconds, options.m_seed,
                            options.m_check_period);
    };
    return {run({settings, std::nullopt, false, false}),
            run({settings, std::nullopt, true, false}),
            run({settings, std::nullopt, false, true}),
            run({settings, least_urgent_load, false, false}),
            run({settings, most_urgent_load, false, false})};
}

nlohmann::json describe_policy(policy_runs const & runs, std::uint32_t seconds)
{
    constexpr time_part after_common_cause{0.68, 1.0};
    nlohmann::json report = describe_run(runs.m_usual, std::nullopt);
    report["flood_retention_least_urgent"] =
        retention(runs.m_usual, runs.m_least_flood, least_urgent_load, seconds);
    report["flood_retention_most_urgent"] =
        retention(runs.m_usual, runs.m_most_flood, most_urgent_load, seconds);
    report["with_common_cause"] = describe_run(runs.m_common_cause, std::nullopt);
    report["goodput_after_common_cause"] =
        static_cast<double>(
            goodput(runs.m_common_cause, std::nullopt, after_common_cause, seconds)) /
        static_cast<double>(std::max<std::size_t>(
            goodput(runs.m_usual, std::nullopt, after_common_cause, seconds), 1));
    report["goodput_with_faults"] =
        static_cast<double>(goodput(runs.m_faulty, std::nullopt, {}, seconds)) /
        static_cast<double>(
            std::max<std::size_t>(goodput(runs.m_usual, std::nullopt, {}, seconds), 1));
    report["with_faults"] = describe_run(runs.m_faulty, std::nullopt);
    report["with_least_urgent_flood"] = describe_run(runs.m_least_flood, std::nullopt);
    report["with_most_urgent_flood"] = describe_run(runs.m_most_flood, most_urgent_load);
    report["with_least_urgent_flood"]["flood_answered"] =
        flood_answered(runs.m_least_flood);
    report["with_most_urgent_flood"]["flood_answered"] =
        flood_answered(runs.m_most_flood);
    report["violations"] =
        violation_count(runs.m_usual) + violation_count(runs.m_faulty) +
        violation_count(runs.m_common_cause) + violation_count(runs.m_least_flood) +
        violation_count(runs.m_most_flood);
    return report;
}

} // namespace internal

std::string run_experiment(experiment_options const & options)
{
    nlohmann::json report = {{"seed", options.m_seed}, {"seconds", options.m_seconds}};
    auto const add =
        [&report, &options](char const * name, config::dispatch_settings const & settings)
    {
        report[name] = internal::describe_policy(internal::run_policy(settings, options),
                                                 options.m_seconds);
    };
    config::dispatch_settings settings = options.m_settings;
    add("current", settings);
    if (!options.m_only_current)
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
