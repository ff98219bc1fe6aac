#ifndef CASSIAHUB_SRC_LEASE_SESSION_CALLS_HPP
#define CASSIAHUB_SRC_LEASE_SESSION_CALLS_HPP

#include <cassiahub/lease/effects.hpp>
#include <cassiahub/lease/state.hpp>

namespace cassiahub::lease::internal
{

/// Bound on how much slower the clock of an upstream may run than this instance's.
constexpr double clock_rate_error = 0.02;
/// Bound on the error of a comparison of two clock readings, which are whole
/// milliseconds.
constexpr upstream_clock clock_reading_error = 2;
/// Time after the end of a lease from which its runs count as ended. It covers scheduling
/// delays of both processes.
constexpr duration lease_expiry_margin = std::chrono::milliseconds(30);
/// While no run is active, a renewal waits at the upstream for the lease length divided
/// by this number.
constexpr int idle_renewal_divisor = 2;
/// While runs are active, a renewal waits for an end for the lease length divided by this
/// number. That leaves time for two more renewals before the lease expires.
constexpr int busy_renewal_divisor = 4;
/// Shortest wait of a renewal before the end of a lease that must not be extended.
constexpr duration min_renewal_wait = std::chrono::milliseconds(20);
/// Longest wait of a renewal while runs are active and replies are being lost. A lost
/// reply hides the ends of runs until the next renewal, so the wait has to be short
/// compared with their run time.
constexpr duration lossy_renewal_wait = std::chrono::milliseconds(60);
/// Time after a lost reply for which renewals are shortened.
constexpr duration loss_period = std::chrono::seconds(3);
/// Time limit of a renewal beyond the wait that it requests.
constexpr duration renewal_timeout_margin = std::chrono::milliseconds(250);
/// Least time, beyond the requested wait, after which a reply is overdue and probably
/// lost. A round trip takes some milliseconds; where replies take longer, the time
/// follows from them (overdue_reply_time()).
constexpr duration min_overdue_reply_time = std::chrono::milliseconds(60);
/// Upper limit of that time: a lost start must be noticed while its job can still end.
constexpr duration max_overdue_reply_time = std::chrono::milliseconds(400);
/// Least time limit of a start or a stop.
constexpr duration min_start_stop_timeout = std::chrono::milliseconds(150);
/// Time limit of a start or a stop as a multiple of the time after which its reply is
/// overdue. A late reply within the limit still counts, and corrects the estimate.
constexpr int start_stop_timeout_factor = 2;
/// Time between two stops of the same run.
constexpr duration stop_resend_period = std::chrono::milliseconds(100);
/// Time before the next renewal after a claim that the upstream has not accepted, after
/// the loss of a claim, and after the second and each later lost reply in a row.
constexpr duration renewal_retry_delay = std::chrono::milliseconds(250);
/// Time between two claims while runs of an earlier owner are being stopped.
constexpr duration takeover_poll_period = std::chrono::milliseconds(20);

/// Arguments that the functions of a session share.
struct session_context
{
    lease_state & m_state;
    upstream_session & m_session;
    time_point m_now;
    effects & m_out;
};

/// \returns an estimate of the upstream's clock at \p now. It is low, because the time
/// for which the last reply was in transit is left out.
upstream_clock current_clock(upstream_session const & session, time_point now) noexcept;

/// \returns true when the session's incarnation of the upstream can have read \p clock
/// from its clock between \p sent_at and \p now. The clock of each incarnation starts
/// anew, so a reading of another one is out of this range.
bool is_possible_clock(upstream_session const & session, upstream_clock clock,
                       time_point sent_at, time_point now) noexcept;

/// \returns the time from which no run of the session can hold a lease.
time_point lease_expiry(upstream_session const & session) noexcept;

/// \returns true when the lease of the session may end after \p limit.
bool exceeds_limit(upstream_session const & session, time_point limit) noexcept;

/// \returns true when a lease that is requested now does not end at once.
bool may_hold_lease(session_context const & context) noexcept;

/// \returns the longest wait of a renewal that leaves time for another one before the
/// lease ends, if the limits of the runs (requested_run::m_lease_limit) allow no longer
/// lease.
duration limited_wait(session_context const & context) noexcept;

void send_start(session_context & context, run_name run, std::string payload);
void send_stop(session_context & context, run_name run);

/// Updates the estimate of reply times from a call that was sent at \p sent_at, has no
/// wait and was answered, or reached its time limit, at \p now.
void record_reply_time(reply_time_estimate & estimate, time_point sent_at,
                       time_point now) noexcept;

/// \returns the time, beyond the requested wait, after which a reply is overdue: the mean
/// reply time plus four times its deviation, between min_overdue_reply_time and
/// max_overdue_reply_time.
duration overdue_reply_time(reply_time_estimate const & estimate) noexcept;

/// Records that a reply is overdue or lost.
void record_loss(session_context & context) noexcept;

/// \returns true when a reply was lost within the last loss_period.
bool has_recent_loss(session_context const & context) noexcept;

/// \param wait time for which the upstream may delay its reply until a run ends.
/// \param extend whether the lease of the runs on the upstream is extended.
void send_renewal(session_context & context, duration wait, bool extend);

/// Counts the lease end that \p call requested, unless its \p outcome shows that the
/// upstream has not received it.
/// \pre \p call was sent in this session and is no longer in lease_state::m_pending.
void settle_lease_end(session_context & context, pending_call const & call,
                      call_outcome outcome);

/// Adds a session_event of the upstream.
void log_session(session_context & context, std::string_view code, std::string job = {},
                 std::string detail = {});

} // namespace cassiahub::lease::internal

#endif
