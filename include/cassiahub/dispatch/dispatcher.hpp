#ifndef CASSIAHUB_DISPATCH_DISPATCHER_HPP
#define CASSIAHUB_DISPATCH_DISPATCHER_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cassiahub::dispatch
{

// Every function here is pure: it reads and writes only its arguments, and one thread
// at a time may use a state.

/// A job that ownership has cleared to start.
struct admitted_job
{
    job_spec m_spec;
    fencing_token m_token;
    time_point m_deadline;
    /// Last time at which an attempt of the job may be sent.
    time_point m_send_before;
};

/// Puts \p configuration in force. Attempts that run on a removed upstream go on.
void apply_configuration(
    dispatch_state & state,
    std::shared_ptr<config::fleet_configuration const> configuration);

/// Sets the upstreams whose slots this instance accounts for.
/// \param names sorted; names that the configuration lacks are ignored.
/// \pre a configuration is in force.
void set_owned_upstreams(dispatch_state & state, std::span<std::string const> names);

/// Marks an upstream that is leaving: it gets no new attempt from now on.
void set_upstream_leaving(dispatch_state & state, std::string_view upstream,
                          bool leaving);

/// Sets whether an upstream can be reached. One that cannot gets no new attempt.
void set_upstream_available(dispatch_state & state, std::string_view upstream,
                            bool available);

/// Early check of a submission before anything is recorded or started.
/// \returns the error with which to refuse \p spec as not run, or no error.
std::error_code check_admission(dispatch_state const & state, job_spec const & spec,
                                time_point now);

/// Counts a submission that was refused with \p error.
void record_refusal(dispatch_state & state, std::error_code error);

/// Queues every task of an admitted job.
/// \pre check_admission() passed and no job with this key is present.
void enqueue_job(dispatch_state & state, admitted_job job, time_point now);

/// Moves the last time at which an attempt of the job may be sent, after its lease was
/// renewed. A job whose time has passed when its turn comes fails with lease_lapsed.
void extend_send_before(dispatch_state & state, job_key const & key,
                        time_point send_before);

/// Ends the job \p key as cancelled. O(tasks of the job); unknown keys are ignored.
void cancel_job(dispatch_state & state, job_key const & key, time_point now,
                effects & out);

/// Accounts for a finished attempt, ordered here or forwarded to a peer. A result of an
/// attempt that is not running (late, superseded, never ordered) is dropped and counted
/// as a wasted message.
void finish_attempt(dispatch_state & state, attempt_result result, time_point now,
                    random_source & random, effects & out);

/// Adds a live instance or replaces what was known of its load.
void set_peer(dispatch_state & state, peer_capacity peer);

/// Removes an instance that is not live any more. The outcome of every attempt that was
/// forwarded to it is unknown. What it has forwarded to this one is cancelled.
void remove_peer(dispatch_state & state, instance_id const & instance, time_point now,
                 random_source & random, effects & out);

/// Queues a task that \p from has forwarded to this instance. m_send_before and
/// m_deadline are on this instance's clock. Its result leaves as a forward_result.
void accept_forwarded(dispatch_state & state, instance_id const & from,
                      attempt_start task, time_point now);

/// Cancels a task that another instance has forwarded to this one.
void cancel_forwarded(dispatch_state & state, attempt_id const & attempt, time_point now,
                      effects & out);

/// \returns true while a task of another instance waits or runs here.
bool serves_peers(dispatch_state const & state) noexcept;

/// \returns the room that this instance reports to the others.
peer_load current_load(dispatch_state const & state);

/// Ends jobs past their deadline and starts queued tasks for which there is room.
void advance(dispatch_state & state, time_point now, random_source & random,
             effects & out);

/// \returns the names of the invariants that \p state breaks; empty when it is sound.
std::vector<std::string_view> check_invariants(dispatch_state const & state);

} // namespace cassiahub::dispatch

#endif
