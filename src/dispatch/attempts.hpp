#ifndef CASSIAHUB_DISPATCH_ATTEMPTS_HPP
#define CASSIAHUB_DISPATCH_ATTEMPTS_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Whether an attempt is the main line of its task or runs beside another one.
enum class attempt_role
{
    primary,
    hedge
};

/// Where an attempt goes: an owned upstream, or a peer when m_peer is not empty.
struct attempt_target
{
    std::uint32_t m_upstream = no_upstream;
    instance_id m_peer;
};

/// Starts one attempt of a task of a local job.
void start_attempt(dispatch_state & state, job_state & job, std::uint32_t task,
                   attempt_target const & target, attempt_role role, time_point now,
                   effects & out);

/// Starts a task that a peer has forwarded on upstream \p upstream.
void start_forwarded(dispatch_state & state, forwarded_task task, std::uint32_t upstream,
                     time_point now, effects & out);

/// Orders a running attempt to stop. It keeps its slot until it is reported.
void cancel_attempt(dispatch_state & state, attempt_id const & id, effects & out);

/// Cancels every attempt of a task, which then has none.
void cancel_attempts_of(dispatch_state & state, job_state & job, std::uint32_t task,
                        effects & out);

/// Applies a result to an attempt that is known.
void settle_attempt(dispatch_state & state, attempt_result result, time_point now,
                    random_source & random, effects & out);

/// Ends an attempt without a result; its outcome is unknown.
void time_out_attempt(dispatch_state & state, attempt_id const & id, time_point now,
                      random_source & random, effects & out);

} // namespace cassiahub::dispatch::internal

#endif
