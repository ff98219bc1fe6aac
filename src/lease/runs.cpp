#include "lease/runs.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cassiahub::lease::internal
{

using dispatch::attempt_outcome;

namespace
{

attempt_outcome outcome_of(end_cause cause) noexcept
{
    switch (cause)
    {
    case end_cause::succeeded:
        return attempt_outcome::succeeded;
    case end_cause::failed:
        return attempt_outcome::failed;
    case end_cause::stopped:
    case end_cause::expired:
    case end_cause::broken:
        return attempt_outcome::interrupted;
    }
    return attempt_outcome::interrupted;
}

std::string_view code_of(attempt_outcome outcome) noexcept
{
    switch (outcome)
    {
    case attempt_outcome::succeeded:
        return "run_succeeded";
    case attempt_outcome::failed:
        return "run_failed";
    case attempt_outcome::not_run:
        return "run_refused";
    case attempt_outcome::interrupted:
        return "run_interrupted";
    case attempt_outcome::unknown:
        return "run_unknown";
    }
    return "run_unknown";
}

std::string describe(session_context const & context, task_name const & task,
                     requested_run const & run)
{
    std::string_view const phase = run.m_phase == run_phase::starting  ? "starting"
                                   : run.m_phase == run_phase::running ? "running"
                                                                       : "stopping";
    return fmt::format("task={} generation={} phase={} percent={} accepted={} "
                       "confirmed={} age_ms={} incarnation={}",
                       task.m_index, run.m_generation, phase, run.m_percent,
                       run.m_uncertain ? "unknown" : "yes",
                       run.m_confirmed ? "yes" : "no",
                       to_milliseconds(context.m_now - run.m_requested_at),
                       context.m_session.m_incarnation);
}

void report_result(session_context & context, task_name const & task,
                   requested_run const & run, attempt_outcome outcome)
{
    if (outcome != attempt_outcome::succeeded)
    {
        log_session(context, code_of(outcome), task.m_job, describe(context, task, run));
    }
    context.m_out.m_results.push_back({run.m_attempt, outcome, {}, false});
}

/// Reports a run that was lost with \p incarnation of the upstream, unless it had been
/// stopped there.
/// \returns true if it was lost.
bool report_lost(session_context & context, task_name const & task,
                 requested_run const & run, attempt_outcome outcome,
                 std::uint64_t incarnation)
{
    report_result(context, task, run, outcome);
    if (run.m_stop_confirmed)
    {
        return false;
    }
    dispatch::attempt_result & result = context.m_out.m_results.back();
    result.m_upstream_lost = true;
    result.m_upstream_incarnation = incarnation;
    result.m_lost_at_start = run.m_percent == 0;
    return true;
}

/// Reports an unsettled run that the session's incarnation neither runs nor has ended.
void report_unsettled(session_context & context, task_name const & task,
                      requested_run const & run, attempt_outcome outcome)
{
    upstream_session const & session = context.m_session;
    if (run.m_incarnation == session.m_incarnation)
    {
        report_result(context, task, run, outcome);
    }
    else if (report_lost(context, task, run, outcome, run.m_incarnation))
    {
        context.m_out.m_fates.push_back(
            {{session.m_name, run.m_incarnation}, dispatch::upstream_fate::crashed, {}});
    }
}

requested_run * find_run(upstream_session & session, task_name const & task,
                         std::uint64_t generation)
{
    auto const found = session.m_runs.find(task);
    return found != session.m_runs.end() && found->second.m_generation == generation
               ? &found->second
               : nullptr;
}

void stop_unanswered_run(session_context & context, task_name const & task,
                         requested_run & run)
{
    ++context.m_state.m_uncertain;
    record_loss(context);
    log_session(context, "start_without_reply", task.m_job,
                fmt::format("task={} generation={} waited_ms={}", task.m_index,
                            run.m_generation,
                            to_milliseconds(context.m_now - run.m_requested_at)));
    stop_run(context, task, run);
}

void receive_start_reply(session_context & context, task_name const & task,
                         requested_run & run, call_outcome outcome, bool confirmed)
{
    switch (outcome)
    {
    case call_outcome::accepted:
        run.m_uncertain = false;
        run.m_confirmed = run.m_confirmed || confirmed;
        run.m_progress_at = context.m_now;
        if (run.m_phase == run_phase::starting)
        {
            run.m_phase = run_phase::running;
        }
        break;
    case call_outcome::lost:
        if (run.m_uncertain && run.m_phase == run_phase::starting)
        {
            stop_unanswered_run(context, task, run);
        }
        break;
    default:
        finish_run(context, task, attempt_outcome::not_run);
    }
}

void update_listed_run(session_context & context, listed_run const & listed,
                       requested_run & run)
{
    run.m_uncertain = false;
    run.m_confirmed = true;
    if (run.m_phase == run_phase::starting)
    {
        run.m_phase = run_phase::running;
    }
    if (run.m_percent != listed.m_percent || run.m_progress_at == time_point())
    {
        run.m_percent = listed.m_percent;
        run.m_progress_at = context.m_now;
    }
    else if (run.m_phase == run_phase::running &&
             context.m_now - run.m_progress_at > stall_timeout)
    {
        ++context.m_state.m_stalled;
        log_session(context, "run_stalled", listed.m_run.m_task.m_job,
                    "percent=" + std::to_string(listed.m_percent));
        stop_run(context, listed.m_run.m_task, run);
    }
}

bool is_listed(upstream_reply const & reply, task_name const & task,
               std::uint64_t generation)
{
    return std::any_of(reply.m_running.begin(), reply.m_running.end(),
                       [&](listed_run const & listed) {
                           return listed.m_run.m_generation == generation &&
                                  listed.m_run.m_task == task;
                       });
}

/// Finishes the runs that the upstream does not list although it would list them if they
/// were active.
void finish_absent_runs(session_context & context, upstream_reply const & reply,
                        time_point sent_at)
{
    std::vector<std::pair<task_name, attempt_outcome>> absent;
    for (auto const & [task, run] : context.m_session.m_runs)
    {
        // A renewal sent before the reply to a start or stop has arrived may have been
        // served before that call. The start may then have been carried out in between.
        bool const known =
            run.m_phase == run_phase::stopping
                ? run.m_first_call_after_stop != 0 &&
                      reply.m_number >= run.m_first_call_after_stop
                : run.m_phase == run_phase::running && run.m_progress_at < sent_at;
        if (known && !is_listed(reply, task, run.m_generation))
        {
            absent.emplace_back(task, run.m_uncertain ? attempt_outcome::not_run
                                                      : attempt_outcome::interrupted);
        }
    }
    bool fence = false;
    for (auto const & [task, outcome] : absent)
    {
        fence = fence || outcome == attempt_outcome::not_run;
        finish_run(context, task, outcome);
    }
    if (fence)
    {
        // A later incarnation does not know the stop. The next call fences the start
        // there.
        ++context.m_session.m_token;
    }
}

} // namespace

void finish_run(session_context & context, task_name const & task,
                attempt_outcome outcome)
{
    auto const found = context.m_session.m_runs.find(task);
    if (found == context.m_session.m_runs.end())
    {
        return;
    }
    requested_run const run = found->second;
    context.m_session.m_runs.erase(found);
    context.m_state.m_attempts.erase(run.m_attempt);
    report_result(context, task, run, outcome);
}

void finish_all_runs(session_context & context, attempt_outcome outcome)
{
    while (!context.m_session.m_runs.empty())
    {
        task_name const task = context.m_session.m_runs.begin()->first;
        finish_run(context, task, outcome);
    }
}

void finish_lost_runs(session_context & context)
{
    upstream_session & session = context.m_session;
    for (auto const & [task, run] : std::exchange(session.m_runs, {}))
    {
        context.m_state.m_attempts.erase(run.m_attempt);
        auto const outcome =
            run.m_confirmed ? attempt_outcome::interrupted : attempt_outcome::unknown;
        if (report_lost(context, task, run, outcome, session.m_incarnation))
        {
            session.m_lost_incarnation = session.m_incarnation;
        }
    }
}

void report_fate(session_context & context, dispatch::upstream_fate fate)
{
    upstream_session & session = context.m_session;
    if (auto const lost = std::exchange(session.m_lost_incarnation, std::nullopt))
    {
        context.m_out.m_fates.push_back({{session.m_name, *lost}, fate, {}});
    }
}

void hold_unconfirmed_runs(session_context & context)
{
    upstream_session & session = context.m_session;
    std::erase_if(session.m_runs,
                  [&](auto const & entry)
                  {
                      if (entry.second.m_confirmed)
                      {
                          return false;
                      }
                      context.m_state.m_attempts.erase(entry.second.m_attempt);
                      auto const held = session.m_unsettled.insert(entry);
                      if (held.second)
                      {
                          held.first->second.m_incarnation = session.m_incarnation;
                      }
                      return true;
                  });
}

void settle_runs(session_context & context, upstream_reply const & reply)
{
    for (auto & [task, run] : context.m_session.m_unsettled)
    {
        if (is_listed(reply, task, run.m_generation))
        {
            run.m_incarnation = context.m_session.m_incarnation;
        }
    }
    std::erase_if(
        context.m_session.m_unsettled,
        [&](auto const & entry)
        {
            auto const & [task, run] = entry;
            if (is_listed(reply, task, run.m_generation))
            {
                return false;
            }
            run_name const name{task, run.m_generation};
            auto const end = std::find_if(reply.m_ended.begin(), reply.m_ended.end(),
                                          [&name](listed_end const & item)
                                          { return item.m_run == name; });
            if (end != reply.m_ended.end())
            {
                report_result(context, task, run, outcome_of(end->m_cause));
            }
            else
            {
                report_unsettled(context, task, run, attempt_outcome::interrupted);
            }
            return true;
        });
}

void finish_unsettled_runs(session_context & context)
{
    for (auto const & [task, run] : context.m_session.m_unsettled)
    {
        report_unsettled(context, task, run, attempt_outcome::unknown);
    }
    context.m_session.m_unsettled.clear();
}

void stop_run(session_context & context, task_name const & task, requested_run & run)
{
    if (run.m_phase != run_phase::stopping)
    {
        // The cause of a stop that is processed after a gap may be as old as the gap.
        time_point const unwanted_since = context.m_now < context.m_state.m_backlog_until
                                              ? context.m_state.m_gap_began
                                              : context.m_now;
        run.m_lease_limit =
            std::min(run.m_lease_limit, unwanted_since + unwanted_run_limit);
    }
    run.m_phase = run_phase::stopping;
    run.m_stop_sent_at = context.m_now;
    send_stop(context, {task, run.m_generation});
}

void stop_unanswered_runs(session_context & context)
{
    duration const overdue = overdue_reply_time(context.m_state.m_reply_time);
    for (auto & [task, run] : context.m_session.m_runs)
    {
        if (run.m_phase == run_phase::starting && run.m_uncertain &&
            context.m_now - run.m_requested_at >= overdue)
        {
            stop_unanswered_run(context, task, run);
        }
    }
}

void receive_start_or_stop_reply(session_context & context, pending_call const & call,
                                 call_outcome outcome, bool confirmed)
{
    requested_run * const run =
        find_run(context.m_session, call.m_task, call.m_generation);
    if (run == nullptr)
    {
        return;
    }
    if (call.m_is_start)
    {
        receive_start_reply(context, call.m_task, *run, outcome, confirmed);
        if (outcome == call_outcome::accepted && !confirmed)
        {
            // The list of a renewal tells which incarnation runs the task.
            send_renewal(context, duration::zero(), false);
        }
    }
    else if (outcome == call_outcome::accepted)
    {
        run->m_stop_confirmed = run->m_stop_confirmed || confirmed;
        if (run->m_first_call_after_stop == 0)
        {
            run->m_first_call_after_stop = context.m_state.m_next_call;
        }
        if (run->m_uncertain)
        {
            // The renewal in flight may have been sent before the stop.
            send_renewal(context, duration::zero(), true);
        }
    }
}

std::size_t receive_run_lists(session_context & context, upstream_reply const & reply,
                              time_point sent_at)
{
    upstream_session & session = context.m_session;
    for (listed_end const & end : reply.m_ended)
    {
        session.m_acknowledged = std::max(session.m_acknowledged, end.m_number);
        if (find_run(session, end.m_run.m_task, end.m_run.m_generation) != nullptr)
        {
            finish_run(context, end.m_run.m_task, outcome_of(end.m_cause));
        }
    }
    std::size_t foreign_runs = 0;
    for (listed_run const & listed : reply.m_running)
    {
        requested_run * const run =
            find_run(session, listed.m_run.m_task, listed.m_run.m_generation);
        if (run != nullptr)
        {
            update_listed_run(context, listed, *run);
        }
        else
        {
            ++foreign_runs;
            log_session(context, "foreign_run_stopped", listed.m_run.m_task.m_job,
                        fmt::format("task={} generation={} percent={} incarnation={}",
                                    listed.m_run.m_task.m_index,
                                    listed.m_run.m_generation, listed.m_percent,
                                    session.m_incarnation));
            send_stop(context, listed.m_run);
        }
    }
    finish_absent_runs(context, reply, sent_at);
    return foreign_runs;
}

} // namespace cassiahub::lease::internal
