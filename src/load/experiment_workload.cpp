#include "load/experiment_workload.hpp"

#include <cmath>

namespace cassiahub::load::internal
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t tenants_per_prefix = 5;
constexpr double min_run_seconds = 0.05;
constexpr double max_short_run_seconds = 1.0;
constexpr double min_long_run_seconds = 2.0;
constexpr double max_long_run_seconds = 6.0;

double draw_uniform(random_source & random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

std::size_t draw_integer(random_source & random, std::size_t low, std::size_t high)
{
    return std::uniform_int_distribution<std::size_t>(low, high)(random);
}

std::size_t draw_task_count(random_source & random, job_size size)
{
    double const fraction = draw_uniform(random, 0, 1);
    switch (size)
    {
    case job_size::single:
        return draw_integer(random, 1, 3);
    case job_size::mixed:
        if (fraction < 0.7)
        {
            return draw_integer(random, 1, 4);
        }
        if (fraction < 0.95)
        {
            return draw_integer(random, 5, 20);
        }
        return fraction < 0.995 ? draw_integer(random, 21, 60)
                                : draw_integer(random, 61, 230);
    case job_size::bulk:
        return fraction < 0.5 ? draw_integer(random, 10, 50)
                              : draw_integer(random, 51, 230);
    }
    return 1;
}

double mean_task_count(job_size size)
{
    switch (size)
    {
    case job_size::single:
        return 2;
    case job_size::mixed:
        return 0.7 * 2.5 + 0.25 * 12.5 + 0.045 * 40.5 + 0.005 * 145.5;
    case job_size::bulk:
        return 0.5 * 30 + 0.5 * 140.5;
    }
    return 1;
}

double mean_run_seconds(kind_workload const & load)
{
    double const usual = (max_short_run_seconds - min_run_seconds) /
                         std::log(max_short_run_seconds / min_run_seconds);
    double const longer = (min_long_run_seconds + max_long_run_seconds) / 2;
    return (1 - load.m_long_task_fraction) * usual + load.m_long_task_fraction * longer;
}

/// Most run times are log-uniform between 50 ms and 1 s; the long ones are uniform
/// between 2 s and 6 s.
duration draw_run_time(random_source & random, kind_workload const & load)
{
    double seconds = std::exp(
        draw_uniform(random, std::log(min_run_seconds), std::log(max_short_run_seconds)));
    if (draw_uniform(random, 0, 1) < load.m_long_task_fraction)
    {
        seconds = draw_uniform(random, min_long_run_seconds, max_long_run_seconds);
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

generated_job draw_job(random_source & random, std::size_t index, std::uint64_t serial)
{
    kind_workload const & load = standard_workload()[index];
    generated_job job;
    job.m_kind_index = index;
    job.m_instance = draw_integer(random, 0, instance_count - 1);
    job.m_spec.m_key.m_tenant =
        load.m_tenant_prefix +
        std::to_string(draw_integer(random, 1, tenants_per_prefix));
    job.m_spec.m_key.m_key = load.m_kind + "-" + std::to_string(serial);
    job.m_spec.m_kind = load.m_kind;
    job.m_spec.m_time_limit = load.m_time_limit;
    job.m_spec.m_tasks.resize(draw_task_count(random, load.m_job_size));
    for (std::size_t task = 0; task < job.m_spec.m_tasks.size(); ++task)
    {
        job.m_run_times.push_back(draw_run_time(random, load));
        job.m_spec.m_tasks[task].m_payload = std::to_string(task);
        job.m_spec.m_tasks[task].m_demand = {1000, 512, 0};
        // Far below the real run times: decisions must not depend on the declared ones.
        job.m_spec.m_tasks[task].m_declared_run_time = 10ms;
    }
    return job;
}

void add_tenants(config::fleet_configuration & fleet, std::string const & prefix)
{
    for (std::size_t number = 1; number <= tenants_per_prefix; ++number)
    {
        config::tenant tenant;
        tenant.m_name = prefix + std::to_string(number);
        tenant.m_max_tasks = 1'000'000;
        fleet.m_tenants.push_back(tenant);
    }
}

config::upstream make_upstream(std::size_t index)
{
    config::upstream upstream;
    std::string const number = std::to_string(index);
    upstream.m_name = "upstream-" + std::string(4 - number.size(), '0') + number;
    upstream.m_address = number;
    upstream.m_domain = domain_name(index % domain_count);
    upstream.m_slots = slots_per_upstream;
    return upstream;
}

} // namespace

std::vector<kind_workload> const & standard_workload()
{
    // Kind, tenant prefix, urgency, share, repeatable, fraction of the fleet, job size,
    // fraction of long tasks, time limit. Sorted by name, as the configuration requires.
    // A share (in percent) exceeds the fraction of the fleet, because operators leave
    // room for bursts.
    static std::vector<kind_workload> const loads = {
        {"bulk-report", "tausi-", 8, 10, true, 0.10, job_size::bulk, 0.015, 60s},
        {"cut-booking", "ente-", 1, 12, false, 0.08, job_size::single, 0, 10s},
        {"levy-validation", "tausi-", 2, 28, true, 0.18, job_size::mixed, 0.005, 10s},
        {"lodgement", "tausi-", 0, 12, false, 0.07, job_size::single, 0, 10s},
        {"order-storage", "ente-", 4, 16, true, 0.12, job_size::mixed, 0.005, 20s},
        {"pattern-check", "ente-", 2, 22, true, 0.15, job_size::mixed, 0.005, 10s},
    };
    return loads;
}

bool is_urgent(kind_workload const & load)
{
    return load.m_urgency <= 2;
}

std::string domain_name(std::size_t index)
{
    static constexpr char const * names[domain_count] = {"centre", "north", "south"};
    return names[index];
}

config::fleet_configuration make_fleet()
{
    config::fleet_configuration fleet;
    for (std::size_t index = 0; index < domain_count; ++index)
    {
        fleet.m_domains.push_back({domain_name(index), "team", "region", 8});
    }
    for (kind_workload const & load : standard_workload())
    {
        config::work_kind kind;
        kind.m_name = load.m_kind;
        kind.m_urgency = load.m_urgency;
        kind.m_share = load.m_share;
        kind.m_repeatable = load.m_repeatable;
        fleet.m_kinds.push_back(kind);
    }
    add_tenants(fleet, "ente-");
    add_tenants(fleet, "tausi-");
    for (std::size_t index = 0; index < upstream_count; ++index)
    {
        fleet.m_upstreams.push_back(make_upstream(index));
    }
    return fleet;
}

std::vector<generated_job> generate_jobs(std::size_t index, double scale, time_point from,
                                         time_point to, std::uint64_t seed)
{
    kind_workload const & load = standard_workload()[index];
    double const slots = static_cast<double>(upstream_count * slots_per_upstream);
    double const rate =
        scale * slots / (mean_task_count(load.m_job_size) * mean_run_seconds(load));
    random_source random(seed);
    std::exponential_distribution<double> gap(rate);
    std::vector<generated_job> jobs;
    time_point next = from;
    while (true)
    {
        next += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(random)));
        if (next >= to)
        {
            return jobs;
        }
        jobs.push_back(draw_job(random, index, (seed << 32) + jobs.size()));
        jobs.back().m_arrival = next;
    }
}

} // namespace cassiahub::load::internal
