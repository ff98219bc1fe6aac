#ifndef CASSIAHUB_SRC_LEASE_RUNS_HPP
#define CASSIAHUB_SRC_LEASE_RUNS_HPP

#include "lease/session_calls.hpp"

namespace cassiahub::lease::internal
{

/// A run whose progress has not changed for this long is stopped, so that its task can be
/// started on another upstream.
constexpr duration stall_timeout = std::chrono::milliseconds(400);

/// Reports the result of the run of \p task and removes the run. Unknown tasks are
/// ignored.
void finish_run(session_context & context, task_name const & task,
                dispatch::attempt_outcome outcome);

/// Finishes every run of the session with \p outcome.
void finish_all_runs(session_context & context, dispatch::attempt_outcome outcome);

/// Finishes every run because the upstream was lost: as interrupted those that are known
/// to have started in the session's incarnation, and the others, which a later
/// incarnation may run, as unknown. Those whose stop was accepted do not count as lost
/// with the upstream.
void finish_lost_runs(session_context & context);

/// Reports what became of the incarnation that was lost with runs, if there is one.
void report_fate(session_context & context, dispatch::upstream_fate fate);

/// Moves the runs that are not known to have started in the session's incarnation to
/// upstream_session::m_unsettled.
void hold_unconfirmed_runs(session_context & context);

/// Reports the unsettled runs that \p reply does not list as running.
/// \pre \p reply accepted a claim with a higher token than that of every earlier start,
/// so that no further run can start.
void settle_runs(session_context & context, upstream_reply const & reply);

/// Finishes every unsettled run with attempt_outcome::unknown.
void finish_unsettled_runs(session_context & context);

/// Sends a stop of a run.
void stop_run(session_context & context, task_name const & task, requested_run & run);

/// Stops every run whose start has an overdue reply.
void stop_unanswered_runs(session_context & context);

/// Processes the reply to a start or a stop.
/// \param confirmed whether the session's incarnation of the upstream is known to have
/// sent the reply.
void receive_start_or_stop_reply(session_context & context, pending_call const & call,
                                 call_outcome outcome, bool confirmed);

/// Processes the active and ended runs in the reply to a renewal. Runs that this instance
/// has not started are stopped.
/// \param sent_at when the renewal was sent.
/// \returns the number of active runs that this instance has not started.
std::size_t receive_run_lists(session_context & context, upstream_reply const & reply,
                              time_point sent_at);

} // namespace cassiahub::lease::internal

#endif
