#include <cassiahub/load/load_arrivals.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace cassiahub::load
{

namespace internal
{

namespace
{

template <typename Value>
Value const & draw_weighted(std::vector<weighted<Value>> const & choices,
                            random_source & random)
{
    double total = 0;
    for (weighted<Value> const & choice : choices)
    {
        total += choice.m_weight;
    }
    double remaining = std::uniform_real_distribution<double>(0, total)(random);
    for (weighted<Value> const & choice : choices)
    {
        remaining -= choice.m_weight;
        if (remaining < 0)
        {
            return choice.m_value;
        }
    }
    return choices.back().m_value;
}

duration draw_run_time(run_time_range const & range, random_source & random)
{
    double const low = std::log(std::max<double>(1, range.m_low.count()));
    double const high = std::log(std::max<double>(1, range.m_high.count()));
    double const drawn =
        high > low ? std::uniform_real_distribution<double>(low, high)(random) : low;
    // Rounded because the payload states the run time in whole milliseconds.
    return std::chrono::milliseconds(std::llround(std::exp(drawn) / 1e6));
}

double peak_rate(load_plan const & plan, std::uint32_t kind)
{
    double peak = plan.m_kinds[kind].m_rate;
    for (flood const & item : plan.m_floods)
    {
        peak = std::max(peak, rate_at(plan, kind, item.m_start));
    }
    return peak;
}

/// Draws the next arrival of a kind from a Poisson process with a rate that varies over
/// time: arrivals at the peak rate are thinned to the current rate.
void draw_next_arrival(load_plan const & plan, arrival_state & state, std::uint32_t kind)
{
    random_source & random = state.m_random_sources[kind];
    double const peak = peak_rate(plan, kind);
    std::exponential_distribution<double> interarrival_time(peak);
    std::uniform_real_distribution<double> uniform(0, peak);
    duration & next = state.m_next_arrivals[kind];
    do
    {
        next += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(interarrival_time(random)));
    } while (next < plan.m_length && uniform(random) >= rate_at(plan, kind, next));
}

arrival make_arrival(load_plan const & plan, arrival_state & state, std::uint32_t kind)
{
    kind_load const & kind_plan = plan.m_kinds[kind];
    random_source & random = state.m_random_sources[kind];
    arrival result;
    result.m_at = state.m_next_arrivals[kind];
    result.m_kind = kind;
    result.m_job.m_key = {draw_weighted(kind_plan.m_tenants, random),
                          {},
                          fmt::format("{}-{}", state.m_run_id, ++state.m_last_serial)};
    result.m_job.m_kind = kind_plan.m_name;
    result.m_job.m_time_limit = kind_plan.m_deadline;
    std::uint32_t const count = draw_weighted(kind_plan.m_task_counts, random);
    for (std::uint32_t index = 0; index < count; ++index)
    {
        duration const run_time =
            draw_run_time(draw_weighted(kind_plan.m_run_times, random), random);
        result.m_longest_run_time = std::max(result.m_longest_run_time, run_time);
        task_spec & task = result.m_job.m_tasks.emplace_back();
        task.m_payload = fmt::format("run_ms={} {}.{}", to_milliseconds(run_time),
                                     result.m_job.m_key.m_key, index);
        task.m_demand = {500, 256, 0};
        task.m_declared_run_time = run_time;
    }
    result.m_target = static_cast<std::uint32_t>(
        std::uniform_int_distribution<std::size_t>(0, plan.m_targets.size() - 1)(random));
    result.m_has_resubmission =
        std::uniform_real_distribution<double>(0, 100)(random) < plan.m_resubmit_percent;
    return result;
}

bool is_later(arrival const & left, arrival const & right)
{
    return left.m_at > right.m_at;
}

void schedule_resubmission(load_plan const & plan, arrival_state & state,
                           arrival const & first)
{
    arrival second = first;
    second.m_resubmission = true;
    second.m_at += plan.m_resubmit_delay;
    second.m_target =
        static_cast<std::uint32_t>((first.m_target + 1) % plan.m_targets.size());
    state.m_resubmissions.push_back(std::move(second));
    std::push_heap(state.m_resubmissions.begin(), state.m_resubmissions.end(), is_later);
}

} // namespace

} // namespace internal

arrival_state make_arrival_state(load_plan const & plan, std::string run_id)
{
    arrival_state state;
    state.m_run_id = std::move(run_id);
    state.m_next_arrivals.resize(plan.m_kinds.size(), duration::zero());
    for (std::uint32_t kind = 0; kind < plan.m_kinds.size(); ++kind)
    {
        // Each kind has its own random sequence, so that a flood of one kind does not
        // change the jobs of the others.
        std::seed_seq seed{static_cast<std::uint32_t>(plan.m_seed),
                           static_cast<std::uint32_t>(plan.m_seed >> 32), kind};
        state.m_random_sources.emplace_back(seed);
        internal::draw_next_arrival(plan, state, kind);
    }
    return state;
}

std::optional<arrival> next_arrival(load_plan const & plan, arrival_state & state)
{
    auto const earliest =
        std::min_element(state.m_next_arrivals.begin(), state.m_next_arrivals.end());
    if (!state.m_resubmissions.empty() &&
        (state.m_resubmissions.front().m_at <= *earliest || *earliest >= plan.m_length))
    {
        std::pop_heap(state.m_resubmissions.begin(), state.m_resubmissions.end(),
                      internal::is_later);
        arrival repeated = std::move(state.m_resubmissions.back());
        state.m_resubmissions.pop_back();
        return repeated;
    }
    if (*earliest >= plan.m_length)
    {
        return std::nullopt;
    }
    auto const kind =
        static_cast<std::uint32_t>(earliest - state.m_next_arrivals.begin());
    arrival result = internal::make_arrival(plan, state, kind);
    internal::draw_next_arrival(plan, state, kind);
    if (result.m_has_resubmission)
    {
        internal::schedule_resubmission(plan, state, result);
    }
    return result;
}

double rate_at(load_plan const & plan, std::uint32_t kind, duration at)
{
    kind_load const & kind_plan = plan.m_kinds[kind];
    double rate = kind_plan.m_rate;
    for (flood const & item : plan.m_floods)
    {
        if (item.m_kind == kind_plan.m_name && at >= item.m_start &&
            at < item.m_start + item.m_length)
        {
            rate *= item.m_factor;
        }
    }
    return rate;
}

std::string expected_result(job_spec const & job, std::size_t index)
{
    return fmt::format("{}/{}:{}", job.m_key.m_key, index, job.m_tasks[index].m_payload);
}

} // namespace cassiahub::load
