#ifndef CASSIAHUB_SRC_LEASE_SESSION_CALLS_HPP
#define CASSIAHUB_SRC_LEASE_SESSION_CALLS_HPP

#include <cassiahub/lease/effects.hpp>
#include <cassiahub/lease/state.hpp>

namespace cassiahub::lease::internal
{

/// An upstream's clock may be this much slower than this instance's.
constexpr double clock_rate_error = 0.02;
/// Added to a lease before its runs count as ended: scheduling of both processes.
constexpr duration lapse_margin = std::chrono::milliseconds(30);
/// The same when nothing runs.
constexpr int idle_renewal_part = 2;
/// A renewal waits this part of the lease for an end while something runs. It leaves time
/// for two more attempts.
constexpr int busy_renewal_part = 4;
/// The same while replies are being lost. A lost one hides the ends of tasks until the
/// next renewal, which has to be short beside their run time.
constexpr duration lossy_renewal_wait = std::chrono::milliseconds(60);
/// Time after a loss for which more are expected.
constexpr duration loss_memory = std::chrono::seconds(3);
/// Time for a reply beyond the wait that the upstream was asked for.
constexpr duration renewal_slack = std::chrono::milliseconds(250);
/// A reply that takes longer, beyond the wait, is probably lost: a round trip takes some
/// milliseconds.
constexpr duration reply_patience = std::chrono::milliseconds(60);
/// A start or a stop without a reply for this long counts as lost.
constexpr duration order_timeout = std::chrono::milliseconds(150);
/// Time between two stops of the same run.
constexpr duration stop_period = std::chrono::milliseconds(100);
/// Time between two claims of an upstream that does not accept them.
constexpr duration claim_period = std::chrono::milliseconds(250);
/// Time between two looks while runs of an earlier owner are being stopped.
constexpr duration eviction_period = std::chrono::milliseconds(20);

/// Arguments that every function of a session needs.
struct session_context
{
    lease_state & m_state;
    upstream_session & m_session;
    time_point m_now;
    effects & m_out;
};

/// \returns the earliest time that the upstream's clock may show now.
upstream_clock current_clock(upstream_session const & session, time_point now) noexcept;

/// \returns the time after which no run of the session can have a lease.
time_point lapse_time(upstream_session const & session) noexcept;

void send_start(session_context & context, run_name run, std::string payload);
void send_stop(session_context & context, run_name run);

/// Notes that a reply is late or lost.
void note_loss(session_context & context) noexcept;

/// \returns true while more lost replies are expected.
bool expects_losses(session_context const & context) noexcept;

/// \param extend whether the lease of everything that runs there is extended.
void send_renewal(session_context & context, duration wait, bool extend);

void log_session(session_context & context, std::string_view code, std::string job = {},
                 std::string detail = {});

} // namespace cassiahub::lease::internal

#endif
