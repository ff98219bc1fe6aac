#ifndef CASSIAHUB_DISPATCH_COUNTERS_HPP
#define CASSIAHUB_DISPATCH_COUNTERS_HPP

#include <cassiahub/core/error.hpp>

#include <array>
#include <cstdint>

namespace cassiahub::dispatch
{

/// One more than the largest job_errc.
constexpr std::size_t job_errc_count = 28;

/// Events counted since the state was created.
struct dispatch_counters
{
    std::uint64_t m_first_attempts = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_forwards = 0; ///< attempts forwarded to a peer, also hedges
    std::uint64_t m_useful_results = 0;
    // Wasted messages by cause; wasted_messages() adds them up.
    std::uint64_t m_refused_results = 0;   ///< reported as not run
    std::uint64_t m_failed_results = 0;    ///< failed, or of unknown outcome
    std::uint64_t m_duplicate_results = 0; ///< results for an attempt that is not running
    std::uint64_t m_late_results = 0;      ///< results of cancelled attempts that had run
    std::uint64_t m_ejections = 0;
    std::uint64_t m_shed_jobs = 0;
    std::uint64_t m_losses = 0;         ///< attempts whose upstream was lost
    std::uint64_t m_convicted_jobs = 0; ///< ended with crashes_upstreams
    std::uint64_t m_withheld_jobs = 0;  ///< ended, as a task of them was withheld
    /// Tasks placed on another upstream because of the kinds that run on the first
    /// choice.
    std::uint64_t m_moved_placements = 0;
    /// Jobs refused or failed, by job_errc.
    std::array<std::uint64_t, job_errc_count> m_jobs_by_error{};
};

/// \returns the number of wasted messages of all causes.
constexpr std::uint64_t wasted_messages(dispatch_counters const & counters) noexcept
{
    return counters.m_refused_results + counters.m_failed_results +
           counters.m_duplicate_results + counters.m_late_results;
}

} // namespace cassiahub::dispatch

#endif
