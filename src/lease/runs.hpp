#ifndef CASSIAHUB_SRC_LEASE_RUNS_HPP
#define CASSIAHUB_SRC_LEASE_RUNS_HPP

#include "lease/session_calls.hpp"

namespace cassiahub::lease::internal
{

/// A run whose percentage has not changed for this long is stopped, so that its task can
/// run elsewhere.
constexpr duration stall_timeout = std::chrono::milliseconds(400);

/// Reports the attempt of \p task and forgets its run. Unknown tasks are ignored.
void finish_run(session_context & context, task_name const & task,
                dispatch::attempt_outcome outcome);

/// Reports every run of the session with \p outcome.
void finish_all_runs(session_context & context, dispatch::attempt_outcome outcome);

/// Reports every run whose start has no reply as unknown.
void finish_uncertain_runs(session_context & context);

/// Orders the stop of a run.
void stop_run(session_context & context, task_name const & task, ordered_run & run);

/// Stops every run whose start is without a reply for too long.
void stop_unanswered_runs(session_context & context);

/// Takes in the reply to a start or a stop.
void receive_order_reply(session_context & context, pending_call const & call,
                         call_outcome outcome);

/// Takes in the runs and ends that a renewal has returned.
/// \param sent_at when the renewal was sent.
/// \returns the number of runs there that this instance has not ordered.
std::size_t receive_lists(session_context & context, upstream_reply const & reply,
                          time_point sent_at);

} // namespace cassiahub::lease::internal

#endif
