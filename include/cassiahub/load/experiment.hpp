#ifndef CASSIAHUB_LOAD_EXPERIMENT_HPP
#define CASSIAHUB_LOAD_EXPERIMENT_HPP

#include <cassiahub/config/dispatch_settings.hpp>

#include <cstdint>
#include <string>

namespace cassiahub::load
{

/// What the experiment runs. The same options give the same report.
struct experiment_options
{
    std::uint64_t m_seed = 1;
    std::uint32_t m_seconds = 60; ///< virtual time over which jobs arrive
    /// Runs of dispatch::check_invariants() are this many events apart.
    std::uint32_t m_check_period = 500;
    bool m_only_current = false; ///< leave out the policies for comparison
    config::dispatch_settings m_settings;
};

/// Runs the job mix in virtual time over several dispatchers, for every policy without
/// faults, with faults and with floods.
/// \returns the figures as JSON text.
std::string run_experiment(experiment_options const & options);

} // namespace cassiahub::load

#endif
