/// \file Time of one dispatch decision at several numbers of upstreams and tenants.

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
constexpr std::size_t measured_decisions = 100'000;
constexpr std::size_t samples = 5;

/// Fleet size to measure.
struct fleet_size
{
    std::size_t m_upstreams = 0;
    std::size_t m_tenants = 0;
};

config::fleet_configuration make_fleet(fleet_size const & size)
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

/// Dispatcher that owns every upstream and has queued jobs of every tenant.
struct bench_state
{
    dispatch_state m_state;
    random_source m_random;
    time_point m_now{1000s};
    effects m_effects;
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

void record_starts(bench_state & bench)
{
    for (attempt_start const & start : bench.m_effects.m_starts)
    {
        bench.m_running.push_back(start.m_attempt);
    }
    bench.m_effects = {};
}

bench_state make_bench_state(fleet_size const & size)
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
                        std::make_shared<config::fleet_configuration>(std::move(fleet)),
                        bench.m_now);
    set_owned_upstreams(bench.m_state, names);
    // Fills every slot and queues one more job for each tenant and kind.
    std::size_t const jobs =
        size.m_upstreams * 8 / tasks_per_job + size.m_tenants * kind_count;
    for (std::size_t job = 0; job < jobs; ++job)
    {
        submit_job(bench);
    }
    advance(bench.m_state, bench.m_now, bench.m_random, bench.m_effects);
    record_starts(bench);
    return bench;
}

/// Reports the result of a random running attempt and starts a queued task.
void run_decision(bench_state & bench)
{
    std::size_t const chosen = bench.m_random() % bench.m_running.size();
    std::swap(bench.m_running[chosen], bench.m_running.back());
    attempt_id const id = bench.m_running.back();
    bench.m_running.pop_back();
    bench.m_now += 10us;
    finish_attempt(bench.m_state, {id, attempt_outcome::succeeded, "", false},
                   bench.m_now, bench.m_random, bench.m_effects);
    advance(bench.m_state, bench.m_now, bench.m_random, bench.m_effects);
    record_starts(bench);
}

double measure_microseconds(bench_state & bench)
{
    auto const begin = std::chrono::steady_clock::now();
    for (std::size_t event = 0; event < measured_decisions; ++event)
    {
        run_decision(bench);
        if (event % tasks_per_job == 0)
        {
            submit_job(bench);
        }
    }
    auto const elapsed = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::micro>(elapsed).count() /
           measured_decisions;
}

/// \returns the minimum of several samples, because other load on the machine only adds
/// to them.
double minimum_microseconds(fleet_size const & size)
{
    bench_state bench = make_bench_state(size);
    double minimum = measure_microseconds(bench);
    for (std::size_t sample = 1; sample < samples; ++sample)
    {
        minimum = std::min(minimum, measure_microseconds(bench));
    }
    return minimum;
}

} // namespace

} // namespace cassiahub::dispatch

int main(int argc, char ** argv)
{
    using cassiahub::dispatch::fleet_size;
    std::vector<fleet_size> sizes = {{50, 1},    {50, 670},  {500, 1},
                                     {500, 670}, {7'400, 1}, {7'400, 670}};
    if (argc == 3)
    {
        // Measures a single size, so that perf stat can count its instructions.
        sizes = {{std::stoul(argv[1]), std::stoul(argv[2])}};
    }
    fmt::print("{:>10} {:>8} {:>18}\n", "upstreams", "tenants", "us per decision");
    for (fleet_size const & size : sizes)
    {
        fmt::print("{:>10} {:>8} {:>18.2f}\n", size.m_upstreams, size.m_tenants,
                   cassiahub::dispatch::minimum_microseconds(size));
    }
    return 0;
}
