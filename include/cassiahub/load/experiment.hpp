#ifndef CASSIAHUB_LOAD_EXPERIMENT_HPP
#define CASSIAHUB_LOAD_EXPERIMENT_HPP

#include <cassiahub/config/dispatch_settings.hpp>

#include <cstdint>
#include <string>

namespace cassiahub::load
{

/// Options of the experiment. The same options give the same report.
struct experiment_options
{
    std::uint64_t m_seed = 1;     ///< seeds the jobs and the decisions
    std::uint32_t m_seconds = 60; ///< virtual time during which jobs arrive
    /// Number of events from one run of dispatch::check_invariants() to the next.
    std::uint32_t m_check_period = 500;
    bool m_current_policy_only = false;   ///< run no other policy
    config::dispatch_settings m_settings; ///< of the current policy
};

/// Simulates several entry instances under a fixed job mix in virtual time. Runs every
/// policy without faults, with faulty upstreams, with a common-cause failure of all
/// upstreams, and with floods.
/// \returns the measured figures as JSON text.
std::string run_experiment(experiment_options const & options);

} // namespace cassiahub::load

#endif
