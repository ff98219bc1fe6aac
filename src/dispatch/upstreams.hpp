#ifndef CASSIAHUB_DISPATCH_UPSTREAMS_HPP
#define CASSIAHUB_DISPATCH_UPSTREAMS_HPP

#include <cassiahub/dispatch/state.hpp>

#include <span>

namespace cassiahub::dispatch::internal
{

/// \returns true when \p upstream is owned and reachable, its failure domain is not
/// drained, and neither an operator, the platform nor the upstream itself is shutting it
/// down. Ignores its health.
bool accepts_attempts(upstream_state const & upstream) noexcept;

/// \returns true when the upstream accepts new attempts other than probes.
bool is_usable(upstream_state const & upstream) noexcept;

/// \returns true when an idle upstream of the service, at any instance, would have room
/// for \p demand.
bool fits_some_upstream(service_pool const & pool, resources const & demand);

/// Recounts the owned upstreams of each pool and what is derived from their number.
/// \pre the state has a configuration
void recount_owned(dispatch_state & state);

/// Sets service_pool::m_undrained_capacities.
/// \pre the state has a configuration
void update_undrained_capacities(dispatch_state & state);

/// \returns true when one of \p largest has room for \p demand.
bool fits_any(std::span<resources const> largest, resources const & demand);

/// Updates the capacity indexes and the totals derived from upstream \p id. Must be
/// called after every change of the upstream.
/// \pre the element is in use
void update_offered_capacity(dispatch_state & state, std::uint32_t id);

/// Update slots and resources in use when an attempt starts or ends on upstream \p id.
void occupy_slot(dispatch_state & state, std::uint32_t id,
                 running_attempt const & attempt);
void vacate_slot(dispatch_state & state, std::uint32_t id,
                 running_attempt const & attempt);

/// Withholds one free slot of upstream \p id until \p until; release_withheld_slot()
/// frees it again.
void withhold_slot(dispatch_state & state, std::uint32_t id, time_point until);
void release_withheld_slot(dispatch_state & state, std::uint32_t id);

} // namespace cassiahub::dispatch::internal

#endif
