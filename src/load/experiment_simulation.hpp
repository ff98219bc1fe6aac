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

/// One run: settings, load and faults.
struct scenario
{
    config::dispatch_settings m_settings;
    std::optional<std::size_t> m_flooding_load; ///< kind that floods from one fifth on
    bool m_faulty_upstreams = false; ///< 1 in 10 fails everything, 1 in 20 straggles
    bool m_common_cause = false;     ///< every upstream fails in the middle third
};

/// How one job was answered.
struct job_record
{
    std::size_t m_load = 0;
    bool m_flood = false;
    time_point m_arrival;
    duration m_ideal{0};
    std::optional<duration> m_response; ///< of a complete answer within the time limit
};

/// What one run measured.
struct run_result
{
    std::vector<job_record> m_jobs;
    std::uint64_t m_useful = 0;
    std::uint64_t m_wasted = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_forwards = 0;
    std::uint64_t m_ejections = 0;
    std::uint64_t m_events = 0;
    std::map<std::string, std::uint64_t> m_waste; ///< by cause
    std::map<std::string, std::uint64_t> m_violations;
};

/// Runs \p chosen for \p seconds of arrivals, and on until every job is answered.
run_result run_scenario(scenario const & chosen, std::uint32_t seconds,
                        std::uint64_t seed, std::uint32_t check_period);

} // namespace cassiahub::load::internal

#endif
