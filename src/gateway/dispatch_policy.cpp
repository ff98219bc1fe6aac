#include "gateway/dispatch_policy.hpp"

namespace cassiahub::gateway
{

namespace internal
{

/// Most attempts of one task, including refused ones. Failed runs have a limit of their
/// own, set for each kind of work.
constexpr std::uint32_t max_attempts = 10;
/// Retries allowed for each 100 first attempts. A run is started again only after it has
/// ended, so retries add no parallel load.
constexpr std::uint32_t retry_budget_percent = 100;
/// Initial and largest balance of the retry budget, in retries.
constexpr std::uint32_t retry_reserve = 1000;
constexpr duration retry_delay = std::chrono::milliseconds(4);
/// Longest time that a forwarded task waits at the peer. Equals the greatest age of a
/// load report.
constexpr duration forward_wait = std::chrono::milliseconds(60);
/// An attempt without a result frees its slot this long after its deadline; longer than
/// any lease.
constexpr duration attempt_timeout_margin = std::chrono::seconds(2);

} // namespace internal

void apply_dispatch_policy(config::fleet_configuration & configuration,
                           config::interference_settings const & interference)
{
    config::dispatch_settings & settings = configuration.m_dispatch;
    settings.m_max_attempts = internal::max_attempts;
    settings.m_retry_budget_percent = internal::retry_budget_percent;
    settings.m_retry_reserve = internal::retry_reserve;
    settings.m_retry_delay = internal::retry_delay;
    settings.m_hedge_budget_percent = 0; // two runs of a task must never overlap
    settings.m_forward_wait = internal::forward_wait;
    settings.m_interference = interference;
    settings.m_attempt_timeout_margin = internal::attempt_timeout_margin;
}

} // namespace cassiahub::gateway
