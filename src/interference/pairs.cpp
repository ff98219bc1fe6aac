#include <cassiahub/interference/observer.hpp>

#include <algorithm>
#include <cmath>

namespace cassiahub::interference
{

namespace internal
{

/// Lower bound of the slowdown, as a logarithm, from which on a pair is kept apart: 1.15.
/// Less is not worth a worse fit.
constexpr double apart_bound = 0.14;
/// Estimated slowdown, as a logarithm, below which a pair is no longer kept apart: 1.08.
constexpr double together_mean = 0.08;
/// Weight of the evidence from which on a pair may be kept apart, and below which it is
/// no longer.
constexpr double apart_weight = 16;
constexpr double together_weight = 4;
/// Fewest contrasts for the same.
constexpr double apart_contrasts = 6;
/// Age of the last contrast up to which a pair may start to be kept apart.
constexpr duration apart_age = std::chrono::minutes(1);
/// Age of the last contrast after which a pair is tried together again. Tasks that are
/// kept apart give no evidence, so nothing else ends it when the effect is gone.
constexpr duration together_age = std::chrono::minutes(10);
/// Weight as which the assumption of no effect counts.
constexpr double assumed_weight = 8;
/// Largest slowdown that one neighbour and all neighbours are expected to cause, as
/// logarithms: 3 and 4.
constexpr double max_effect = 1.1;
constexpr double max_penalty = 1.4;
/// Slowdown, as a logarithm, that placement expects of a pair that an operator has
/// pinned.
constexpr float pinned_penalty = 0.7F;

void set_rule_one_way(interference_state & state, std::uint8_t kind,
                      std::uint8_t neighbour_kind, pair_rule rule)
{
    pair_state & pair = state.m_pairs[kind * state.m_kinds.size() + neighbour_kind];
    pair.m_rule = rule;
}

/// Sets m_total and m_last_at of every pair from the evidence of all instances.
void combine_evidence(interference_state & state, time_point now)
{
    for (pair_state & pair : state.m_pairs)
    {
        pair.m_total = pair.m_own;
        decay(pair.m_total, now - pair.m_own_at);
        pair.m_last_at = pair.m_own_at;
    }
    for (instance_evidence const & item : state.m_instances)
    {
        std::vector<std::uint8_t> kinds;
        for (std::string const & name : item.m_summary.m_kinds)
        {
            kinds.push_back(find_kind(state, name));
        }
        for (summary_pair const & entry : item.m_summary.m_pairs)
        {
            std::uint8_t const kind = kinds[entry.m_kind];
            std::uint8_t const other = kinds[entry.m_neighbour];
            if (kind == untracked_kind || other == untracked_kind)
            {
                continue;
            }
            pair_state & pair = state.m_pairs[kind * state.m_kinds.size() + other];
            pair_sums sums = entry.m_sums;
            decay(sums, now - item.m_received_at);
            add(pair.m_total, sums);
            pair.m_last_at = std::max(pair.m_last_at, item.m_received_at - entry.m_age);
        }
    }
}

bool is_kept_apart(pair_state const & pair, estimate const & effect, time_point now)
{
    if (pair.m_rule != pair_rule::learned)
    {
        return pair.m_rule == pair_rule::always_apart;
    }
    duration const age = now - pair.m_last_at;
    if (pair.m_apart)
    {
        return effect.m_mean >= together_mean && effect.m_weight >= together_weight &&
               age <= together_age;
    }
    return lower_bound(effect) >= apart_bound && effect.m_weight >= apart_weight &&
           pair.m_total.m_contrasts >= apart_contrasts && age <= apart_age;
}

float penalty_of(pair_state const & pair, estimate const & effect)
{
    if (!pair.m_apart)
    {
        return 0;
    }
    auto const learned =
        static_cast<float>(std::clamp(lower_bound(effect), together_mean, max_effect));
    return pair.m_rule == pair_rule::always_apart ? std::max(pinned_penalty, learned)
                                                  : learned;
}

} // namespace internal

void set_rule(interference_state & state, std::uint8_t left, std::uint8_t right,
              pair_rule rule)
{
    if (left < state.m_kinds.size() && right < state.m_kinds.size())
    {
        internal::set_rule_one_way(state, left, right, rule);
        internal::set_rule_one_way(state, right, left, rule);
    }
}

void clear_rules(interference_state & state)
{
    for (pair_state & pair : state.m_pairs)
    {
        pair.m_rule = pair_rule::learned;
    }
}

double expected_slowdown(interference_state const & state, std::uint8_t kind,
                         std::span<std::uint8_t const> neighbours) noexcept
{
    std::size_t const count = state.m_kinds.size();
    if (kind >= count)
    {
        return 1;
    }
    double sum = 0;
    std::uint64_t seen = 0;
    for (std::uint8_t const other : neighbours)
    {
        if (other < count && (seen >> other & 1) == 0)
        {
            seen |= std::uint64_t(1) << other;
            sum += double(state.m_pairs[kind * count + other].m_penalty);
        }
    }
    return sum == 0 ? 1 : std::exp(std::min(sum, internal::max_penalty));
}

double explained_slowdown(interference_state const & state,
                          finished_run const & run) noexcept
{
    std::size_t const count = state.m_kinds.size();
    double sum = 0;
    for (std::size_t index = 0; run.m_kind < count && index < run.m_neighbour_count;
         ++index)
    {
        neighbour const & item = run.m_neighbours[index];
        pair_state const & pair = state.m_pairs[run.m_kind * count + item.m_kind];
        // Effects that are not established could hide an upstream that is slow.
        if (pair.m_apart && pair.m_rule == pair_rule::learned)
        {
            sum += double(item.m_share * pair.m_effect);
        }
    }
    return sum <= 0 ? 1 : std::exp(std::min(sum, internal::max_penalty));
}

std::vector<pair_change> update_pairs(interference_state & state, time_point now)
{
    internal::combine_evidence(state, now);
    std::vector<pair_change> changes;
    std::size_t const count = state.m_kinds.size();
    for (std::size_t index = 0; index < state.m_pairs.size(); ++index)
    {
        pair_state & pair = state.m_pairs[index];
        estimate const effect = estimate_effect(pair.m_total);
        double const shrunk = effect.m_mean * effect.m_weight /
                              (effect.m_weight + internal::assumed_weight);
        pair.m_effect = static_cast<float>(std::clamp(shrunk, 0.0, internal::max_effect));
        if (bool const apart = internal::is_kept_apart(pair, effect, now);
            apart != pair.m_apart)
        {
            pair.m_apart = apart;
            changes.push_back({static_cast<std::uint8_t>(index / count),
                               static_cast<std::uint8_t>(index % count), apart,
                               std::exp(effect.m_mean), effect.m_weight,
                               now - pair.m_last_at});
        }
        pair.m_penalty = internal::penalty_of(pair, effect);
    }
    return changes;
}

std::size_t count_apart(interference_state const & state) noexcept
{
    return static_cast<std::size_t>(
        std::count_if(state.m_pairs.begin(), state.m_pairs.end(),
                      [](pair_state const & pair) { return pair.m_apart; }));
}

} // namespace cassiahub::interference
