#ifndef CASSIAHUB_SRC_DISPATCH_SERVICE_POOLS_HPP
#define CASSIAHUB_SRC_DISPATCH_SERVICE_POOLS_HPP

#include <cassiahub/dispatch/state.hpp>

#include <string_view>

namespace cassiahub::dispatch::internal
{

/// \returns the index of the pool of \p service, which is added if it is new.
std::uint32_t pool_index(dispatch_state & state, std::string_view service);

/// \returns the pool of the service of \p kind.
service_pool & pool_of(dispatch_state & state, std::uint32_t kind);
service_pool const & pool_of(dispatch_state const & state, std::uint32_t kind);

/// Moves \p kind, which a new configuration assigns to another service, with its queued
/// tasks to \p pool. Its running attempts stay where they are.
void move_kind(dispatch_state & state, std::uint32_t kind, std::uint32_t pool);

} // namespace cassiahub::dispatch::internal

#endif
