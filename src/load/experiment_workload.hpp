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

/// How many tasks the jobs of a kind have.
enum class job_size
{
    single, ///< 1 to 3 tasks
    mixed,  ///< mostly a few tasks, one in two hundred up to 230
    bulk    ///< 10 to 230 tasks
};

/// Load of one kind of work.
struct kind_load
{
    std::string m_kind;
    std::string m_tenant_prefix;
    std::uint32_t m_urgency = 0;
    std::uint32_t m_share = 0;
    bool m_repeatable = false;
    double m_fleet_part = 0; ///< part of the fleet's slot time that the kind asks for
    job_size m_size = job_size::single;
    double m_long_part = 0; ///< part of the tasks that take several seconds
    duration m_time_limit{0};
};

/// The kinds of both users, at 70% of the fleet.
std::vector<kind_load> const & usual_load();

/// Kinds whose response ratio is reported.
bool is_urgent(kind_load const & load);

config::fleet_configuration make_fleet();
std::string domain_name(std::size_t index);

/// One generated job. The run time of each task is known to the upstream model only.
struct generated_job
{
    time_point m_arrival; ///< scheduled arrival at the caller
    std::size_t m_load = 0;
    job_spec m_spec;
    std::vector<duration> m_run_times;
    std::size_t m_instance = 0;
};

/// \returns the jobs of kind \p load in [from, to), arriving at \p scale times the
/// usual rate of a kind that asks for the whole fleet.
std::vector<generated_job> generate_jobs(std::size_t load, double scale, time_point from,
                                         time_point to, std::uint64_t seed);

} // namespace cassiahub::load::internal

#endif
