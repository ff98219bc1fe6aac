#include "lease/availability.hpp"
#include "lease/replies.hpp"
#include "lease/runs.hpp"

#include <cassiahub/lease/sessions.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace cassiahub::lease
{

namespace internal
{

using dispatch::attempt_outcome;

/// Minimum time between two scans of the sessions.
constexpr duration scan_period = std::chrono::milliseconds(10);
/// A gap between two scans that exceeds this shows that this process was not scheduled.
constexpr duration max_scan_gap = std::chrono::milliseconds(40);
/// Time after such a gap to process the replies that arrived in it.
constexpr duration catch_up_time = std::chrono::milliseconds(40);
/// Longest time for which further gaps prolong the catch_up_time after a gap. Leases do
/// not shrink on a machine that schedules this process rarely all the time.
constexpr duration max_catch_up_time = std::chrono::milliseconds(200);

/// Claims the upstream with \p token.
/// \pre this instance has no run on the upstream.
void claim(session_context & context, std::uint64_t token)
{
    upstream_session & session = context.m_session;
    BOOST_ASSERT(session.m_runs.empty());
    stop_serving(context, session_phase::claiming);
    session.m_token = std::max(session.m_token, token);
    session.m_claim_token = session.m_token;
    session.m_acknowledged = 0;
    session.m_lease_until = 0;
    session.m_settled_lease_until = 0;
    session.m_next_renewal = context.m_now + renewal_retry_delay;
    send_renewal(context, duration::zero(), false);
}

/// Why a claim on an upstream is lost.
enum class claim_end
{
    fenced,       ///< another instance has claimed the upstream
    upstream_lost ///< the upstream crashed or cannot be reached
};

/// Finishes all runs because the claim on the upstream is lost. The upstream is claimed
/// again later.
/// \param code code of the logged event.
void lose_claim(session_context & context, claim_end reason, std::string_view code)
{
    upstream_session & session = context.m_session;
    log_session(context, code, {}, describe_session(context));
    if (reason == claim_end::fenced)
    {
        // The new owner stops these runs at a time that is not known here.
        finish_all_runs(context, attempt_outcome::unknown);
    }
    else
    {
        finish_lost_runs(context);
    }
    stop_serving(context, session_phase::claiming);
    // Ends the processing of replies to earlier calls. The next claim fences starts that
    // are carried out late.
    session.m_claim_token = ++session.m_token;
    session.m_renewal = 0;
    session.m_next_renewal = context.m_now + renewal_retry_delay;
}

/// Processes the first sign of a later incarnation of the upstream: its start ended all
/// earlier runs, and it knows no fencing token.
/// \param accepted_claim whether the sign is the reply to the last claim.
/// \returns false when the upstream has to be claimed again, so that the reply does not
/// count.
bool adopt_incarnation(session_context & context, std::uint64_t incarnation,
                       bool accepted_claim)
{
    upstream_session & session = context.m_session;
    bool const counts = session.m_incarnation == 0 || accepted_claim;
    if (!counts)
    {
        if (session.m_wanted)
        {
            hold_unconfirmed_runs(context);
        }
        lose_claim(context, claim_end::upstream_lost, "upstream_restarted");
    }
    if (session.m_incarnation != 0)
    {
        report_fate(context, dispatch::upstream_fate::crashed);
    }
    session.m_incarnation = incarnation;
    session.m_clock_at = {};
    if (!counts && session.m_wanted)
    {
        claim(context, session.m_token);
    }
    return counts;
}

void continue_renewal(session_context & context)
{
    upstream_session & session = context.m_session;
    if (session.m_wanted || !session.m_runs.empty())
    {
        int const divisor =
            session.m_runs.empty() ? idle_renewal_divisor : busy_renewal_divisor;
        duration const normal_wait =
            std::min(context.m_state.m_lease_length / divisor, limited_wait(context));
        bool const shorten = !session.m_runs.empty() && has_recent_loss(context);
        send_renewal(context,
                     shorten ? std::min(normal_wait, lossy_renewal_wait) : normal_wait,
                     true);
    }
}

void receive_renewal(session_context & context, upstream_reply const & reply,
                     time_point sent_at, bool current)
{
    upstream_session & session = context.m_session;
    bool const claiming = session.m_phase == session_phase::claiming;
    std::uint64_t const token = session.m_token;
    std::size_t const foreign_runs = receive_run_lists(context, reply, sent_at);
    session.m_failures = 0;
    if (!current)
    {
        if (session.m_token != token)
        {
            send_renewal(context, duration::zero(), true);
        }
        return;
    }
    session.m_renewal = 0;
    if (claiming)
    {
        settle_runs(context, reply);
    }
    if (claiming && foreign_runs > 0)
    {
        session.m_next_renewal = context.m_now + takeover_poll_period;
        return;
    }
    receive_accepted_renewal(context);
    continue_renewal(context);
}

void receive_lost_renewal(session_context & context)
{
    upstream_session & session = context.m_session;
    session.m_renewal = 0;
    ++session.m_failures;
    finish_unsettled_runs(context);
    if (session.m_phase == session_phase::serving)
    {
        log_session(context, "upstream_silent", {}, describe_session(context));
        stop_serving(context, session_phase::silent);
    }
    session.m_next_renewal =
        session.m_failures == 1 ? context.m_now : context.m_now + renewal_retry_delay;
}

/// Processes outcomes that end the claim on the upstream.
/// \returns false for every other outcome.
bool receive_session_failure(session_context & context, pending_call const & call,
                             call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::fenced:
        if (call.m_token < context.m_session.m_token)
        {
            return false; // a later call of this session has raised the token
        }
        finish_unsettled_runs(context);
        lose_claim(context, claim_end::fenced, "upstream_fenced");
        return true;
    case call_outcome::other_incarnation:
        if (call.m_address != context.m_session.m_address)
        {
            return false; // the runs continue at the address that has been registered
        }
        finish_unsettled_runs(context);
        lose_claim(context, claim_end::upstream_lost, "upstream_replaced");
        report_fate(context, dispatch::upstream_fate::crashed);
        return true;
    default:
        return false;
    }
}

bool is_released(upstream_session const & session) noexcept
{
    return !session.m_wanted && session.m_runs.empty();
}

/// Sends another renewal, without a wait, when the reply to the last one is overdue, so
/// that a lost reply does not hide the ends of runs.
void repeat_overdue_renewal(session_context & context)
{
    upstream_session & session = context.m_session;
    bool const overdue = session.m_renewal != 0 && !session.m_renewal_repeats &&
                         context.m_now >= session.m_renewal_due;
    if (overdue && !session.m_runs.empty())
    {
        record_loss(context);
        send_renewal(context, duration::zero(), true);
        session.m_renewal_repeats = true;
    }
}

/// Resends the stop of each stopped run that is not known to have ended.
void repeat_stops(session_context & context)
{
    for (auto & [task, run] : context.m_session.m_runs)
    {
        if (run.m_phase == run_phase::stopping &&
            context.m_now - run.m_stop_sent_at >= stop_resend_period)
        {
            stop_run(context, task, run);
        }
    }
}

void scan_session(session_context & context, std::uint64_t token)
{
    upstream_session & session = context.m_session;
    if (!session.m_runs.empty() && context.m_now >= lease_expiry(session))
    {
        context.m_state.m_expired += session.m_runs.size();
        lose_claim(context, claim_end::upstream_lost, "lease_lapsed");
    }
    if (session.m_phase != session_phase::claiming)
    {
        repeat_stops(context);
    }
    if (context.m_now >= context.m_state.m_backlog_until)
    {
        stop_unanswered_runs(context);
        repeat_overdue_renewal(context);
    }
    if (session.m_renewal != 0 || context.m_now < session.m_next_renewal ||
        is_released(session))
    {
        return;
    }
    if (session.m_phase == session_phase::claiming)
    {
        claim(context, token);
    }
    else
    {
        send_renewal(context, duration::zero(), true);
    }
}

/// \returns true when a start or stop was answered or reached its time limit: a
/// connection that breaks earlier shows nothing about the time to the reply.
bool shows_reply_time(pending_call const & call, call_outcome outcome,
                      time_point now) noexcept
{
    switch (outcome)
    {
    case call_outcome::unreachable:
        return false;
    case call_outcome::lost:
        return now - call.m_sent_at >= min_start_stop_timeout;
    default:
        return true;
    }
}

/// Removes the released sessions and reports their upstreams as unavailable.
void drop_released(lease_state & state, effects & out)
{
    std::erase_if(state.m_sessions,
                  [&state, &out](auto const & entry)
                  {
                      if (!is_released(entry.second))
                      {
                          return false;
                      }
                      state.m_released_token =
                          std::max(state.m_released_token, entry.second.m_token);
                      out.m_availability.push_back({entry.first, false});
                      out.m_events.push_back({"upstream_released", entry.first, {}, {}});
                      return true;
                  });
}

void open_or_update_session(lease_state & state, owned_upstream const & owned,
                            std::uint64_t token, time_point now, effects & out)
{
    upstream_session & session = state.m_sessions[owned.m_name];
    session_context context{state, session, now, out};
    if (session.m_name.empty())
    {
        session.m_name = owned.m_name;
        session.m_address = owned.m_address;
        session.m_incarnation = owned.m_incarnation;
        session.m_token = state.m_released_token + 1;
        receive_registration(context, owned.m_incarnation);
        claim(context, token);
        return;
    }
    bool const comparable = owned.m_incarnation != 0 && session.m_incarnation != 0;
    bool const outdated = comparable && owned.m_incarnation < session.m_incarnation;
    bool const restarted = comparable && owned.m_incarnation > session.m_incarnation;
    bool const moved = !outdated && session.m_address != owned.m_address;
    // The registration of an upstream that reports its start time names it, too. Another
    // writer's entry must not end the runs of an upstream that still replies.
    bool const doubtful = owned.m_incarnation == 0 && session.m_incarnation != 0;
    bool const unused =
        session.m_phase != session_phase::serving && session.m_runs.empty();
    session.m_wanted = true;
    if (restarted || (moved && !comparable && !doubtful))
    {
        if (restarted)
        {
            hold_unconfirmed_runs(context);
        }
        else
        {
            finish_unsettled_runs(context);
        }
        lose_claim(context, claim_end::upstream_lost, "upstream_replaced");
        report_fate(context, dispatch::upstream_fate::crashed);
        session.m_address = owned.m_address;
        session.m_incarnation = std::max(session.m_incarnation, owned.m_incarnation);
        session.m_clock_at = {};
        claim(context, token);
    }
    else if (moved && (!doubtful || unused))
    {
        log_session(context, "upstream_moved", {}, "address=" + owned.m_address);
        session.m_address = owned.m_address;
    }
    receive_registration(context, owned.m_incarnation);
    if (session.m_phase == session_phase::releasing)
    {
        session.m_phase = session_phase::serving;
        set_available(context, true);
    }
}

} // namespace internal

void set_owned(lease_state & state, std::span<owned_upstream const> owned,
               std::uint64_t token, time_point now, effects & out)
{
    for (auto & [name, session] : state.m_sessions)
    {
        bool const wanted = std::any_of(owned.begin(), owned.end(),
                                        [&name = name](owned_upstream const & item)
                                        { return item.m_name == name; });
        if (!wanted && session.m_wanted)
        {
            internal::session_context context{state, session, now, out};
            session.m_wanted = false;
            internal::finish_unsettled_runs(context);
            if (session.m_phase == session_phase::serving)
            {
                internal::stop_serving(context, session_phase::releasing);
            }
        }
    }
    for (owned_upstream const & item : owned)
    {
        internal::open_or_update_session(state, item, token, now, out);
    }
    internal::drop_released(state, out);
}

void start(lease_state & state, start_request order, time_point now, effects & out)
{
    auto const found = state.m_sessions.find(order.m_upstream);
    if (found == state.m_sessions.end() ||
        found->second.m_phase != session_phase::serving ||
        found->second.m_runs.contains(order.m_run.m_task) ||
        internal::exceeds_limit(found->second, order.m_lease_limit) ||
        !internal::may_hold_lease({state, found->second, now, out}))
    {
        out.m_results.push_back(
            {order.m_attempt, dispatch::attempt_outcome::not_run, {}, false});
        return;
    }
    upstream_session & session = found->second;
    requested_run run;
    run.m_attempt = order.m_attempt;
    run.m_generation = order.m_run.m_generation;
    run.m_requested_at = now;
    run.m_lease_limit = order.m_lease_limit;
    state.m_attempts[order.m_attempt] = {session.m_name, order.m_run.m_task};
    session.m_runs.emplace(order.m_run.m_task, run);
    internal::session_context context{state, session, now, out};
    internal::send_start(context, std::move(order.m_run), std::move(order.m_payload));
}

void stop(lease_state & state, attempt_id const & attempt, time_point now, effects & out)
{
    auto const known = state.m_attempts.find(attempt);
    if (known == state.m_attempts.end())
    {
        return;
    }
    auto const & [upstream, task] = known->second;
    upstream_session & session = state.m_sessions.find(upstream)->second;
    requested_run & run = session.m_runs.at(task);
    if (run.m_phase != run_phase::stopping)
    {
        internal::session_context context{state, session, now, out};
        internal::stop_run(context, task, run);
    }
}

void extend_lease_limits(lease_state & state, std::uint64_t incarnation,
                         time_point heard_at)
{
    for (auto & [name, session] : state.m_sessions)
    {
        for (auto & [task, run] : session.m_runs)
        {
            if (run.m_attempt.m_incarnation == incarnation &&
                run.m_phase != run_phase::stopping)
            {
                run.m_lease_limit =
                    std::max(run.m_lease_limit, heard_at + unwanted_run_limit);
            }
        }
    }
}

void detect_gap(lease_state & state, time_point now)
{
    if (state.m_last_scan != time_point() &&
        now - state.m_last_scan > internal::max_scan_gap)
    {
        if (state.m_last_scan >= state.m_backlog_until ||
            now - state.m_gap_ended >= internal::max_catch_up_time)
        {
            state.m_gap_began = state.m_last_scan;
            state.m_gap_ended = now;
        }
        state.m_backlog_until = now + internal::catch_up_time;
        state.m_last_scan = now;
    }
}

void receive(lease_state & state, upstream_reply const & reply, time_point now,
             effects & out)
{
    auto const pending = state.m_pending.extract(reply.m_number);
    if (!pending)
    {
        return;
    }
    pending_call const & call = pending.mapped();
    auto const found = state.m_sessions.find(call.m_upstream);
    if (found == state.m_sessions.end() || call.m_token < found->second.m_claim_token)
    {
        return; // the reply belongs to an earlier session
    }
    upstream_session & session = found->second;
    internal::session_context context{state, session, now, out};
    internal::settle_lease_end(context, call, reply.m_outcome);
    bool const is_start_or_stop = call.m_generation != 0;
    bool const current = session.m_renewal == reply.m_number;
    if (is_start_or_stop && now >= state.m_backlog_until &&
        internal::shows_reply_time(call, reply.m_outcome, now))
    {
        internal::record_reply_time(state.m_reply_time, call.m_sent_at, now);
    }
    if (internal::reported_incarnation(reply) > session.m_incarnation)
    {
        bool const accepted_claim = current &&
                                    session.m_phase == session_phase::claiming &&
                                    reply.m_outcome == call_outcome::accepted;
        if (!internal::adopt_incarnation(context, reply.m_incarnation, accepted_claim))
        {
            internal::drop_released(state, out);
            return;
        }
    }
    std::string defect = internal::find_defect(session, call, reply);
    if (!defect.empty())
    {
        internal::log_session(context, "reply_ignored", call.m_task.m_job,
                              std::move(defect));
        if (current)
        {
            internal::receive_lost_renewal(context);
        }
        internal::drop_released(state, out);
        return;
    }
    bool const confirmed = internal::is_from_incarnation(session, call, reply, now);
    if (confirmed)
    {
        internal::update_clock(session, reply, call.m_sent_at, now);
    }
    else if (is_start_or_stop && reply.m_clock)
    {
        internal::log_session(context, "unexpected_clock", call.m_task.m_job,
                              internal::describe_clock(session, *reply.m_clock, now));
    }
    if (is_start_or_stop)
    {
        // Before the claim ends: a start that was refused is known not to run.
        internal::receive_start_or_stop_reply(context, call, reply.m_outcome, confirmed);
    }
    if (internal::receive_session_failure(context, call, reply.m_outcome) ||
        is_start_or_stop)
    {
        internal::drop_released(state, out);
        return;
    }
    if (reply.m_outcome == call_outcome::accepted)
    {
        internal::receive_renewal(context, reply, call.m_sent_at, current);
    }
    else if (current)
    {
        internal::receive_lost_renewal(context);
    }
    internal::drop_released(state, out);
}

void advance(lease_state & state, std::uint64_t token, time_point now, effects & out)
{
    if (now < state.m_next_scan)
    {
        return;
    }
    state.m_next_scan = now + internal::scan_period;
    detect_gap(state, now);
    state.m_last_scan = now;
    for (auto & [name, session] : state.m_sessions)
    {
        internal::session_context context{state, session, now, out};
        internal::scan_session(context, token);
    }
    internal::drop_released(state, out);
}

void record_departure(lease_state & state, std::string_view upstream, time_point now,
                      effects & out)
{
    auto const found = state.m_sessions.find(upstream);
    if (found != state.m_sessions.end())
    {
        internal::session_context context{state, found->second, now, out};
        internal::report_fate(context, dispatch::upstream_fate::crashed);
    }
}

bool has_runs(lease_state const & state, std::string_view job)
{
    return std::any_of(state.m_sessions.begin(), state.m_sessions.end(),
                       [job](auto const & entry)
                       {
                           auto const & runs = entry.second.m_runs;
                           return std::any_of(runs.begin(), runs.end(),
                                              [job](auto const & run)
                                              { return run.first.m_job == job; });
                       });
}

std::vector<std::string> held_upstreams(lease_state const & state)
{
    std::vector<std::string> names;
    for (auto const & [name, session] : state.m_sessions)
    {
        names.push_back(name);
    }
    return names;
}

} // namespace cassiahub::lease
