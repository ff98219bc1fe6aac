#ifndef CASSIAHUB_LEASE_STATE_HPP
#define CASSIAHUB_LEASE_STATE_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/time.hpp>
#include <cassiahub/lease/call.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cassiahub::lease
{

/// Time after which a run that is no longer wanted has ended, whatever is lost: a caller
/// submits its job again 1.3 s after its connection broke or its request failed, and by
/// then no earlier run of the job may continue. The difference covers the delays of
/// messages and of the end of a lease.
constexpr duration unwanted_run_limit = std::chrono::milliseconds(1200);

/// State of a run, as known to this instance.
enum class run_phase
{
    starting, ///< the start has no reply yet
    running,
    stopping ///< a stop was sent; the run is not known to have ended
};

/// A run that this instance has requested.
struct requested_run
{
    attempt_id m_attempt;
    /// Identifies this start; increases with every start of the task by any instance.
    std::uint64_t m_generation = 0;
    run_phase m_phase = run_phase::starting;
    /// The start was not accepted so far, and no renewal has listed the run.
    bool m_uncertain = true;
    /// The run is known to have started in the session's incarnation of the upstream.
    bool m_confirmed = false;
    time_point m_requested_at;
    time_point m_stop_sent_at;
    /// First call after the reply that accepted a stop; 0: no stop was accepted so far.
    call_number m_first_call_after_stop = 0;
    bool m_stop_confirmed = false; ///< the session's incarnation has accepted a stop
    /// Incarnation of the upstream that may have run it; only in m_unsettled of a
    /// session.
    std::uint64_t m_incarnation = 0;
    /// The lease is not extended beyond this time, by which the run has to end even if
    /// no stop takes effect.
    time_point m_lease_limit = time_point::max();
    std::uint32_t m_percent = 0;
    time_point m_progress_at; ///< when m_percent last changed
};

/// Progress of a session with an upstream.
enum class session_phase
{
    claiming, ///< token not accepted yet, or runs of an earlier owner remain
    /// Claimed, but the registration is that of an earlier incarnation: the service and
    /// the capacity of this one are not known, so it gets no runs.
    unregistered,
    serving,
    silent,   ///< the last renewal got no reply
    releasing ///< starts no new run; the session ends after its last run
};

/// The session with one incarnation of one upstream.
struct upstream_session
{
    std::string m_name;
    std::string m_address;
    std::uint64_t m_incarnation = 0;            ///< 0: not known yet
    std::uint64_t m_registered_incarnation = 0; ///< in the last registration; 0: none
    std::uint64_t m_token = 0;                  ///< fencing token
    /// Token of the last claim. A call with a lower one belongs to an earlier session.
    std::uint64_t m_claim_token = 0;
    session_phase m_phase = session_phase::claiming;
    bool m_wanted = true; ///< this instance should own the upstream

    // The upstream's clock showed m_clock when it sent the reply that arrived at
    // m_clock_at, to a call sent at m_clock_asked_at.
    upstream_clock m_clock = 0;
    time_point m_clock_at;
    time_point m_clock_asked_at;
    /// Latest lease end requested by a call that the upstream may have received.
    upstream_clock m_lease_until = 0;
    /// Latest lease end requested by a call that is no longer in flight, likewise.
    upstream_clock m_settled_lease_until = 0;

    std::uint64_t m_acknowledged = 0; ///< highest listed_end::m_number that was processed
    std::map<task_name, requested_run> m_runs;
    /// Runs that the upstream may have after its restart. The reply to the next claim
    /// shows whether it has them.
    std::map<task_name, requested_run> m_unsettled;
    /// Incarnation that was lost with runs and whose fate is not known.
    std::optional<std::uint64_t> m_lost_incarnation;

    call_number m_renewal = 0;      ///< renewal in flight; 0: none
    time_point m_renewal_due;       ///< when the reply to m_renewal is overdue
    bool m_renewal_repeats = false; ///< m_renewal repeats one whose reply is overdue
    time_point m_next_renewal;
    std::uint32_t m_failures = 0; ///< consecutive renewals without a reply
};

/// A call without a reply so far.
struct pending_call
{
    std::string m_upstream;
    std::string m_address; ///< address that the call was sent to
    std::uint64_t m_token = 0;
    task_name m_task; ///< task of a start or a stop
    /// Generation of the run (run_name::m_generation) to start or stop; 0: the call is a
    /// renewal.
    std::uint64_t m_generation = 0;
    bool m_is_start = false;
    upstream_clock m_lease_until = 0; ///< lease end that the call requests; 0: none
    time_point m_sent_at;
};

/// Running estimate of the time from a call to its reply, over all upstreams: on a slow
/// or busy link the replies of all of them are late together.
struct reply_time_estimate
{
    duration m_smoothed{0};  ///< weighted mean; 0: no reply so far
    duration m_deviation{0}; ///< weighted mean deviation from m_smoothed
};

/// Sessions of this instance. Used by the decision thread only.
struct lease_state
{
    std::map<std::string, upstream_session, std::less<>> m_sessions;
    std::unordered_map<call_number, pending_call> m_pending;
    /// Upstream and task of each attempt with a run.
    std::unordered_map<attempt_id, std::pair<std::string, task_name>> m_attempts;
    call_number m_next_call = 1;
    std::uint64_t m_released_token = 0; ///< highest token of a session that has ended
    /// Length of the leases requested: the longest that upstreams grant.
    duration m_lease_length = std::chrono::milliseconds(1000);
    time_point m_next_scan;
    time_point m_last_scan;
    /// Until then, replies that arrived while this process was not scheduled may be
    /// unprocessed, so none counts as overdue.
    time_point m_backlog_until;
    // Last scan before the gap that set m_backlog_until, or before the first of several
    // gaps without time to process the backlog in between, and the end of that gap.
    time_point m_gap_began;
    time_point m_gap_ended;
    reply_time_estimate m_reply_time;
    time_point m_last_loss; ///< when a reply to a start or a renewal was last overdue
    std::uint64_t m_expired = 0;   ///< number of runs whose lease has expired
    std::uint64_t m_stalled = 0;   ///< number of runs stopped for lack of progress
    std::uint64_t m_uncertain = 0; ///< number of starts without a reply
};

} // namespace cassiahub::lease

#endif
