#include "interference/contrasts.hpp"

#include <cassiahub/interference/observer.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cassiahub::interference
{

namespace internal
{

/// Largest deviation of the logarithm of a run time from the usual one that is taken into
/// account: a factor of 3. Some tasks last seven times as long as others.
constexpr double max_deviation = 1.1;
/// Smallest ratio that is told from 0.
constexpr double min_ratio = 1e-3;
/// Weight of one run in the usual level of its kind.
constexpr double level_weight = 0.02;
/// Time constant of the level of the whole instance: a busy gateway delays the results of
/// all upstreams for about that time.
constexpr double recent_seconds = 1;
/// Runs as which the assumption of no delay counts in the level of the instance.
constexpr double assumed_runs = 8;
/// Delay of all runs, as a logarithm, beyond which a run is no evidence: the delay
/// differs between kinds, and tasks wait beside each other while their results are
/// delayed.
constexpr double max_common_delay = 0.15;

/// \returns the delay that runs of all kinds and upstreams of the instance have now, as a
/// logarithm, and adds the run with the log ratio \p value.
double replace_common_delay(interference_state & state, std::uint8_t kind, double value,
                            time_point now)
{
    double const passed = std::chrono::duration<double>(now - state.m_recent_at).count();
    double const factor = std::exp(-std::max(passed, 0.0) / recent_seconds);
    state.m_recent_at = now;
    state.m_recent_sum *= factor;
    state.m_recent_count *= factor;
    double const delay = state.m_recent_sum / (state.m_recent_count + assumed_runs);
    float & usual = state.m_usual_level[kind];
    double const deviation = std::clamp(value - usual, -max_deviation, max_deviation);
    usual += static_cast<float>(level_weight * deviation);
    state.m_recent_sum += deviation;
    state.m_recent_count += 1;
    return delay;
}

} // namespace internal

std::uint8_t find_kind(interference_state const & state, std::string_view name) noexcept
{
    auto const found = std::find(state.m_kinds.begin(), state.m_kinds.end(), name);
    return found == state.m_kinds.end()
               ? untracked_kind
               : static_cast<std::uint8_t>(found - state.m_kinds.begin());
}

std::uint8_t track_kind(interference_state & state, std::string_view name)
{
    std::uint8_t const known = find_kind(state, name);
    std::size_t const count = state.m_kinds.size();
    if (known != untracked_kind || count == max_kinds)
    {
        return known;
    }
    std::vector<pair_state> pairs((count + 1) * (count + 1));
    for (std::size_t kind = 0; kind < count; ++kind)
    {
        std::copy_n(state.m_pairs.begin() + std::ptrdiff_t(kind * count), count,
                    pairs.begin() + std::ptrdiff_t(kind * (count + 1)));
    }
    state.m_pairs = std::move(pairs);
    state.m_kinds.emplace_back(name);
    state.m_usual_level.push_back(0);
    return static_cast<std::uint8_t>(count);
}

void observe(interference_state & state, finished_run const & run, time_point now)
{
    if (run.m_kind >= state.m_kinds.size() || run.m_upstream >= max_upstreams)
    {
        ++state.m_counters.m_ignored;
        return;
    }
    double const value = std::log(std::max(run.m_ratio, internal::min_ratio));
    double const delay = internal::replace_common_delay(state, run.m_kind, value, now);
    if (run.m_unusable || std::abs(delay) > internal::max_common_delay)
    {
        ++state.m_counters.m_unusable;
        return;
    }
    ++state.m_counters.m_observed;
    if (run.m_upstream >= state.m_blocks.size())
    {
        state.m_blocks.resize(run.m_upstream + 1);
    }
    run_block & block = state.m_blocks[run.m_upstream];
    if (!block.m_runs.empty() && (block.m_runs.size() == max_block_runs ||
                                  now - block.m_started >= max_block_time))
    {
        internal::add_contrasts(state, block.m_runs, now);
        block.m_runs.clear();
    }
    if (block.m_runs.empty())
    {
        block.m_started = now;
    }
    block.m_runs.push_back(run);
    block.m_runs.back().m_ratio = value - delay;
}

void forget_upstream(interference_state & state, std::uint32_t upstream)
{
    if (upstream < state.m_blocks.size())
    {
        state.m_blocks[upstream].m_runs.clear();
    }
}

} // namespace cassiahub::interference
