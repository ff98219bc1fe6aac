#ifndef CASSIAHUB_CONFIG_DISPATCH_SETTINGS_HPP
#define CASSIAHUB_CONFIG_DISPATCH_SETTINGS_HPP

#include <cassiahub/core/time.hpp>

#include <cstdint>

namespace cassiahub::config
{

/// Settings of the decision core, section [dispatch] of the fleet document.
struct dispatch_settings
{
    /// Attempts of one repeatable task, the first included.
    std::uint32_t m_max_attempts = 3;
    /// Retries allowed for each 100 first attempts; retries are load as well.
    std::uint32_t m_retry_budget_percent = 10;
    /// Time for which a job's key and answer are remembered for resubmissions.
    duration m_resubmission_window = std::chrono::minutes(10);
};

} // namespace cassiahub::config

#endif
