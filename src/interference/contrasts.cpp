#include "interference/contrasts.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace cassiahub::interference::internal
{

namespace
{

/// Largest deviation from the median of the runs that are compared: a factor of 3, see
/// max_deviation in observe.cpp. The median is that of the same upstream, so the
/// upstream's speed does not matter.
constexpr double max_deviation = 1.1;
/// Least variation of the early share, as a sum of squares, that makes a contrast.
constexpr double min_variation = 0.05;
/// Largest sum of weights of one pair. Limits how long old evidence outweighs new.
constexpr float max_weight = 150;

/// \returns what is known about the neighbours of \p kind beside \p run.
neighbour neighbour_of(finished_run const & run, std::uint8_t kind)
{
    for (std::size_t index = 0; index < run.m_neighbour_count; ++index)
    {
        if (run.m_neighbours[index].m_kind == kind)
        {
            return run.m_neighbours[index];
        }
    }
    return {kind, 0, 0};
}

/// Sums for the covariances of the early share with the other quantities.
struct covariance_sums
{
    double m_runs = 0;
    double m_early = 0;
    double m_share = 0;
    double m_value = 0;
    double m_early_early = 0;
    double m_early_share = 0;
    double m_early_value = 0;
};

void add_run(covariance_sums & sums, neighbour const & beside, double value)
{
    double const early = beside.m_early_share;
    sums.m_runs += 1;
    sums.m_early += early;
    sums.m_share += beside.m_share;
    sums.m_value += value;
    sums.m_early_early += early * early;
    sums.m_early_share += early * beside.m_share;
    sums.m_early_value += early * value;
}

/// Limits the weight of the evidence to max_weight.
void limit_weight(pair_sums & sums)
{
    if (float const excess = sums.m_weight / max_weight; excess > 1)
    {
        sums = {sums.m_weight / excess, sums.m_exposure / excess, sums.m_effect / excess,
                sums.m_square / excess, sums.m_contrasts / excess};
    }
}

/// \returns the part of the log run time that the neighbours other than \p except
/// explain.
double effect_of_others(interference_state const & state, finished_run const & run,
                        std::uint8_t except)
{
    double sum = 0;
    for (std::size_t index = 0; index < run.m_neighbour_count; ++index)
    {
        neighbour const & item = run.m_neighbours[index];
        if (item.m_kind != except)
        {
            sum +=
                item.m_share *
                state.m_pairs[run.m_kind * state.m_kinds.size() + item.m_kind].m_effect;
        }
    }
    return sum;
}

/// Limits the log run times of \p runs, all of one kind, to max_deviation around the
/// median.
void clamp_to_median(std::span<finished_run> runs)
{
    std::array<double, max_block_runs> values{};
    std::transform(runs.begin(), runs.end(), values.begin(),
                   [](finished_run const & run) { return run.m_ratio; });
    auto const middle = values.begin() + std::ptrdiff_t(runs.size() / 2);
    std::nth_element(values.begin(), middle,
                     values.begin() + std::ptrdiff_t(runs.size()));
    for (finished_run & run : runs)
    {
        run.m_ratio =
            std::clamp(run.m_ratio, *middle - max_deviation, *middle + max_deviation);
    }
}

/// Adds the sums over the upstreams to the evidence as one contrast.
void close_contrast(interference_state & state, pair_state & pair, time_point now)
{
    pair_sums & sums = pair.m_open;
    if (sums.m_weight > 0)
    {
        sums.m_square = sums.m_effect * sums.m_effect / sums.m_weight;
        sums.m_contrasts = 1;
        decay(pair.m_own, now - pair.m_own_at);
        add(pair.m_own, sums);
        limit_weight(pair.m_own);
        pair.m_own_at = now;
        ++state.m_counters.m_contrasts;
    }
    sums = {};
    pair.m_open_since = now;
}

/// Relates the log run times of \p runs, all of one kind, to the presence of neighbours
/// of \p neighbour_kind.
void add_contrast(interference_state & state, std::span<finished_run const> runs,
                  std::uint8_t neighbour_kind, time_point now)
{
    pair_state & pair =
        state.m_pairs[runs.front().m_kind * state.m_kinds.size() + neighbour_kind];
    covariance_sums sums;
    for (finished_run const & run : runs)
    {
        if (!run.m_beside_own_job || neighbour_kind != run.m_kind)
        {
            add_run(sums, neighbour_of(run, neighbour_kind),
                    run.m_ratio - effect_of_others(state, run, neighbour_kind));
        }
    }
    double const mean = sums.m_early / std::max(sums.m_runs, 1.0);
    double const weight = sums.m_early_early - mean * sums.m_early;
    if (weight < min_variation)
    {
        return;
    }
    double const exposure = sums.m_early_share - mean * sums.m_share;
    double const effect = sums.m_early_value - mean * sums.m_value;
    if (now - pair.m_open_since >= contrast_time)
    {
        close_contrast(state, pair, now);
    }
    add(pair.m_open, {static_cast<float>(weight), static_cast<float>(exposure),
                      static_cast<float>(effect), 0, 0});
}

/// Compares \p runs, all of one kind, for each neighbour that was early beside some of
/// them.
void compare_runs(interference_state & state, std::span<finished_run> runs,
                  time_point now)
{
    clamp_to_median(runs);
    std::uint64_t seen = 0;
    static_assert(max_kinds <= 64);
    for (finished_run const & run : runs)
    {
        for (std::size_t index = 0; index < run.m_neighbour_count; ++index)
        {
            neighbour const & item = run.m_neighbours[index];
            std::uint64_t const bit = std::uint64_t(1) << item.m_kind;
            if (item.m_early_share > 0 && (seen & bit) == 0)
            {
                seen |= bit;
                add_contrast(state, runs, item.m_kind, now);
            }
        }
    }
}

} // namespace

void add_contrasts(interference_state & state, std::span<finished_run> runs,
                   time_point now)
{
    std::sort(runs.begin(), runs.end(),
              [](finished_run const & left, finished_run const & right)
              { return left.m_kind < right.m_kind; });
    while (!runs.empty())
    {
        auto const end = std::find_if(runs.begin(), runs.end(),
                                      [&](finished_run const & run)
                                      { return run.m_kind != runs.front().m_kind; });
        auto const count = static_cast<std::size_t>(end - runs.begin());
        compare_runs(state, runs.first(count), now);
        runs = runs.subspan(count);
    }
}

} // namespace cassiahub::interference::internal
