#ifndef CASSIAHUB_DISPATCH_FORWARDING_HPP
#define CASSIAHUB_DISPATCH_FORWARDING_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

#include <string_view>

namespace cassiahub::dispatch::internal
{

/// \returns a peer with a free slot of the pool's service and capacity for \p demand,
/// preferably in the local failure domain, or nullptr. The search compares a few peers
/// from a random one on: if it always chose the peer with the most free slots, all
/// instances would choose the same peer until its next load report.
instance_id const * pick_peer(dispatch_state const & state, std::uint32_t pool,
                              resources const & demand, random_source & random);

/// Picks a peer in whose queue a task of \p kind may wait although no peer has capacity
/// for it, so that a job with many tasks does not depend on the upstreams of one
/// instance. \returns nullptr unless \p kind is the most urgent one of its service and
/// has an objective, and while every peer was picked too recently.
instance_id const * pick_busy_peer(dispatch_state & state, std::uint32_t kind,
                                   time_point now);

/// \returns true when pick_busy_peer() may return a peer for some task queued in \p pool.
bool may_wait_at_peers(dispatch_state const & state, std::uint32_t pool);

/// \returns the load that \p peer reports for \p service, or nullptr when it has no
/// upstream of it.
peer_load const * find_load(peer_capacity const & peer, std::string_view service);

/// Forwards \p start to \p peer and decrements the peer's known free slots.
void forward_attempt(dispatch_state & state, instance_id const & peer,
                     attempt_start start, effects & out);

/// Removes \p id from the attempts that \p peer runs for this instance.
void remove_peer_attempt(dispatch_state & state, instance_id const & peer,
                         attempt_id const & id);

/// Removes a task that a peer forwarded from the queue and returns it.
/// \pre the task is queued
forwarded_task dequeue_forwarded(dispatch_state & state, attempt_id const & id);

/// Removes a queued task of a peer and reports it to that peer as not run.
void refuse_forwarded(dispatch_state & state, attempt_id const & id, effects & out);

/// Stores the identifier of a peer's finished attempt until \p until, so that a
/// duplicate forward message does not start it again.
void record_finished_forwarded(dispatch_state & state, attempt_id const & id,
                               time_point until);

} // namespace cassiahub::dispatch::internal

#endif
