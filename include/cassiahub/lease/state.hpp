#ifndef CASSIAHUB_LEASE_STATE_HPP
#define CASSIAHUB_LEASE_STATE_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/time.hpp>
#include <cassiahub/lease/call.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace cassiahub::lease
{

/// Where a run stands, as far as this instance can tell.
enum class run_phase
{
    starting, ///< the start has no reply yet
    running,
    stopping ///< a stop was ordered; the end is not known yet
};

/// A run that this instance has ordered.
struct ordered_run
{
    attempt_id m_attempt;
    std::uint64_t m_generation = 0;
    run_phase m_phase = run_phase::starting;
    /// The start has no reply and the run was never listed.
    bool m_uncertain = true;
    time_point m_ordered_at;
    time_point m_stop_sent_at;
    bool m_stop_accepted = false;
    std::uint32_t m_percent = 0;
    time_point m_progress_at; ///< when m_percent last changed
};

enum class session_phase
{
    claiming, ///< the token is not accepted yet, or runs of an earlier owner remain
    serving,
    silent,   ///< renewals have no reply
    releasing ///< takes no new work; ends with the last run
};

/// The connection with one incarnation of one upstream.
struct upstream_session
{
    std::string m_name;
    std::string m_address;
    std::uint64_t m_incarnation = 0; ///< 0: not known yet
    std::uint64_t m_token = 0;
    session_phase m_phase = session_phase::claiming;
    bool m_wanted = true; ///< this instance should own the upstream

    // Clock of the upstream: it showed m_clock at m_clock_at or a moment before.
    upstream_clock m_clock = 0;
    time_point m_clock_at;
    /// Latest lease that any call has asked for.
    upstream_clock m_lease_until = 0;

    std::uint64_t m_acknowledged = 0; ///< highest end that was taken in
    std::map<task_name, ordered_run> m_runs;

    call_number m_renewal = 0; ///< in flight; 0 for none
    time_point m_renewal_due;  ///< when its reply is overdue
    bool m_looked = false;     ///< it follows a renewal whose reply is overdue
    time_point m_next_renewal;
    std::uint32_t m_failures = 0; ///< renewals in a row without a reply
};

/// A call that waits for its reply.
struct pending_call
{
    std::string m_upstream;
    std::uint64_t m_token = 0;
    task_name m_task; ///< of a start or a stop
    std::uint64_t m_generation = 0;
    bool m_is_start = false;
    time_point m_sent_at;
};

/// Every session of this instance. Owned by the decision thread.
struct lease_state
{
    std::map<std::string, upstream_session, std::less<>> m_sessions;
    std::unordered_map<call_number, pending_call> m_pending;
    std::unordered_map<attempt_id, std::pair<std::string, task_name>> m_attempts;
    call_number m_next_call = 1;
    /// Longest lease that upstreams grant.
    duration m_lease_length = std::chrono::milliseconds(1000);
    time_point m_next_scan;
    time_point m_last_scan;
    time_point m_lagging_until;  ///< replies may wait unread until then
    time_point m_last_loss;      ///< when an order or a renewal last had no reply in time
    std::uint64_t m_lapsed = 0;  ///< runs whose lease has expired
    std::uint64_t m_stalled = 0; ///< runs that were stopped without progress
    std::uint64_t m_uncertain = 0; ///< starts without a reply
};

} // namespace cassiahub::lease

#endif
