#ifndef CASSIAHUB_LOAD_EXPERIMENT_WORKLOAD_HPP
#define CASSIAHUB_LOAD_EXPERIMENT_WORKLOAD_HPP

#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/core/job.hpp>
#include <cassiahub/core/random.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cassiahub::load::internal
{

constexpr std::size_t upstream_count = 50;
constexpr std::uint32_t slots_per_upstream = 8;
constexpr std::size_t instance_count = 8;
constexpr std::size_t domain_count = 3;

/// Distribution of the number of tasks of a job.
enum class job_size
{
    single, ///< 1 to 3 tasks
    mixed,  ///< mostly a few tasks, one in two hundred up to 230
    bulk    ///< 10 to 230 tasks
};

/// Settings and load of one kind of work.
struct kind_workload
{
    std::string m_kind;
    std::string m_tenant_prefix;
    std::uint32_t m_urgency = 0; ///< 0 is the most urgent
    std::uint32_t m_share = 0;
    bool m_repeatable = false;
    double m_fleet_fraction = 0; ///< mean share of all slots that the kind occupies
    job_size m_job_size = job_size::single;
    double m_long_task_fraction = 0; ///< share of the tasks that run for several seconds
    duration m_time_limit{0};
};

/// \returns the kinds of both user organisations (tenants ente-* and tausi-*), which
/// together occupy 70% of the slots.
std::vector<kind_workload> const & standard_workload();

/// \returns whether the report contains the response ratio of the kind.
bool is_urgent(kind_workload const & load);

config::fleet_configuration make_fleet();
std::string domain_name(std::size_t index);

/// Generated job. Only the simulated upstreams use the run times; the dispatcher does not
/// know them.
struct generated_job
{
    time_point m_arrival;         ///< scheduled arrival at the caller
    std::size_t m_kind_index = 0; ///< in standard_workload()
    job_spec m_spec;
    std::vector<duration> m_run_times; ///< by task
    std::size_t m_instance = 0;        ///< index of the entry instance that receives it
};

/// \param kind_index in standard_workload().
/// \param scale mean share of all slots that the jobs occupy; above 1 it is an overload.
/// \returns the jobs that arrive in [\p from, \p to).
std::vector<generated_job> generate_jobs(std::size_t kind_index, double scale,
                                         time_point from, time_point to,
                                         std::uint64_t seed);

} // namespace cassiahub::load::internal

#endif
