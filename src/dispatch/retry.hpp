#ifndef CASSIAHUB_DISPATCH_RETRY_HPP
#define CASSIAHUB_DISPATCH_RETRY_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Attempts a task again after an attempt that did not succeed, or fails its job.
void handle_unsuccessful(dispatch_state & state, job_state & job, std::uint32_t task,
                         attempt_outcome outcome, time_point now, random_source & random,
                         effects & out);

/// Queues a task again that a peer has handed back. The task was never sent to an
/// upstream, so this counts as no attempt and takes no budget; the wait grows instead.
void handle_declined(dispatch_state & state, job_state & job, std::uint32_t task,
                     time_point now, random_source & random);

/// Makes a task ready whose wait before the next attempt is over.
void end_retry_delay(dispatch_state & state, std::uint64_t job_serial, std::uint32_t task,
                     random_source & random);

} // namespace cassiahub::dispatch::internal

#endif
