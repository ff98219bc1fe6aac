/// \file Time of one decision against the number of upstreams and tenants.

#include <cassiahub/dispatch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace cassiahub::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kind_count = 6;
constexpr std::size_t tasks_per_job = 10;
constexpr std::size_t measured_events = 100'000;
constexpr std::size_t samples = 5;

/// One size to measure.
struct bench_size
{
    std::size_t m_upstreams = 0;
    std::size_t m_tenants = 0;
};

config::fleet_configuration make_fleet(bench_size const & size)
{
    config::fleet_configuration fleet;
    for (std::size_t index = 0; index < kind_count; ++index)
    {
        config::work_kind kind;
        kind.m_name = fmt::format("kind-{}", index);
        kind.m_urgency = static_cast<std::uint32_t>(index);
        kind.m_share = 10;
        kind.m_repeatable = true;
        kind.m_queue_limit = 10'000'000;
        fleet.m_kinds.push_back(kind);
    }
    for (std::size_t index = 0; index < size.m_tenants; ++index)
    {
        config::tenant tenant;
        tenant.m_name = fmt::format("tenant-{:04}", index);
        tenant.m_max_tasks = 10'000'000;
        fleet.m_tenants.push_back(tenant);
    }
    for (std::size_t index = 0; index < size.m_upstreams; ++index)
    {
        config::upstream upstream;
        upstream.m_name = fmt::format("upstream-{:05}", index);
        fleet.m_upstreams.push_back(upstream);
    }
    return fleet;
}

/// A dispatcher that owns every upstream, with work waiting for each tenant.
struct bench_state
{
    dispatch_state m_state;
    random_source m_random;
    time_point m_now{1000s};
    effects m_out;
    std::size_t m_next_job = 0;
    std::size_t m_tenants = 0;
    std::vector<attempt_id> m_running;
};

void submit_job(bench_state & bench)
{
    std::size_t const number = bench.m_next_job++;
    job_spec spec;
    spec.m_key = {fmt::format("tenant-{:04}", number % bench.m_tenants), "domain",
                  std::to_string(number)};
    spec.m_kind = fmt::format("kind-{}", number % kind_count);
    spec.m_time_limit = 1h;
    spec.m_tasks.resize(tasks_per_job);
    for (task_spec & task : spec.m_tasks)
    {
        task.m_demand = {1000, 512, 0};
    }
    time_point const deadline = bench.m_now + spec.m_time_limit;
    enqueue_job(bench.m_state, {std::move(spec), {}, deadline, deadline}, bench.m_now);
}

void collect_starts(bench_state & bench)
{
    for (attempt_start const & start : bench.m_out.m_starts)
    {
        bench.m_running.push_back(start.m_attempt);
    }
    bench.m_out = {};
}

bench_state make_bench(bench_size const & size)
{
    bench_state bench;
    bench.m_tenants = size.m_tenants;
    config::fleet_configuration fleet = make_fleet(size);
    std::vector<std::string> names;
    for (config::upstream const & upstream : fleet.m_upstreams)
    {
        names.push_back(upstream.m_name);
    }
    apply_configuration(bench.m_state,
                        std::make_shared<config::fleet_configuration>(std::move(fleet)));
    set_owned_upstreams(bench.m_state, names);
    // Fills every slot and leaves one job waiting for each tenant and kind.
    std::size_t const jobs =
        size.m_upstreams * 8 / tasks_per_job + size.m_tenants * kind_count;
    for (std::size_t job = 0; job < jobs; ++job)
    {
        submit_job(bench);
    }
    advance(bench.m_state, bench.m_now, bench.m_random, bench.m_out);
    collect_starts(bench);
    return bench;
}

/// One result: the finished attempt is accounted for and a waiting task is started.
void decide_once(bench_state & bench)
{
    std::size_t const chosen = bench.m_random() % bench.m_running.size();
    std::swap(bench.m_running[chosen], bench.m_running.back());
    attempt_id const id = bench.m_running.back();
    bench.m_running.pop_back();
    bench.m_now += 10us;
    finish_attempt(bench.m_state, {id, attempt_outcome::succeeded, "", false},
                   bench.m_now, bench.m_random, bench.m_out);
    advance(bench.m_state, bench.m_now, bench.m_random, bench.m_out);
    collect_starts(bench);
}

double measure_microseconds(bench_state & bench)
{
    auto const begin = std::chrono::steady_clock::now();
    for (std::size_t event = 0; event < measured_events; ++event)
    {
        decide_once(bench);
        if (event % tasks_per_job == 0)
        {
            submit_job(bench);
        }
    }
    auto const passed = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::micro>(passed).count() / measured_events;
}

/// \returns the least of several samples, which other load on the machine disturbs least.
double least_microseconds(bench_size const & size)
{
    bench_state bench = make_bench(size);
    double least = measure_microseconds(bench);
    for (std::size_t sample = 1; sample < samples; ++sample)
    {
        least = std::min(least, measure_microseconds(bench));
    }
    return least;
}

} // namespace

} // namespace cassiahub::dispatch

int main(int argc, char ** argv)
{
    using cassiahub::dispatch::bench_size;
    std::vector<bench_size> sizes = {{50, 1},    {50, 670},  {500, 1},
                                     {500, 670}, {7'400, 1}, {7'400, 670}};
    if (argc == 3)
    {
        // One size alone, for counting instructions with perf stat.
        sizes = {{std::stoul(argv[1]), std::stoul(argv[2])}};
    }
    fmt::print("{:>10} {:>8} {:>18}\n", "upstreams", "tenants", "us per decision");
    for (bench_size const & size : sizes)
    {
        fmt::print("{:>10} {:>8} {:>18.2f}\n", size.m_upstreams, size.m_tenants,
                   cassiahub::dispatch::least_microseconds(size));
    }
    return 0;
}
