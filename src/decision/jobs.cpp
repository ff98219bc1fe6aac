#include "decision/context.hpp"
#include "decision/leasing.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/membership/members.hpp>
#include <cassiahub/ownership/owner.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace cassiahub::decision::internal
{

void answer(step_context & context, answer_route const & route, job_answer answer)
{
    if (route.m_may_have_run && answer.m_ran == run_state::no)
    {
        answer = {job_errc::outcome_unknown, run_state::unknown, {}, {}};
    }
    if (!route.m_peer.m_value.empty())
    {
        send(context, route.m_peer, request_answered{route.m_request, std::move(answer)});
    }
    else if (context.m_state.m_callers.erase(route.m_caller) > 0)
    {
        context.m_actions.emplace_back(answer_caller{route.m_caller, std::move(answer)});
    }
}

void refuse(step_context & context, answer_route const & route, std::error_code error)
{
    answer(context, route, {error, run_state::no, refusal_retry_after, {}});
}

void close_job(step_context & context, job_key const & key, job_answer const & result)
{
    auto const found = context.m_state.m_open_jobs.find(key);
    if (found == context.m_state.m_open_jobs.end())
    {
        return;
    }
    open_job const job = std::move(found->second);
    context.m_state.m_open_jobs.erase(found);
    context.m_actions.emplace_back(observe_job{
        key.m_tenant, job.m_kind, context.m_now - job.m_submitted, result.m_error});
    if (context.m_state.m_identity.m_leases_upstreams)
    {
        log_job_end(context, key, job, result);
    }
    for (answer_route const & route : job.m_answer_routes)
    {
        answer(context, route, result);
    }
}

void finish_job(step_context & context, dispatch::job_outcome outcome)
{
    auto const found = context.m_state.m_open_jobs.find(outcome.m_key);
    if (found == context.m_state.m_open_jobs.end())
    {
        return;
    }
    if (outcome.m_answer.m_error == job_errc::crashes_upstreams ||
        outcome.m_answer.m_error == job_errc::crash_suspected ||
        outcome.m_answer.m_error == job_errc::outcome_unknown)
    {
        log_forbidden_tasks(context, outcome.m_key);
    }
    if (found->second.m_abort_error)
    {
        outcome.m_answer =
            found->second.m_started
                ? job_answer{job_errc::outcome_unknown, run_state::unknown, {}, {}}
                : job_answer{found->second.m_abort_error,
                             run_state::no,
                             refusal_retry_after,
                             {}};
    }
    if (!context.m_state.m_identity.m_leases_upstreams)
    {
        ownership::finish_job(context.m_state.m_ownership, outcome.m_key,
                              outcome.m_answer, context.m_now);
    }
    close_job(context, outcome.m_key, outcome.m_answer);
}

void abort_job(step_context & context, job_key const & key, std::error_code error)
{
    auto const found = context.m_state.m_open_jobs.find(key);
    if (found == context.m_state.m_open_jobs.end())
    {
        return;
    }
    found->second.m_abort_error = error;
    dispatch::effects effects;
    dispatch::cancel_job(context.m_state.m_dispatch, key, context.m_now, effects);
    apply(context, std::move(effects));
}

void abort_all_requests(step_context & context)
{
    entry_state & state = context.m_state;
    std::vector<job_key> open_keys;
    for (auto const & [key, job] : state.m_open_jobs)
    {
        open_keys.push_back(key);
    }
    for (job_key const & key : open_keys)
    {
        abort_job(context, key, job_errc::draining);
    }
    auto const forwarded = std::exchange(state.m_forwarded, {});
    for (auto const & [number, request] : forwarded)
    {
        answer(context, request.m_route,
               {job_errc::outcome_unknown, run_state::unknown, {}, {}});
    }
}

/// Limits the send time of a start by the lease on the job's shard. Where upstreams are
/// leased, assigns the generation of the start instead.
/// \returns false when the start must not be sent. A job whose lease has expired is
/// aborted.
bool permit_start(step_context & context, dispatch::attempt_start & start)
{
    auto const found = context.m_state.m_open_jobs.find(start.m_job);
    if (found == context.m_state.m_open_jobs.end())
    {
        return false;
    }
    if (context.m_state.m_identity.m_leases_upstreams)
    {
        start.m_generation = next_generation(context);
        found->second.m_started = true;
        ++found->second.m_starts;
        if (found->second.m_first_start == time_point())
        {
            found->second.m_first_start = context.m_now;
        }
        return true;
    }
    std::optional<time_point> const limit = ownership::send_deadline(
        context.m_state.m_ownership, start.m_job, start.m_token, context.m_now);
    if (!limit)
    {
        abort_job(context, start.m_job, job_errc::lease_lapsed);
        return false;
    }
    start.m_send_before = std::min(start.m_send_before, *limit);
    found->second.m_started = true;
    return true;
}

/// Logs a start of a task that this instance has attempted before.
/// \param place "upstream=NAME" or "peer=NAME".
void log_repeated_start(step_context & context, dispatch::attempt_start const & start,
                        std::string_view place)
{
    if (start.m_earlier_attempts > 0)
    {
        context.m_actions.emplace_back(log_event{
            "run_repeated",
            start.m_job.m_key,
            {},
            fmt::format("{} task={} generation={} earlier={}", place, start.m_task,
                        start.m_generation, start.m_earlier_attempts)});
    }
}

/// Reports an attempt as not run to the dispatcher, which then frees its slot.
void report_unsent_attempt(step_context & context, attempt_id const & id)
{
    dispatch::effects effects;
    dispatch::finish_attempt(context.m_state.m_dispatch,
                             {id, dispatch::attempt_outcome::not_run, {}, false},
                             context.m_now, context.m_random, effects);
    apply(context, std::move(effects));
}

/// Sends a task to a peer, with its times converted to the peer's clock.
void forward(step_context & context, dispatch::task_forward & task)
{
    membership::member const * const peer =
        membership::find_live(context.m_state.m_membership, task.m_to);
    if (peer == nullptr)
    {
        report_unsent_attempt(context, task.m_start.m_attempt);
        return;
    }
    task.m_start.m_deadline = membership::to_peer_clock(*peer, task.m_start.m_deadline);
    task.m_start.m_send_before =
        membership::to_peer_clock(*peer, task.m_start.m_send_before);
    membership::record_request(context.m_state.m_membership, task.m_to, context.m_now);
    send(context, task.m_to, forward_task{std::move(task.m_start)});
}

void report_pair_changes(step_context & context,
                         std::span<dispatch::pair_report const> reports)
{
    for (dispatch::pair_report const & report : reports)
    {
        interference::pair_change const & change = report.m_change;
        context.m_actions.emplace_back(
            log_event{change.m_apart ? "kinds_kept_apart" : "kinds_together_again",
                      report.m_kind,
                      {},
                      fmt::format("beside={} slowdown={:.2f} weight={:.1f} age_ms={}",
                                  report.m_neighbour, change.m_slowdown, change.m_weight,
                                  to_milliseconds(change.m_age))});
    }
}

void apply(step_context & context, dispatch::effects effects)
{
    // Cancellations come first: they free the slots that the starts use.
    bool const leased = context.m_state.m_identity.m_leases_upstreams;
    for (dispatch::attempt_cancel & cancel : effects.m_cancels)
    {
        if (leased)
        {
            stop_run(context, cancel.m_attempt);
        }
        else
        {
            context.m_actions.emplace_back(std::move(cancel));
        }
    }
    for (dispatch::forward_cancel const & cancel : effects.m_forward_cancels)
    {
        send(context, cancel.m_to, cancel_task{cancel.m_attempt});
    }
    std::uint64_t const incarnation = context.m_state.m_identity.m_incarnation;
    for (dispatch::attempt_start & start : effects.m_starts)
    {
        // A task that another instance forwarded is already limited by that instance's
        // lease.
        if (start.m_attempt.m_incarnation == incarnation && !permit_start(context, start))
        {
            report_unsent_attempt(context, start.m_attempt);
        }
        else if (leased)
        {
            log_repeated_start(context, start, "upstream=" + start.m_upstream);
            start_run(context, std::move(start));
        }
        else
        {
            context.m_actions.emplace_back(std::move(start));
        }
    }
    for (dispatch::task_forward & task : effects.m_forwards)
    {
        if (permit_start(context, task.m_start))
        {
            log_repeated_start(context, task.m_start, "peer=" + task.m_to.m_value);
            forward(context, task);
        }
        else
        {
            report_unsent_attempt(context, task.m_start.m_attempt);
        }
    }
    report_losses(context, effects.m_losses);
    report_pair_changes(context, effects.m_pair_changes);
    for (dispatch::forward_result & result : effects.m_forward_results)
    {
        send(context, result.m_to, task_reported{std::move(result.m_result)});
    }
    for (dispatch::job_outcome & outcome : effects.m_finished)
    {
        finish_job(context, std::move(outcome));
    }
}

/// Admits a job of a key that this instance owns, or refuses it.
void open_new_job(step_context & context, answer_route const & route, job_spec & spec,
                  std::uint64_t job_hash, time_point deadline)
{
    entry_state & state = context.m_state;
    std::error_code error =
        dispatch::check_admission(state.m_dispatch, spec, context.m_now);
    if (!error)
    {
        config::work_kind const * const kind =
            config::find_kind(*state.m_dispatch.m_configuration, spec.m_kind);
        error = ownership::admit_job(
            state.m_ownership, {spec.m_key, job_hash, kind->m_repeatable, deadline});
    }
    if (error)
    {
        refuse_submission(context, route, spec.m_key, error);
        return;
    }
    open_job job;
    job.m_kind = spec.m_kind;
    job.m_submitted = context.m_now;
    job.m_answer_routes.push_back(route);
    job.m_job_hash = job_hash;
    job.m_deadline = deadline;
    job_key key = spec.m_key;
    job.m_spec = std::move(spec);
    state.m_open_jobs.emplace(std::move(key), std::move(job));
}

/// Handles a request for a job that is open on this instance.
void handle_open_job(step_context & context, answer_route const & route,
                     key_operation operation, job_spec const & spec, open_job & job,
                     time_point deadline)
{
    switch (operation)
    {
    case key_operation::submit:
        if (ownership::hash_job(spec) != job.m_job_hash)
        {
            answer(context, route, {job_errc::key_reused, run_state::unknown, {}, {}});
            return;
        }
        job.m_answer_routes.push_back(route);
        if (route.m_peer.m_value.empty() && deadline < job.m_deadline)
        {
            context.m_state.m_caller_deadlines.emplace(
                deadline, std::pair(spec.m_key, route.m_caller));
        }
        break;
    case key_operation::count:
    case key_operation::query:
        answer(context, route,
               {job_errc::in_progress, run_state::unknown, refusal_retry_after, {}});
        break;
    case key_operation::cancel:
    {
        job.m_answer_routes.push_back(route);
        dispatch::effects effects;
        if (job.m_queued)
        {
            dispatch::cancel_job(context.m_state.m_dispatch, spec.m_key, context.m_now,
                                 effects);
        }
        else
        {
            effects.m_finished.push_back(
                {spec.m_key, {job_errc::cancelled, run_state::no, {}, {}}});
        }
        apply(context, std::move(effects));
        break;
    }
    }
}

void expire_callers(step_context & context)
{
    entry_state & state = context.m_state;
    while (!state.m_caller_deadlines.empty() &&
           state.m_caller_deadlines.begin()->first <= context.m_now)
    {
        auto const [key, caller] = std::move(state.m_caller_deadlines.begin()->second);
        state.m_caller_deadlines.erase(state.m_caller_deadlines.begin());
        auto const job = state.m_open_jobs.find(key);
        if (job == state.m_open_jobs.end() || !state.m_callers.contains(caller))
        {
            continue;
        }
        std::erase_if(job->second.m_answer_routes,
                      [caller = caller](answer_route const & route) {
                          return route.m_peer.m_value.empty() && route.m_caller == caller;
                      });
        answer(context, {caller, {}, 0, false},
               {job_errc::outcome_unknown, run_state::unknown, {}, {}});
    }
}

void cancel_abandoned_job(step_context & context, caller_id caller)
{
    entry_state & state = context.m_state;
    if (!state.m_identity.m_leases_upstreams)
    {
        return;
    }
    for (auto & [key, job] : state.m_open_jobs)
    {
        std::erase_if(job.m_answer_routes, [caller](answer_route const & route)
                      { return route.m_caller == caller; });
        if (job.m_answer_routes.empty())
        {
            job_key const abandoned = key;
            context.m_actions.emplace_back(
                log_event{"caller_left",
                          key.m_key,
                          {},
                          fmt::format("request={} age_ms={} starts={}", job.m_request_id,
                                      to_milliseconds(context.m_now - job.m_submitted),
                                      job.m_starts)});
            abort_job(context, abandoned, job_errc::cancelled);
            return;
        }
    }
}

bool handle_own_key(step_context & context, answer_route const & route,
                    key_operation operation, job_spec & spec, time_point deadline)
{
    entry_state & state = context.m_state;
    if (auto const found = state.m_open_jobs.find(spec.m_key);
        found != state.m_open_jobs.end())
    {
        handle_open_job(context, route, operation, spec, found->second, deadline);
        return true;
    }
    bool const submit = operation == key_operation::submit;
    if (state.m_identity.m_leases_upstreams)
    {
        if (submit)
        {
            submit_unrecorded(context, route, spec, deadline);
        }
        else
        {
            refuse(context, route, job_errc::not_found);
        }
        return true;
    }
    std::uint64_t const job_hash = submit ? ownership::hash_job(spec) : 0;
    ownership::key_lookup lookup =
        ownership::find_key(state.m_ownership, spec.m_key, job_hash);
    switch (lookup.m_status)
    {
    case ownership::key_status::not_owner:
        return false;
    case ownership::key_status::not_known:
        if (submit)
        {
            open_new_job(context, route, spec, job_hash, deadline);
        }
        else
        {
            refuse(context, route, job_errc::not_found);
        }
        return true;
    case ownership::key_status::waiting:
        // Not reached: every open record has an open job, as check_invariants() verifies.
        answer(context, route, {job_errc::outcome_unknown, run_state::unknown, {}, {}});
        return true;
    case ownership::key_status::answered:
        answer(context, route, std::move(lookup.m_answer));
        return true;
    }
    return false;
}

} // namespace cassiahub::decision::internal
