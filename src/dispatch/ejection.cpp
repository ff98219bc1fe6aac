#include "dispatch/ejection.hpp"
#include "dispatch/upstreams.hpp"

#include <algorithm>

namespace cassiahub::dispatch::internal
{

namespace
{

/// Probes that must succeed in a row before an upstream is healthy again.
constexpr std::uint32_t probes_to_readmit = 3;
/// Weight of one result in the moving mean of the slowness.
constexpr double slowness_weight = 0.1;
/// Longest run time of one result, in means. Some tasks take 15 times the mean; without
/// the limit two of them close together eject a sound upstream.
constexpr double slowness_limit = 5;
/// Success rate of the other upstreams, above that of the judged one, in percent, from
/// which the cause is taken to be the upstream and not the work.
constexpr std::uint64_t peer_margin_percent = 25;
constexpr std::uint32_t cooling_doublings = 3;

config::dispatch_settings const & settings_of(dispatch_state const & state)
{
    return state.m_configuration->m_dispatch;
}

/// \returns the counts of the half that \p now belongs to.
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

result_counts sum_of(result_window const & window)
{
    return {window.m_halves[0].m_succeeded + window.m_halves[1].m_succeeded,
            window.m_halves[0].m_failed + window.m_halves[1].m_failed,
            window.m_halves[0].m_outlasting + window.m_halves[1].m_outlasting};
}

std::uint64_t success_percent(result_counts const & counts)
{
    std::uint64_t const total = counts.m_succeeded + counts.m_failed;
    return total == 0 ? 100 : 100 * std::uint64_t(counts.m_succeeded) / total;
}

/// Success of every owned upstream but one. Windows start at different times, so the
/// difference may come out negative; it then counts as zero.
std::uint64_t others_success_percent(dispatch_state const & state,
                                     result_counts const & own)
{
    result_counts const all = sum_of(state.m_all_results);
    return success_percent({all.m_succeeded - std::min(all.m_succeeded, own.m_succeeded),
                            all.m_failed - std::min(all.m_failed, own.m_failed)});
}

bool fails_alone(dispatch_state const & state, upstream_health const & health)
{
    result_counts const own = sum_of(health.m_window);
    config::dispatch_settings const & settings = settings_of(state);
    std::uint64_t const percent = success_percent(own);
    return own.m_succeeded + own.m_failed >= settings.m_ejection_min_results &&
           percent < settings.m_ejection_success_percent &&
           others_success_percent(state, own) >= percent + peer_margin_percent;
}

bool is_straggling(dispatch_state const & state, upstream_health const & health)
{
    result_counts const own = sum_of(health.m_window);
    config::dispatch_settings const & settings = settings_of(state);
    return own.m_succeeded + own.m_failed + own.m_outlasting >=
               settings.m_ejection_min_results &&
           health.m_slowness * 100 > settings.m_ejection_slow_percent;
}

bool below_cap(dispatch_state const & state)
{
    std::uint32_t const allowed =
        state.m_owned_count * settings_of(state).m_ejection_cap_percent / 100;
    return state.m_ejected_count < allowed;
}

void eject(dispatch_state & state, std::uint32_t id, duration cooling, time_point now)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    if (health.m_phase == health_phase::healthy)
    {
        ++state.m_ejected_count;
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
    --state.m_ejected_count;
}

duration cooling_of(dispatch_state const & state, upstream_health const & health)
{
    return settings_of(state).m_ejection_cooling *
           (1 << std::min(health.m_consecutive_ejections, cooling_doublings));
}

void judge_by_rate(dispatch_state & state, std::uint32_t id, time_point now)
{
    upstream_health const & health = state.m_upstreams[id].m_health;
    bool const bad = fails_alone(state, health) || is_straggling(state, health);
    if (health.m_phase == health_phase::healthy && bad && below_cap(state))
    {
        eject(state, id, cooling_of(state, health), now);
    }
}

/// One failed or slow probe ejects again; three good ones readmit.
void judge_probe(dispatch_state & state, std::uint32_t id, bool good, time_point now)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    if (health.m_phase != health_phase::probing)
    {
        return;
    }
    if (!good)
    {
        eject(state, id, cooling_of(state, health), now);
    }
    else if (++health.m_probe_successes >= probes_to_readmit)
    {
        readmit(state, id);
    }
}

void judge_by_breaker(dispatch_state & state, std::uint32_t id,
                      upstream_evidence const & evidence, time_point now)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    duration const open_time = settings_of(state).m_breaker_open_time;
    if (health.m_phase == health_phase::probing && evidence.m_probe)
    {
        evidence.m_succeeded ? readmit(state, id) : eject(state, id, open_time, now);
    }
    else if (health.m_phase == health_phase::healthy &&
             health.m_consecutive_failures >= settings_of(state).m_breaker_threshold)
    {
        eject(state, id, open_time, now);
    }
}

void add_evidence(dispatch_state & state, upstream_health & health,
                  upstream_evidence const & evidence, time_point now)
{
    duration const window = settings_of(state).m_ejection_window;
    add_result(health.m_window, evidence.m_succeeded, now, window);
    add_result(state.m_all_results, evidence.m_succeeded, now, window);
    health.m_consecutive_failures =
        evidence.m_succeeded ? 0 : health.m_consecutive_failures + 1;
    if (evidence.m_succeeded)
    {
        double const slowness = std::min(evidence.m_slowness, slowness_limit);
        health.m_slowness += slowness_weight * (slowness - health.m_slowness);
    }
}

} // namespace

void record_evidence(dispatch_state & state, std::uint32_t id,
                     upstream_evidence const & evidence, time_point now)
{
    if (!state.m_upstreams[id].m_owned)
    {
        return;
    }
    add_evidence(state, state.m_upstreams[id].m_health, evidence, now);
    switch (settings_of(state).m_ejection)
    {
    case config::ejection_policy::success_rate:
        if (evidence.m_probe)
        {
            double const slow = settings_of(state).m_ejection_slow_percent / 100.0;
            judge_probe(state, id, evidence.m_succeeded && evidence.m_slowness <= slow,
                        now);
        }
        else
        {
            judge_by_rate(state, id, now);
        }
        break;
    case config::ejection_policy::consecutive_failures:
        judge_by_breaker(state, id, evidence, now);
        break;
    case config::ejection_policy::none:
        break;
    }
    refresh_room(state, id);
}

void record_straggler(dispatch_state & state, std::uint32_t id, time_point now)
{
    upstream_state & upstream = state.m_upstreams[id];
    if (!upstream.m_owned)
    {
        return;
    }
    ++current_half(upstream.m_health.m_window, now, settings_of(state).m_ejection_window)
          .m_outlasting;
    upstream.m_health.m_slowness +=
        slowness_weight * (slowness_limit - upstream.m_health.m_slowness);
    if (settings_of(state).m_ejection == config::ejection_policy::success_rate)
    {
        judge_by_rate(state, id, now);
        refresh_room(state, id);
    }
}

void begin_probing(dispatch_state & state, std::uint32_t id)
{
    upstream_health & health = state.m_upstreams[id].m_health;
    if (health.m_phase == health_phase::ejected)
    {
        health.m_phase = health_phase::probing;
        refresh_room(state, id);
    }
}

} // namespace cassiahub::dispatch::internal
