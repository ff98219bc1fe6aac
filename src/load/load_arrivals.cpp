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
Value const & choose(std::vector<weighted<Value>> const & choices, random_source & random)
{
    double total = 0;
    for (weighted<Value> const & choice : choices)
    {
        total += choice.m_weight;
    }
    double left = std::uniform_real_distribution<double>(0, total)(random);
    for (weighted<Value> const & choice : choices)
    {
        left -= choice.m_weight;
        if (left < 0)
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
    // Whole milliseconds, as the payload gives them to the upstream stand-in.
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

/// Moves a kind to its next arrival: a Poisson process of the peak rate, thinned to the
/// rate of the moment.
void draw_next(load_plan const & plan, arrival_state & state, std::uint32_t kind)
{
    random_source & random = state.m_random[kind];
    double const peak = peak_rate(plan, kind);
    std::exponential_distribution<double> gap(peak);
    std::uniform_real_distribution<double> even(0, peak);
    duration & next = state.m_next[kind];
    do
    {
        next += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(random)));
    } while (next < plan.m_length && even(random) >= rate_at(plan, kind, next));
}

arrival make_arrival(load_plan const & plan, arrival_state & state, std::uint32_t kind)
{
    kind_load const & source = plan.m_kinds[kind];
    random_source & random = state.m_random[kind];
    arrival made;
    made.m_at = state.m_next[kind];
    made.m_kind = kind;
    made.m_job.m_key = {choose(source.m_tenants, random),
                        {},
                        fmt::format("{}-{}", state.m_run, ++state.m_serial)};
    made.m_job.m_kind = source.m_name;
    made.m_job.m_time_limit = source.m_deadline;
    std::uint32_t const count = choose(source.m_task_counts, random);
    for (std::uint32_t index = 0; index < count; ++index)
    {
        duration const run_time =
            draw_run_time(choose(source.m_run_times, random), random);
        made.m_longest_task = std::max(made.m_longest_task, run_time);
        task_spec & task = made.m_job.m_tasks.emplace_back();
        task.m_payload = fmt::format("run_ms={} {}.{}", to_milliseconds(run_time),
                                     made.m_job.m_key.m_key, index);
        task.m_demand = {500, 256, 0};
        task.m_declared_run_time = run_time;
    }
    made.m_target = static_cast<std::uint32_t>(
        std::uniform_int_distribution<std::size_t>(0, plan.m_targets.size() - 1)(random));
    made.m_resubmitted =
        std::uniform_real_distribution<double>(0, 100)(random) < plan.m_resubmit_percent;
    return made;
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

arrival_state start_arrivals(load_plan const & plan, std::string run)
{
    arrival_state state;
    state.m_run = std::move(run);
    state.m_next.resize(plan.m_kinds.size(), duration::zero());
    for (std::uint32_t kind = 0; kind < plan.m_kinds.size(); ++kind)
    {
        // One stream for each kind: a flood of one leaves the others' jobs as they are.
        std::seed_seq seed{static_cast<std::uint32_t>(plan.m_seed),
                           static_cast<std::uint32_t>(plan.m_seed >> 32), kind};
        state.m_random.emplace_back(seed);
        internal::draw_next(plan, state, kind);
    }
    return state;
}

std::optional<arrival> next_arrival(load_plan const & plan, arrival_state & state)
{
    auto const earliest = std::min_element(state.m_next.begin(), state.m_next.end());
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
    auto const kind = static_cast<std::uint32_t>(earliest - state.m_next.begin());
    arrival made = internal::make_arrival(plan, state, kind);
    internal::draw_next(plan, state, kind);
    if (made.m_resubmitted)
    {
        internal::schedule_resubmission(plan, state, made);
    }
    return made;
}

double rate_at(load_plan const & plan, std::uint32_t kind, duration at)
{
    kind_load const & source = plan.m_kinds[kind];
    double rate = source.m_rate;
    for (flood const & item : plan.m_floods)
    {
        if (item.m_kind == source.m_name && at >= item.m_start &&
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
