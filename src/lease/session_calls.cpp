#include "lease/session_calls.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiahub::lease::internal
{

namespace
{

call_number send_call(session_context & context, duration timeout, pending_call pending,
                      std::variant<start_call, stop_call, renew_call> body)
{
    upstream_session const & session = context.m_session;
    call_number const number = context.m_state.m_next_call++;
    pending.m_upstream = session.m_name;
    pending.m_address = session.m_address;
    pending.m_token = session.m_token;
    pending.m_sent_at = context.m_now;
    time_point const send_before =
        pending.m_is_start ? context.m_now + timeout : time_point::max();
    context.m_state.m_pending.emplace(number, std::move(pending));
    context.m_out.m_calls.push_back({number, session.m_name, session.m_address,
                                     session.m_token, timeout, std::move(body),
                                     send_before});
    return number;
}

/// \returns a time that the upstream's clock has reached by \p limit, even if it is slow.
upstream_clock clock_not_after(upstream_session const & session, time_point limit)
{
    auto const passed =
        std::chrono::duration<double, std::milli>(limit - session.m_clock_at);
    double const rate = passed.count() > 0 ? 1 - clock_rate_error : 1 + clock_rate_error;
    return session.m_clock +
           static_cast<upstream_clock>(std::floor(passed.count() * rate));
}

/// \returns the latest end of a lease granted now that no run of the session forbids.
upstream_clock latest_lease_end(session_context const & context)
{
    upstream_session const & session = context.m_session;
    time_point limit = time_point::max();
    for (auto const & [task, run] : session.m_runs)
    {
        limit = std::min(limit, run.m_lease_limit);
    }
    if (context.m_now < context.m_state.m_backlog_until)
    {
        // A notice that ends a run here may have arrived in the gap.
        limit = std::min(limit, context.m_state.m_gap_began + unwanted_run_limit);
    }
    upstream_clock const longest = current_clock(session, context.m_now) +
                                   to_milliseconds(context.m_state.m_lease_length);
    return limit == time_point::max()
               ? longest
               : std::min(longest, clock_not_after(session, limit));
}

duration start_stop_timeout(lease_state const & state) noexcept
{
    return std::max<duration>(min_start_stop_timeout,
                              start_stop_timeout_factor *
                                  overdue_reply_time(state.m_reply_time));
}

upstream_clock extend_lease(session_context & context)
{
    upstream_session & session = context.m_session;
    session.m_lease_until = std::max(session.m_lease_until, latest_lease_end(context));
    return session.m_lease_until;
}

} // namespace

upstream_clock current_clock(upstream_session const & session, time_point now) noexcept
{
    return session.m_clock + to_milliseconds(now - session.m_clock_at);
}

bool is_possible_clock(upstream_session const & session, upstream_clock clock,
                       time_point sent_at, time_point now) noexcept
{
    if (session.m_clock_at == time_point())
    {
        return false;
    }
    using milliseconds = std::chrono::duration<double, std::milli>;
    double const passed = milliseconds(sent_at - session.m_clock_at).count();
    double const lowest = passed < 0 ? passed : passed * (1 - clock_rate_error);
    double const highest = milliseconds(now - session.m_clock_asked_at).count();
    auto const change = static_cast<double>(clock - session.m_clock);
    return change >= lowest - clock_reading_error &&
           change <= highest + clock_reading_error;
}

time_point lease_expiry(upstream_session const & session) noexcept
{
    double const remaining = static_cast<double>(session.m_lease_until - session.m_clock);
    auto const longest = std::chrono::duration<double, std::milli>(
        std::max(0.0, remaining) * (1 + 2 * clock_rate_error));
    return session.m_clock_at + std::chrono::duration_cast<duration>(longest) +
           lease_expiry_margin;
}

bool exceeds_limit(upstream_session const & session, time_point limit) noexcept
{
    return limit != time_point::max() &&
           session.m_lease_until > clock_not_after(session, limit);
}

bool may_hold_lease(session_context const & context) noexcept
{
    upstream_session const & session = context.m_session;
    return std::max(session.m_lease_until, latest_lease_end(context)) >
           current_clock(session, context.m_now);
}

duration limited_wait(session_context const & context) noexcept
{
    upstream_clock const end =
        std::max(context.m_session.m_lease_until, latest_lease_end(context));
    auto const remaining =
        std::chrono::milliseconds(end - current_clock(context.m_session, context.m_now));
    return std::max<duration>(remaining / idle_renewal_divisor, min_renewal_wait);
}

void send_start(session_context & context, run_name run, std::string payload)
{
    pending_call pending;
    pending.m_task = run.m_task;
    pending.m_generation = run.m_generation;
    pending.m_is_start = true;
    upstream_clock const until = extend_lease(context);
    pending.m_lease_until = until;
    send_call(context, start_stop_timeout(context.m_state), std::move(pending),
              start_call{std::move(run), std::move(payload), until});
}

void send_stop(session_context & context, run_name run)
{
    pending_call pending;
    pending.m_task = run.m_task;
    pending.m_generation = run.m_generation;
    send_call(context, start_stop_timeout(context.m_state), std::move(pending),
              stop_call{std::move(run)});
}

void send_renewal(session_context & context, duration wait, bool extend)
{
    upstream_session & session = context.m_session;
    pending_call pending;
    renew_call call;
    call.m_acknowledged = session.m_acknowledged;
    call.m_wait = wait;
    if (extend)
    {
        upstream_clock const until = extend_lease(context);
        if (until > current_clock(session, context.m_now))
        {
            call.m_lease_until = until;
            pending.m_lease_until = until;
        }
    }
    duration const overdue = overdue_reply_time(context.m_state.m_reply_time);
    duration const margin =
        std::max<duration>(renewal_timeout_margin, start_stop_timeout_factor * overdue);
    session.m_renewal = send_call(context, wait + margin, std::move(pending), call);
    session.m_renewal_due = context.m_now + wait + overdue;
    session.m_renewal_repeats = false;
}

void settle_lease_end(session_context & context, pending_call const & call,
                      call_outcome outcome)
{
    upstream_session & session = context.m_session;
    if (outcome != call_outcome::unreachable)
    {
        session.m_settled_lease_until =
            std::max(session.m_settled_lease_until, call.m_lease_until);
        return;
    }
    session.m_lease_until = session.m_settled_lease_until;
    for (auto const & [number, in_flight] : context.m_state.m_pending)
    {
        if (in_flight.m_upstream == session.m_name &&
            in_flight.m_token >= session.m_claim_token)
        {
            session.m_lease_until =
                std::max(session.m_lease_until, in_flight.m_lease_until);
        }
    }
}

void record_reply_time(reply_time_estimate & estimate, time_point sent_at,
                       time_point now) noexcept
{
    // Weights of the round-trip estimate of RFC 6298.
    constexpr int mean_weight = 8;
    constexpr int deviation_weight = 4;
    duration const measured = now - sent_at;
    if (estimate.m_smoothed == duration::zero())
    {
        estimate = {measured, measured / 2};
        return;
    }
    duration const error = measured - estimate.m_smoothed;
    estimate.m_deviation +=
        (std::chrono::abs(error) - estimate.m_deviation) / deviation_weight;
    estimate.m_smoothed += error / mean_weight;
}

duration overdue_reply_time(reply_time_estimate const & estimate) noexcept
{
    constexpr int deviations = 4;
    return std::clamp<duration>(estimate.m_smoothed + deviations * estimate.m_deviation,
                                min_overdue_reply_time, max_overdue_reply_time);
}

void record_loss(session_context & context) noexcept
{
    context.m_state.m_last_loss = context.m_now;
}

bool has_recent_loss(session_context const & context) noexcept
{
    return context.m_state.m_last_loss != time_point() &&
           context.m_now - context.m_state.m_last_loss < loss_period;
}

void log_session(session_context & context, std::string_view code, std::string job,
                 std::string detail)
{
    context.m_out.m_events.push_back(
        {code, context.m_session.m_name, std::move(job), std::move(detail)});
}

} // namespace cassiahub::lease::internal
