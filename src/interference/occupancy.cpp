#include <cassiahub/interference/occupancy.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <chrono>

namespace cassiahub::interference
{

namespace internal
{

/// Multiple of its expected run time after which a task is overdue. An upstream that
/// hangs delays everything that starts there, and its tasks stay beside each other.
constexpr int overdue_factor = 4;

/// \returns the record of \p kind beside \p run, or nullptr when there is no room for it.
neighbour * find_neighbour(finished_run & run, std::uint8_t kind)
{
    auto const begin = run.m_neighbours.begin();
    auto const end = begin + run.m_neighbour_count;
    auto const found = std::find_if(
        begin, end, [kind](neighbour const & item) { return item.m_kind == kind; });
    if (found != end)
    {
        return &*found;
    }
    if (run.m_neighbour_count == max_neighbours)
    {
        run.m_unusable = true;
        return nullptr;
    }
    run.m_neighbours[run.m_neighbour_count] = {kind, 0, 0};
    return &run.m_neighbours[run.m_neighbour_count++];
}

/// \returns the time for which \p run counts as early.
duration early_time(resident const & run)
{
    return run.m_expected / 2;
}

float to_seconds(duration value)
{
    return std::chrono::duration<float>(std::max(value, duration::zero())).count();
}

/// Adds the time that both have run there to the record of \p run.
void add_overlap(resident & run, resident const & other, time_point now)
{
    time_point const from = std::max(run.m_started, other.m_started);
    duration const early = std::min(now, run.m_started + early_time(run)) - from;
    run.m_record.m_beside_own_job |=
        run.m_job != 0 && other.m_job == run.m_job && early > duration::zero();
    if (other.m_record.m_kind == untracked_kind)
    {
        return;
    }
    if (neighbour * const entry = find_neighbour(run.m_record, other.m_record.m_kind))
    {
        entry->m_share += to_seconds(now - from);
        entry->m_early_share += to_seconds(early);
    }
}

/// Divides the seconds in the record by the length of the run and of its early part.
void divide_shares(resident & run, duration length)
{
    float const seconds = to_seconds(length);
    float const early_seconds = to_seconds(std::min(length, early_time(run)));
    finished_run & record = run.m_record;
    record.m_unusable |= early_seconds <= 0 || record.m_ratio <= 0;
    for (std::size_t index = 0; !record.m_unusable && index < record.m_neighbour_count;
         ++index)
    {
        neighbour & entry = record.m_neighbours[index];
        entry.m_share = std::min(entry.m_share / seconds, 1.0F);
        entry.m_early_share = std::min(entry.m_early_share / early_seconds, 1.0F);
    }
}

} // namespace internal

void enter(occupancy & occupants, resident run, time_point now)
{
    if (occupants.m_residents.size() == max_residents)
    {
        return;
    }
    run.m_started = now;
    for (resident const & other : occupants.m_residents)
    {
        run.m_record.m_unusable |=
            now - other.m_started > internal::overdue_factor * other.m_expected;
    }
    occupants.m_residents.push_back(run);
}

finished_run leave(occupancy & occupants, std::uint64_t run, double ratio, time_point now)
{
    auto & residents = occupants.m_residents;
    auto const found =
        std::find_if(residents.begin(), residents.end(),
                     [run](resident const & item) { return item.m_run == run; });
    if (found == residents.end())
    {
        return {};
    }
    std::swap(*found, residents.back());
    resident ended = residents.back();
    residents.pop_back();
    for (resident & other : residents)
    {
        internal::add_overlap(ended, other, now);
        internal::add_overlap(other, ended, now);
    }
    ended.m_record.m_ratio = ratio;
    internal::divide_shares(ended, now - ended.m_started);
    return ended.m_record;
}

} // namespace cassiahub::interference
