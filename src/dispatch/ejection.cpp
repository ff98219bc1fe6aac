#include "dispatch/ejection.hpp"
#include "dispatch/upstreams.hpp"

#include <algorithm>

namespace cassiahub::dispatch::internal
{

namespace
{

/// Consecutive successful probes after which an upstream is readmitted.
constexpr std::uint32_t probes_to_readmit = 3;
/// Weight of one result in the exponential moving average of the slowness.
constexpr double slowness_weight = 0.1;
/// Largest slowness that one result contributes. Some tasks take 15 times the mean;
/// without the limit two of them in short order eject a healthy upstream.
constexpr double slowness_limit = 5;
/// Percentage points by which the success rate of the other upstreams must exceed that
/// of an upstream before its failures are attributed to the upstream and not to the
/// tasks.
constexpr std::uint64_t outlier_margin_percent = 25;
/// Limit of the exponential growth of the cooling period: 2^3 times the setting.
constexpr std::uint32_t max_cooling_doublings = 3;

config::dispatch_settings const & settings_of(dispatch_state const & state)
{
    return state.m_configuration->m_dispatch;
}

/// \returns the counts of the half window that contains \p now; starts a new half when
/// the current one is over.
result_counts & current_half(result_window & window, time_point now, duration length)
{
    if (now - window.m_half_start >= length / 2)
    {
        bool const adjacent = now - window.m_half_start < length;
        window.m_halves[1] = adjacent ? window.m_halves[0] : result_counts{};
        window.m_halves[0] = {};
        window.m_half_start = now;
    }
    return window.m_halves[0];
}

void add_result(result_window & window, bool succeeded, time_point now, duration length)
{
    result_counts & counts = current_half(window, now, length);
    ++(succeeded ? counts.m_succeeded : counts.m_failed);
}

result_counts total_counts(result_window const & window)
{
    return {window.m_halves[0].m_succeeded + window.m_halves[1].m_succeeded,
            window.m_halves[0].m_failed + window.m_halves[1].m_failed,
            window.m_halves[0].m_stragglers + window.m_halves[1].m_stragglers};
}

std::uint64_t success_percent(result_counts const & counts)
{
    std::uint64_t const total = counts.m_succeeded + counts.m_failed;
    return total == 0 ? 100 : 100 * std::uint64_t(counts.m_succeeded) / total;
}

/// \returns the success rate, in percent, of all owned upstreams of a service except the
/// one with the counts \p own. The windows start at different times, so \p own may exceed
/// the total; the difference is then clamped to zero.
std::uint64_t others_success_percent(service_pool const & pool, result_counts const & own)
{
    result_counts const all = total_counts(pool.m_all_results);
    return success_percent({all.m_succeeded - std::min(all.m_succeeded, own.m_succeeded),
                            all.m_failed - std::min(all.m_failed, own.m_failed)});
}

bool is_failure_outlier(dispatch_state const & state, upstream_state const & upstream)
{
    result_counts const own = total_counts(upstream.m_health.m_window);
    config::dispatch_settings const & settings = settings_of(state);
    std::uint64_t const percent = success_percent(own);
    return own.m_succeeded + own.m_failed >= settings.m_ejection_min_results &&
           percent < settings.m_ejection_success_percent &&
           others_success_percent(state.m_pools[upstream.m_pool], own) >=
               percent + outlier_margin_percent;
}

bool is_slow(dispatch_state const & state, upstream_health const & health)
{
    result_counts const own = total_counts(health.m_window);
    config::dispatch_settings const & settings = settings_of(state);
    return own.m_succeeded + own.m_failed + own.m_stragglers >=
               settings.m_ejection_min_results &&
           health.m_slowness * 100 > settings.m_ejection_slow_percent;
}

bool is_below_ejection_cap(dispatch_state const & state, service_pool const & pool)
{
    std::uint32_t const allowed =
        pool.m_owned_count * settings_of(state).m_ejection_cap_percent / 100;
    return pool.m_ejected_count < allowed;
}

void eject(dispatch_state & state, std::uint32_t id, duration cooling, time_point now)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    if (health.m_phase == health_phase::healthy &&
        !state.m_upstreams[id].m_domain_drained)
    {
        ++state.m_pools[state.m_upstreams[id].m_pool].m_ejected_count;
    }
    health.m_phase = health_phase::ejected;
    health.m_probe_at = now + cooling;
    health.m_probe_successes = 0;
    ++health.m_consecutive_ejections;
    ++state.m_counters.m_ejections;
    state.m_timers.insert({health.m_probe_at, timer_kind::upstream_probe, {0, id}});
}

void readmit(dispatch_state & state, std::uint32_t id)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    health = {};
    if (!state.m_upstreams[id].m_domain_drained)
    {
        --state.m_pools[state.m_upstreams[id].m_pool].m_ejected_count;
    }
}

duration cooling_period(dispatch_state const & state, upstream_health const & health)
{
    return settings_of(state).m_ejection_cooling *
           (1 << std::min(health.m_consecutive_ejections, max_cooling_doublings));
}

void eject_if_outlier(dispatch_state & state, std::uint32_t id, time_point now)
{
    upstream_state const & upstream = state.m_upstreams[id];
    upstream_health const & health = upstream.m_health;
    bool const is_outlier = is_failure_outlier(state, upstream) || is_slow(state, health);
    if (health.m_phase == health_phase::healthy && is_outlier &&
        is_below_ejection_cap(state, state.m_pools[upstream.m_pool]))
    {
        eject(state, id, cooling_period(state, health), now);
    }
}

/// A failed or slow probe ejects the upstream again; probes_to_readmit successful ones
/// readmit it.
void apply_probe_result(dispatch_state & state, std::uint32_t id, bool passed,
                        time_point now)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    if (health.m_phase != health_phase::probing)
    {
        return;
    }
    if (!passed)
    {
        eject(state, id, cooling_period(state, health), now);
    }
    else if (++health.m_probe_successes >= probes_to_readmit)
    {
        readmit(state, id);
    }
}

void apply_circuit_breaker(dispatch_state & state, std::uint32_t id,
                           upstream_observation const & observation, time_point now)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    duration const open_time = settings_of(state).m_breaker_open_time;
    if (health.m_phase == health_phase::probing && observation.m_probe)
    {
        observation.m_succeeded ? readmit(state, id) : eject(state, id, open_time, now);
    }
    else if (health.m_phase == health_phase::healthy &&
             health.m_consecutive_failures >= settings_of(state).m_breaker_threshold)
    {
        eject(state, id, open_time, now);
    }
}

void update_statistics(dispatch_state & state, upstream_state & upstream,
                       upstream_observation const & observation, time_point now)
{
    upstream_health & health = upstream.m_health;
    duration const window = settings_of(state).m_ejection_window;
    add_result(health.m_window, observation.m_succeeded, now, window);
    add_result(state.m_pools[upstream.m_pool].m_all_results, observation.m_succeeded, now,
               window);
    health.m_consecutive_failures =
        observation.m_succeeded ? 0 : health.m_consecutive_failures + 1;
    if (observation.m_succeeded)
    {
        double const slowness = std::min(observation.m_slowness, slowness_limit);
        health.m_slowness += slowness_weight * (slowness - health.m_slowness);
    }
}

} // namespace

void record_observation(dispatch_state & state, std::uint32_t id,
                        upstream_observation const & observation, time_point now)
{
    if (!state.m_upstreams[id].m_owned)
    {
        return;
    }
    update_statistics(state, state.m_upstreams[id], observation, now);
    switch (settings_of(state).m_ejection)
    {
    case config::ejection_policy::success_rate:
        if (observation.m_probe)
        {
            double const slow = settings_of(state).m_ejection_slow_percent / 100.0;
            apply_probe_result(state, id,
                               observation.m_succeeded && observation.m_slowness <= slow,
                               now);
        }
        else
        {
            eject_if_outlier(state, id, now);
        }
        break;
    case config::ejection_policy::consecutive_failures:
        apply_circuit_breaker(state, id, observation, now);
        break;
    case config::ejection_policy::none:
        break;
    }
    update_offered_capacity(state, id);
}

void record_straggler(dispatch_state & state, std::uint32_t id, time_point now)
{
    upstream_state & upstream = state.m_upstreams[id];
    if (!upstream.m_owned)
    {
        return;
    }
    ++current_half(upstream.m_health.m_window, now, settings_of(state).m_ejection_window)
          .m_stragglers;
    upstream.m_health.m_slowness +=
        slowness_weight * (slowness_limit - upstream.m_health.m_slowness);
    if (settings_of(state).m_ejection == config::ejection_policy::success_rate)
    {
        eject_if_outlier(state, id, now);
        update_offered_capacity(state, id);
    }
}

void begin_probing(dispatch_state & state, std::uint32_t id)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    if (health.m_phase == health_phase::ejected)
    {
        health.m_phase = health_phase::probing;
        update_offered_capacity(state, id);
    }
}

} // namespace cassiahub::dispatch::internal
