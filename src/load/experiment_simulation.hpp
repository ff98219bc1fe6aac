#ifndef CASSIAHUB_LOAD_EXPERIMENT_SIMULATION_HPP
#define CASSIAHUB_LOAD_EXPERIMENT_SIMULATION_HPP

#include "load/experiment_workload.hpp"

#include <cassiahub/config/dispatch_settings.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiahub::load::internal
{

/// Settings, load and faults of one run.
struct scenario
{
    config::dispatch_settings m_settings;
    std::optional<std::size_t> m_flooding_kind; ///< floods from one fifth of the run on
    bool m_faulty_upstreams = false;     ///< 1 in 10 fails every task, 1 in 20 is slow
    bool m_common_cause_failure = false; ///< every upstream fails in the middle third
};

/// Arrival of one job and its answer.
struct job_record
{
    std::size_t m_kind_index = 0; ///< in standard_workload()
    bool m_flood = false;         ///< part of the flood
    time_point m_arrival;
    duration m_ideal_latency{0}; ///< without queueing
    /// Time from the arrival to a complete answer; empty if there is none within
    /// the time limit.
    std::optional<duration> m_response;
};

/// Measurements of one run.
struct run_result
{
    std::vector<job_record> m_jobs;
    std::uint64_t m_useful_results = 0;
    std::uint64_t m_wasted_messages = 0; ///< including one for each refused job
    std::uint64_t m_retries = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_forwards = 0;
    std::uint64_t m_ejections = 0;
    std::uint64_t m_events = 0; ///< simulated events
    std::map<std::string, std::uint64_t> m_wasted_by_cause;
    std::map<std::string, std::uint64_t> m_violations; ///< violated invariants, by name
};

/// Runs \p simulated: jobs arrive for \p seconds of virtual time, and the run ends when
/// every job is answered.
/// \param check_period number of events between two checks of the invariants.
run_result run_scenario(scenario const & simulated, std::uint32_t seconds,
                        std::uint64_t seed, std::uint32_t check_period);

} // namespace cassiahub::load::internal

#endif
