#include <cassiahub/interference/observer.hpp>

#include <algorithm>
#include <array>

namespace cassiahub::interference
{

namespace internal
{

/// Least weight of a pair in a summary.
constexpr float min_summary_weight = 0.5F;
/// Time after which the evidence of an instance has decayed to less than a hundredth.
constexpr duration instance_memory = 7 * evidence_half_life;

/// Replaces the numbers of kinds in the pairs by indexes of names in the summary.
void name_kinds(interference_state const & state, summary & result)
{
    std::array<std::uint8_t, max_kinds> indexes{};
    indexes.fill(untracked_kind);
    auto const index_of = [&](std::uint8_t kind)
    {
        if (indexes[kind] == untracked_kind)
        {
            indexes[kind] = static_cast<std::uint8_t>(result.m_kinds.size());
            result.m_kinds.push_back(state.m_kinds[kind]);
        }
        return indexes[kind];
    };
    for (summary_pair & entry : result.m_pairs)
    {
        entry.m_kind = index_of(entry.m_kind);
        entry.m_neighbour = index_of(entry.m_neighbour);
    }
}

} // namespace internal

summary summarize(interference_state const & state, time_point now)
{
    summary result;
    result.m_incarnation = state.m_incarnation;
    result.m_sequence = state.m_counters.m_contrasts;
    std::size_t const count = state.m_kinds.size();
    for (std::size_t index = 0; index < state.m_pairs.size(); ++index)
    {
        pair_state const & pair = state.m_pairs[index];
        summary_pair entry{static_cast<std::uint8_t>(index / count),
                           static_cast<std::uint8_t>(index % count), pair.m_own,
                           now - pair.m_own_at};
        decay(entry.m_sums, entry.m_age);
        if (entry.m_sums.m_weight >= internal::min_summary_weight)
        {
            result.m_pairs.push_back(entry);
        }
    }
    auto const heavier = [](summary_pair const & left, summary_pair const & right)
    {
        return left.m_sums.m_weight > right.m_sums.m_weight;
    };
    if (result.m_pairs.size() > max_summary_pairs)
    {
        std::sort(result.m_pairs.begin(), result.m_pairs.end(), heavier);
        result.m_pairs.resize(max_summary_pairs);
    }
    internal::name_kinds(state, result);
    return result;
}

void merge(interference_state & state, instance_id const & instance, summary received,
           time_point now)
{
    std::size_t const kinds = received.m_kinds.size();
    std::erase_if(received.m_pairs, [kinds](summary_pair const & entry)
                  { return entry.m_kind >= kinds || entry.m_neighbour >= kinds; });
    auto & known = state.m_instances;
    std::erase_if(known, [now](instance_evidence const & item)
                  { return now - item.m_received_at > internal::instance_memory; });
    auto const found =
        std::find_if(known.begin(), known.end(),
                     [&](instance_evidence const & item)
                     {
                         return item.m_instance == instance &&
                                item.m_summary.m_incarnation == received.m_incarnation;
                     });
    if (found != known.end())
    {
        if (received.m_sequence > found->m_summary.m_sequence)
        {
            *found = {instance, std::move(received), now};
        }
    }
    else if (received.m_pairs.empty())
    {
        return;
    }
    else if (known.size() < max_instances)
    {
        known.push_back({instance, std::move(received), now});
    }
    else
    {
        *std::min_element(
            known.begin(), known.end(),
            [](instance_evidence const & left, instance_evidence const & right) {
                return left.m_received_at < right.m_received_at;
            }) = {instance, std::move(received), now};
    }
}

} // namespace cassiahub::interference
