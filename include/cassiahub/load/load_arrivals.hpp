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

/// One scheduled submission.
struct arrival
{
    duration m_at{0};                ///< since the start of the run
    std::uint32_t m_kind = 0;        ///< index in the kinds of the plan
    bool m_resubmission = false;     ///< repeats the key and job of an earlier arrival
    bool m_has_resubmission = false; ///< a resubmission of this job follows
    std::uint32_t m_target = 0;      ///< index in the targets of the plan
    job_spec m_job;
    duration m_longest_run_time{0}; ///< of the tasks of the job
};

/// Generator of the sequence of arrivals, which depends on the plan and its seed only;
/// the prefix of the keys depends on the run. Used by one thread.
struct arrival_state
{
    std::vector<random_source> m_random_sources; ///< by kind
    std::vector<duration> m_next_arrivals;       ///< time of the next arrival, by kind
    std::vector<arrival> m_resubmissions;        ///< heap, earliest first
    std::uint64_t m_last_serial = 0;             ///< number in the last generated key
    std::string m_run_id; ///< prefix of every key, so that two runs never share a key
};

/// \param run_id prefix of every key.
arrival_state make_arrival_state(load_plan const & plan, std::string run_id);

/// \returns the next arrival in order of time, or nothing after the last one.
std::optional<arrival> next_arrival(load_plan const & plan, arrival_state & state);

/// \param kind index in the kinds of \p plan.
/// \param at time since the start of the run.
/// \returns the arrival rate in jobs a second, floods included.
double rate_at(load_plan const & plan, std::uint32_t kind, duration at);

/// \returns the result that the upstream stand-in gives for task \p index of \p job.
std::string expected_result(job_spec const & job, std::size_t index);

} // namespace cassiahub::load

#endif
