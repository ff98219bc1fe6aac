#ifndef CASSIAHUB_DISPATCH_ATTEMPTS_HPP
#define CASSIAHUB_DISPATCH_ATTEMPTS_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Whether an attempt runs alone or duplicates a running attempt of the same task.
enum class attempt_role
{
    primary,
    hedge
};

/// Target of an attempt: the peer \c m_peer if it is not empty, otherwise an owned
/// upstream.
struct attempt_target
{
    std::uint32_t m_upstream = no_upstream;
    instance_id m_peer;
};

/// Starts one attempt of a task of a local job on \p target.
void start_attempt(dispatch_state & state, job_state & job, std::uint32_t task,
                   attempt_target const & target, attempt_role role, time_point now,
                   effects & out);

/// Starts \p task, which a peer forwarded to this instance, on \p upstream.
void start_forwarded(dispatch_state & state, forwarded_task task, std::uint32_t upstream,
                     time_point now, effects & out);

/// Requests cancellation of a running attempt. The attempt occupies its slot until its
/// result arrives or it times out.
void cancel_attempt(dispatch_state & state, attempt_id const & id, effects & out);

/// Cancels every running attempt of a task and detaches them from the task.
void cancel_attempts_of(dispatch_state & state, job_state & job, std::uint32_t task,
                        effects & out);

/// Ends a running attempt with \p result: frees its slot and updates its job, or sends
/// the result to the peer that forwarded the task.
/// \pre the attempt is in m_attempts
void end_attempt(dispatch_state & state, attempt_result result, time_point now,
                 random_source & random, effects & out);

/// Ends an attempt whose result has not arrived in time; its outcome is unknown.
void time_out_attempt(dispatch_state & state, attempt_id const & id, time_point now,
                      random_source & random, effects & out);

} // namespace cassiahub::dispatch::internal

#endif
