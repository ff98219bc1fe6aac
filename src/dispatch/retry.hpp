#ifndef CASSIAHUB_DISPATCH_RETRY_HPP
#define CASSIAHUB_DISPATCH_RETRY_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Handles an attempt that did not succeed: retries its task, or fails the job.
void handle_unsuccessful(dispatch_state & state, job_state & job, std::uint32_t task,
                         attempt_result const & result, time_point now,
                         random_source & random, effects & out);

/// Retries a forwarded task that the peer returned as not run. The task was never sent to
/// an upstream, so it neither counts as an attempt nor uses the retry budget; the retry
/// delay still grows.
void handle_declined(dispatch_state & state, job_state & job, std::uint32_t task,
                     time_point now, random_source & random);

/// Queues a task whose retry delay is over.
void end_retry_delay(dispatch_state & state, std::uint64_t job_serial, std::uint32_t task,
                     random_source & random);

} // namespace cassiahub::dispatch::internal

#endif
