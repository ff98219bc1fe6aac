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

// These functions do no I/O and use no globals: they read and write only their
// arguments. A dispatch_state must not be used by two threads at a time.

/// A job that the ownership module has recorded and permitted to start.
struct admitted_job
{
    job_spec m_spec;
    fencing_token m_token;
    time_point m_deadline;
    /// Latest time at which an attempt of the job may be sent.
    time_point m_send_before;
};

/// Replaces the configuration. Attempts that run on a removed upstream continue.
void apply_configuration(dispatch_state & state,
                         std::shared_ptr<config::fleet_configuration const> configuration,
                         time_point now);

/// Sets the upstreams that this instance owns, that is, whose slots it allocates.
/// \param names sorted; names that the configuration lacks are ignored.
/// \pre apply_configuration() was called.
void set_owned_upstreams(dispatch_state & state, std::span<std::string const> names);

/// Sets whether an upstream is shutting down. While it is, it gets no new attempts.
void set_upstream_leaving(dispatch_state & state, std::string_view upstream,
                          bool leaving);

/// Sets whether an upstream is reachable. While it is not, it gets no new attempts.
void set_upstream_available(dispatch_state & state, std::string_view upstream,
                            bool available);

/// Sets the failure domains whose upstreams get no new attempts. Running attempts there
/// continue. The next call of advance() refuses queued work that fits nowhere else, as
/// not run.
void set_drained_domains(dispatch_state & state, std::span<std::string const> domains);

/// \returns the number of owned upstreams in drained domains.
std::size_t count_drained_upstreams(dispatch_state const & state);

/// Checks a submission before the job is recorded or started.
/// \returns the error with which to refuse the job as not run, or no error.
std::error_code check_admission(dispatch_state const & state, job_spec const & spec,
                                time_point now);

/// Counts a submission that was refused with \p error.
void record_refusal(dispatch_state & state, std::error_code error);

/// Queues every task of an admitted job.
/// \pre check_admission() passed and no job with this key is present.
void enqueue_job(dispatch_state & state, admitted_job job, time_point now);

/// Extends the latest time at which attempts of the job may be sent, after its lease was
/// renewed. A job that reaches the head of its queue after that time fails with
/// lease_lapsed.
void extend_send_before(dispatch_state & state, job_key const & key,
                        time_point send_before);

/// Ends job \p key with job_errc::cancelled. O(tasks of the job); an unknown key is
/// ignored.
void cancel_job(dispatch_state & state, job_key const & key, time_point now,
                effects & out);

/// \returns true while an attempt of an earlier job \p key (job_key::m_key) is cancelled
/// but has not ended, or a task of that job is queued here for another instance.
bool has_unfinished_attempts(dispatch_state const & state, std::string_view key);

/// Processes the result of an attempt that was started here or forwarded to a peer. A
/// result of an attempt that is not running (late, superseded, never started) is dropped
/// and counted as a wasted message.
void finish_attempt(dispatch_state & state, attempt_result result, time_point now,
                    random_source & random, effects & out);

/// Adds a live instance or replaces its last reported loads.
void set_peer(dispatch_state & state, peer_capacity peer);

/// Numbers of tasks that this instance and another one run for each other.
struct peer_work
{
    std::size_t m_forwarded = 0; ///< forwarded to the other instance
    std::size_t m_queued = 0;    ///< of the other instance, waiting here
    std::size_t m_running = 0;   ///< of the other instance, running here
};

peer_work work_with_peer(dispatch_state const & state, instance_id const & instance);

/// Removes an instance that is no longer live. Attempts forwarded to it are cancelled and
/// end with an unknown outcome. Tasks that it forwarded to this instance are dequeued or
/// cancelled, also if its load was never set.
void remove_peer(dispatch_state & state, instance_id const & instance, time_point now,
                 random_source & random, effects & out);

/// Refuses the queued tasks that \p instance forwarded to this instance and cancels the
/// running ones. Their results are emitted as usual.
void end_work_for(dispatch_state & state, instance_id const & instance, effects & out);

/// Replaces the last reported load of a known peer for one service.
void update_peer_load(dispatch_state & state, instance_id const & instance,
                      peer_load load);

/// Queues a task that \p from forwarded to this instance. Its result is emitted as a
/// forward_result. A duplicate of a queued, running or recently finished task is ignored.
/// A task whose kind has another service here is returned as not run.
/// \pre m_send_before and m_deadline of \p task are on this instance's clock.
void accept_forwarded(dispatch_state & state, instance_id const & from,
                      attempt_start task, time_point now, effects & out);

/// Cancels a task that another instance forwarded to this one.
void cancel_forwarded(dispatch_state & state, attempt_id const & attempt, time_point now,
                      effects & out);

/// \returns true while a task of another instance is queued or running here.
bool serves_peers(dispatch_state const & state) noexcept;

/// \returns the load that this instance reports to its peers, one element for each
/// service of its upstreams.
std::vector<peer_load> current_loads(dispatch_state const & state);

/// \returns the sums of the free slots and of the queued tasks over all services.
peer_load total_load(dispatch_state const & state);

/// Adds a loss that another instance has reported, or the fate of a lost upstream. Queued
/// tasks that may not be started any more end their jobs when their turn comes.
void record_loss(dispatch_state & state, upstream_loss const & loss, time_point now);

/// Handles due timers, such as job deadlines, and starts nothing.
void advance_timers(dispatch_state & state, time_point now, random_source & random,
                    effects & out);

/// Handles due timers, such as job deadlines, and starts queued tasks for which there is
/// capacity.
void advance(dispatch_state & state, time_point now, random_source & random,
             effects & out);

/// \returns the names of the invariants that \p state violates.
std::vector<std::string_view> check_invariants(dispatch_state const & state);

} // namespace cassiahub::dispatch

#endif
