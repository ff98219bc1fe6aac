#ifndef CASSIAHUB_DISPATCH_DRAINED_DOMAINS_HPP
#define CASSIAHUB_DISPATCH_DRAINED_DOMAINS_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

// A task is stranded when only upstreams of drained domains have room for it.

/// \returns true when of the upstreams owned here only drained ones, apart from those
/// that cannot be reached or are shutting down, have room for \p demand.
bool is_stranded_here(dispatch_state const & state, std::uint32_t pool,
                      resources const & demand);

/// \returns true when a task of \p spec is stranded here and no peer can take it.
bool has_stranded_task(dispatch_state const & state, std::uint32_t kind,
                       job_spec const & spec);

/// Makes the next call of refuse_stranded() check the queued tasks. Must be called after
/// every change of the drained domains, the owned upstreams, their reachability or the
/// peers.
void check_stranded_later(dispatch_state & state) noexcept;

/// If a check is due, ends queued jobs with a stranded task and refuses stranded tasks of
/// peers. A job that may have run keeps waiting for its deadline.
void refuse_stranded(dispatch_state & state, effects & out);

} // namespace cassiahub::dispatch::internal

#endif
