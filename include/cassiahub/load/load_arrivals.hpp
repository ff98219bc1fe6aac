#ifndef CASSIAHUB_LOAD_LOAD_ARRIVALS_HPP
#define CASSIAHUB_LOAD_LOAD_ARRIVALS_HPP

#include <cassiahub/core/job.hpp>
#include <cassiahub/core/random.hpp>
#include <cassiahub/load/load_plan.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cassiahub::load
{

/// One submission that is due at a moment of the run.
struct arrival
{
    duration m_at{0};         ///< since the start of the run
    std::uint32_t m_kind = 0; ///< index in the plan
    bool m_resubmission = false;
    bool m_resubmitted = false; ///< another submission with the same key follows
    std::uint32_t m_target = 0; ///< index in the plan
    job_spec m_job;
    duration m_longest_task{0};
};

/// Position in the sequence of arrivals. The sequence depends on the plan and its seed
/// only. Used by one thread.
struct arrival_state
{
    std::vector<random_source> m_random;  ///< for each kind
    std::vector<duration> m_next;         ///< for each kind
    std::vector<arrival> m_resubmissions; ///< heap, earliest first
    std::uint64_t m_serial = 0;
    std::string m_run; ///< begins every key, so that runs do not share keys
};

arrival_state start_arrivals(load_plan const & plan, std::string run);

/// \returns the next arrival in order of time, or nothing after the end of the plan.
std::optional<arrival> next_arrival(load_plan const & plan, arrival_state & state);

/// \returns the rate of \p kind at \p at in jobs a second, floods included.
double rate_at(load_plan const & plan, std::uint32_t kind, duration at);

/// \returns the result that task \p index of \p job must have from the upstream
/// stand-in.
std::string expected_result(job_spec const & job, std::size_t index);

} // namespace cassiahub::load

#endif
