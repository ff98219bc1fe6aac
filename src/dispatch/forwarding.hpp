#ifndef CASSIAHUB_DISPATCH_FORWARDING_HPP
#define CASSIAHUB_DISPATCH_FORWARDING_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// \returns a peer with a free slot and room for \p demand, in the local domain first, or
/// nullptr when none is known. The search starts at a random peer: were it the one with
/// most free slots, every instance would choose the same between two reports.
instance_id const * pick_peer(dispatch_state const & state, resources const & demand,
                              random_source & random);

/// \returns a peer without free slots at which a task of the most urgent kind may wait
/// for the next one, so that a wide job does not wait for the upstreams of one instance
/// alone; nullptr for other kinds, and while each peer has been given one a moment ago.
instance_id const * pick_busy_peer(dispatch_state & state, std::uint32_t kind,
                                   time_point now);

/// \returns true when pick_busy_peer() may find a peer for some waiting task.
bool may_wait_at_peers(dispatch_state const & state);

/// Sends \p start to \p peer and counts one of its free slots as taken.
void forward_attempt(dispatch_state & state, instance_id const & peer,
                     attempt_start start, effects & out);

/// Ends the record that \p peer runs \p id.
void forget_peer_attempt(dispatch_state & state, instance_id const & peer,
                         attempt_id const & id);

/// Takes a forwarded task out of the queue.
/// \pre the task waits here
forwarded_task take_forwarded(dispatch_state & state, attempt_id const & id);

/// Reports a forwarded task that waits here as not run.
void refuse_forwarded(dispatch_state & state, attempt_id const & id, effects & out);

/// Remembers a finished attempt of a peer until \p until, so that a repeated message
/// does not start it again.
void remember_forwarded(dispatch_state & state, attempt_id const & id, time_point until);

} // namespace cassiahub::dispatch::internal

#endif
