#include "dispatch/neighbours.hpp"

#include <cassiahub/interference/observer.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <span>
#include <string>

namespace cassiahub::dispatch::internal
{

namespace
{

using config::interference_mode;

/// Time between two decisions about pairs; contrasts take 5 s.
constexpr duration pair_update_period = std::chrono::seconds(1);
/// Weight of one run in the moving average of run time over declared run time.
constexpr double declared_weight = 0.05;
/// Range of that ratio that one run contributes.
constexpr double min_declared_ratio = 0.1;
constexpr double max_declared_ratio = 10;

interference_mode mode_of(dispatch_state const & state)
{
    return state.m_configuration->m_dispatch.m_interference.m_mode;
}

std::uint64_t run_number(attempt_id const & id)
{
    return std::hash<attempt_id>()(id);
}

/// \returns the run time of \p attempt, in seconds, that its kind and its declared run
/// time lead to expect on an upstream of usual speed.
double expected_seconds(kind_state const & kind, running_attempt const & attempt)
{
    if (attempt.m_declared_run_time > duration::zero())
    {
        return kind.m_declared_ratio *
               std::chrono::duration<double>(attempt.m_declared_run_time).count();
    }
    return mean_seconds(kind.m_run_time, kind.m_definition.m_expected_run_time);
}

void observe_declared(kind_state & kind, running_attempt const & attempt, double seconds)
{
    if (attempt.m_declared_run_time > duration::zero())
    {
        double const ratio =
            seconds / std::chrono::duration<double>(attempt.m_declared_run_time).count();
        kind.m_declared_ratio +=
            declared_weight * (std::clamp(ratio, min_declared_ratio, max_declared_ratio) -
                               kind.m_declared_ratio);
    }
}

void set_rules(dispatch_state & state, std::span<config::kind_pair const> pairs,
               interference::pair_rule rule)
{
    interference::interference_state & tracked = state.m_interference;
    for (config::kind_pair const & pair : pairs)
    {
        interference::set_rule(tracked, interference::find_kind(tracked, pair.m_left),
                               interference::find_kind(tracked, pair.m_right), rule);
    }
}

} // namespace

void configure_interference(dispatch_state & state)
{
    config::interference_settings const & settings =
        state.m_configuration->m_dispatch.m_interference;
    if (settings.m_mode == interference_mode::off)
    {
        state.m_interference = {};
        state.m_pairs_apart = 0;
        return;
    }
    state.m_interference.m_incarnation = state.m_incarnation;
    for (kind_state & kind : state.m_kinds)
    {
        kind.m_tracked =
            interference::track_kind(state.m_interference, kind.m_definition.m_name);
    }
    interference::clear_rules(state.m_interference);
    set_rules(state, settings.m_keep_apart, interference::pair_rule::always_apart);
    set_rules(state, settings.m_never_apart, interference::pair_rule::never_separated);
}

void begin_run(dispatch_state & state, attempt_id const & id,
               running_attempt const & attempt)
{
    if (mode_of(state) == interference_mode::off)
    {
        return;
    }
    kind_state const & kind = state.m_kinds[attempt.m_kind];
    interference::resident run;
    run.m_run = run_number(id);
    run.m_job = std::hash<std::string>()(attempt.m_task.m_job);
    run.m_expected = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(expected_seconds(kind, attempt)));
    run.m_record.m_kind = kind.m_tracked;
    run.m_record.m_upstream = attempt.m_upstream;
    interference::enter(state.m_upstreams[attempt.m_upstream].m_occupants, run,
                        attempt.m_started);
}

double end_run(dispatch_state & state, attempt_id const & id,
               running_attempt const & attempt, bool succeeded, time_point now)
{
    kind_state & kind = state.m_kinds[attempt.m_kind];
    double const seconds = std::chrono::duration<double>(now - attempt.m_started).count();
    double const expected = std::max(expected_seconds(kind, attempt), 0.001);
    interference::finished_run const run =
        interference::leave(state.m_upstreams[attempt.m_upstream].m_occupants,
                            run_number(id), seconds / expected, now);
    if (!succeeded || mode_of(state) == interference_mode::off)
    {
        return 1;
    }
    observe_declared(kind, attempt, seconds);
    interference::observe(state.m_interference, run, now);
    return mode_of(state) == interference_mode::avoid
               ? interference::explained_slowdown(state.m_interference, run)
               : 1;
}

double sharing_penalty(dispatch_state const & state, std::uint32_t kind,
                       upstream_state const & upstream)
{
    if (state.m_pairs_apart == 0 || mode_of(state) != interference_mode::avoid)
    {
        return 1;
    }
    std::uint8_t const own = state.m_kinds[kind].m_tracked;
    std::array<std::uint8_t, interference::max_residents> there{};
    std::size_t count = 0;
    double caused = 1;
    for (interference::resident const & run : upstream.m_occupants.m_residents)
    {
        std::uint8_t const other = run.m_record.m_kind;
        there[count++] = other;
        caused = std::max(caused, interference::expected_slowdown(state.m_interference,
                                                                  other, {&own, 1}));
    }
    return caused * interference::expected_slowdown(state.m_interference, own,
                                                    {there.data(), count});
}

void update_kept_apart(dispatch_state & state, time_point now, effects & out)
{
    if (mode_of(state) == interference_mode::off || now < state.m_next_pair_update)
    {
        return;
    }
    state.m_next_pair_update = now + pair_update_period;
    interference::interference_state & tracked = state.m_interference;
    for (interference::pair_change const & change :
         interference::update_pairs(tracked, now))
    {
        out.m_pair_changes.push_back({tracked.m_kinds[change.m_kind],
                                      tracked.m_kinds[change.m_neighbour], change});
    }
    state.m_pairs_apart = interference::count_apart(tracked);
}

} // namespace cassiahub::dispatch::internal
