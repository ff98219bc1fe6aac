#ifndef CASSIAHUB_INTERFERENCE_OCCUPANCY_HPP
#define CASSIAHUB_INTERFERENCE_OCCUPANCY_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/interference/run.hpp>

#include <cstdint>
#include <vector>

namespace cassiahub::interference
{

/// Most tasks of one upstream that are tracked at the same time; runs of others are not
/// observed. Upstreams of the gateway have 8 slots.
constexpr std::size_t max_residents = 16;

/// A task that runs on an upstream.
struct resident
{
    std::uint64_t m_run = 0; ///< number of the run, unique on the upstream
    std::uint64_t m_job = 0; ///< number of the job; 0 if not known
    time_point m_started;
    duration m_expected{0}; ///< expected run time
    finished_run m_record;  ///< neighbours so far; shares in seconds until the run ends
};

/// Tasks that run on one upstream.
struct occupancy
{
    std::vector<resident> m_residents; ///< at most max_residents
};

/// Adds a run that starts at \p now. Does nothing when max_residents run there.
/// \pre \p run is not in \p occupants; the m_kind and m_upstream of its record are set.
void enter(occupancy & occupants, resident run, time_point now);

/// Removes a run that ends at \p now.
/// \param ratio run time divided by the expected one.
/// \returns the finished run; its kind is untracked_kind when the run was not tracked.
finished_run leave(occupancy & occupants, std::uint64_t run, double ratio,
                   time_point now);

} // namespace cassiahub::interference

#endif
