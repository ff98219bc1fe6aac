#include "decision/leasing.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/lease/sessions.hpp>
#include <cassiahub/membership/members.hpp>
#include <cassiahub/membership/rendezvous.hpp>
#include <cassiahub/ownership/owner.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cassiahub::decision::internal
{

namespace
{

/// Time between two assignments of the upstreams when nothing has changed.
constexpr duration assignment_period = std::chrono::milliseconds(250);
/// Range of tokens for one millisecond; the instance's incarnation selects one of them,
/// so that claims of two instances in the same millisecond rarely have equal tokens.
constexpr std::uint64_t tokens_per_millisecond = 4096;
/// Age beyond which the copy of the configuration does not prove that there is no route:
/// the time in which a change must be in force everywhere.
constexpr duration max_configuration_age = std::chrono::seconds(2);

/// \returns the fencing token for claims made now; 0 while the store's clock is not
/// known.
std::uint64_t current_token(step_context const & context)
{
    std::int64_t const clock = fleet_clock(context.m_state.m_leasing, context.m_now);
    return clock == 0
               ? 0
               : static_cast<std::uint64_t>(clock) * tokens_per_millisecond +
                     context.m_state.m_identity.m_incarnation % tokens_per_millisecond;
}

/// \returns the instances that upstreams may be assigned to, sorted by name. Includes
/// this instance unless it is draining.
std::vector<membership::placed_name> list_candidates(step_context const & context)
{
    entry_state const & state = context.m_state;
    std::vector<membership::placed_name> candidates;
    for (auto const & [id, entry] : state.m_membership.m_members)
    {
        if (!entry.m_report.m_leaving &&
            membership::may_be_alive(state.m_membership, entry, context.m_now))
        {
            candidates.push_back({id.m_value, entry.m_domain});
        }
    }
    if (!state.m_draining)
    {
        candidates.push_back(
            {state.m_identity.m_instance.m_value, state.m_identity.m_domain});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](auto const & left, auto const & right)
              { return left.m_name < right.m_name; });
    return candidates;
}

/// \returns true when another live instance reports a lease on \p upstream.
bool is_held_by_live_peer(entry_state const & state, std::string const & upstream)
{
    return std::any_of(
        state.m_membership.m_members.begin(), state.m_membership.m_members.end(),
        [&upstream](auto const & item)
        {
            auto const & held = item.second.m_report.m_held_upstreams;
            return item.second.m_live &&
                   std::find(held.begin(), held.end(), upstream) != held.end();
        });
}

/// \returns the number of open jobs of \p kind that were not started.
std::size_t count_waiting_jobs(entry_state const & state, std::string const & kind)
{
    return static_cast<std::size_t>(std::count_if(
        state.m_open_jobs.begin(), state.m_open_jobs.end(),
        [&kind](auto const & entry)
        { return entry.second.m_kind == kind && !entry.second.m_started; }));
}

/// Logs a refusal together with the load at that time.
void log_refusal(step_context & context, std::string subject, std::string const & label,
                 std::error_code error)
{
    entry_state const & state = context.m_state;
    dispatch::peer_load const load = dispatch::total_load(state.m_dispatch);
    context.m_actions.emplace_back(
        log_event{"job_refused", std::move(subject), error,
                  fmt::format("request={} free_slots={} queued_tasks={} configuration={}",
                              label, load.m_free_slots, load.m_queued_tasks,
                              state.m_leasing.m_base_configuration
                                  ? state.m_leasing.m_base_configuration->m_version
                                  : 0)});
}

/// \returns the upstreams assigned to this instance that it holds or may claim now.
std::vector<lease::owned_upstream> select_owned_upstreams(step_context const & context)
{
    entry_state const & state = context.m_state;
    std::vector<membership::placed_name> const candidates = list_candidates(context);
    std::vector<membership::placed_name> upstreams;
    for (auto const & [name, upstream] : state.m_leasing.m_upstreams)
    {
        if (is_used_service(state.m_leasing, upstream.m_definition.m_service))
        {
            upstreams.push_back({name, upstream.m_definition.m_domain});
        }
    }
    bool const heard_listed_members =
        membership::has_heard_listed_members(state.m_membership, context.m_now);
    std::vector<lease::owned_upstream> owned;
    for (std::size_t const index : membership::items_of_owner(
             candidates, upstreams, state.m_identity.m_instance.m_value))
    {
        std::string const & name = upstreams[index].m_name;
        bool const held = state.m_leasing.m_sessions.m_sessions.contains(name);
        if (held || (heard_listed_members && !is_held_by_live_peer(state, name)))
        {
            discovered_upstream const & upstream = state.m_leasing.m_upstreams.at(name);
            owned.push_back(
                {name, upstream.m_definition.m_address, upstream.m_incarnation});
        }
    }
    return owned;
}

/// Updates the upstreams that this instance owns, in the dispatcher and in the sessions.
void assign_upstreams(step_context & context)
{
    entry_state & state = context.m_state;
    std::uint64_t const token = current_token(context);
    if (token == 0 || !state.m_dispatch.m_configuration)
    {
        return;
    }
    remove_unregistered_upstreams(context);
    expire_drain_reports(context);
    std::vector<lease::owned_upstream> const owned = select_owned_upstreams(context);
    std::vector<std::string> names;
    names.reserve(owned.size());
    for (lease::owned_upstream const & item : owned)
    {
        names.push_back(item.m_name);
    }
    if (names != state.m_leasing.m_owned)
    {
        dispatch::set_owned_upstreams(state.m_dispatch, names);
        for (std::string const & name : names)
        {
            auto const session = state.m_leasing.m_sessions.m_sessions.find(name);
            bool const serving = session != state.m_leasing.m_sessions.m_sessions.end() &&
                                 session->second.m_phase == lease::session_phase::serving;
            dispatch::set_upstream_available(state.m_dispatch, name, serving);
        }
        state.m_leasing.m_owned = std::move(names);
    }
    lease::effects effects;
    lease::set_owned(state.m_leasing.m_sessions, owned, token, context.m_now, effects);
    apply(context, std::move(effects));
}

/// Reports that the incarnation of \p upstream that accepts runs now has not crashed.
/// Another instance may have lost it, or its registration may have been gone.
void report_survival(step_context & context, std::string const & upstream)
{
    auto const & sessions = context.m_state.m_leasing.m_sessions.m_sessions;
    auto const found = sessions.find(upstream);
    if (found == sessions.end())
    {
        return;
    }
    dispatch::upstream_loss const fate{{upstream, found->second.m_incarnation},
                                       dispatch::upstream_fate::survived,
                                       {},
                                       {}};
    if (context.m_state.m_dispatch.m_crashes.m_by_upstream.contains(fate.m_upstream))
    {
        report_fate(context, fate);
    }
}

} // namespace

void apply(step_context & context, lease::effects effects)
{
    entry_state & state = context.m_state;
    for (lease::availability const & change : effects.m_availability)
    {
        dispatch::set_upstream_available(state.m_dispatch, change.m_upstream,
                                         change.m_available);
    }
    for (lease::session_event & event : effects.m_events)
    {
        std::string detail = "upstream=" + event.m_upstream;
        if (!event.m_detail.empty())
        {
            detail += " " + event.m_detail;
        }
        std::string subject = event.m_job.empty() ? event.m_upstream : event.m_job;
        context.m_actions.emplace_back(
            log_event{event.m_code, std::move(subject), {}, std::move(detail)});
    }
    for (lease::upstream_call & call : effects.m_calls)
    {
        context.m_actions.emplace_back(std::move(call));
    }
    for (dispatch::attempt_result & result : effects.m_results)
    {
        dispatch::effects finished;
        dispatch::finish_attempt(state.m_dispatch, std::move(result), context.m_now,
                                 context.m_random, finished);
        internal::apply(context, std::move(finished));
    }
    for (dispatch::upstream_loss const & fate : effects.m_fates)
    {
        report_fate(context, fate);
    }
    for (lease::availability const & change : effects.m_availability)
    {
        if (change.m_available)
        {
            report_survival(context, change.m_upstream);
        }
    }
}

std::int64_t fleet_clock(leasing_state const & leasing, time_point now) noexcept
{
    return leasing.m_fleet_clock_ms == 0
               ? 0
               : leasing.m_fleet_clock_ms +
                     to_milliseconds(now - leasing.m_fleet_clock_at);
}

std::uint64_t next_generation(step_context & context)
{
    leasing_state & leasing = context.m_state.m_leasing;
    auto const clock = static_cast<std::uint64_t>(fleet_clock(leasing, context.m_now));
    leasing.m_last_generation = std::max(leasing.m_last_generation + 1, clock);
    return leasing.m_last_generation;
}

void handle_routed(step_context & context, routed_request & request)
{
    entry_state & state = context.m_state;
    answer_route const caller{request.m_caller, {}, 0, false};
    if (!state.m_leasing.m_base_configuration)
    {
        refuse(context, caller, job_errc::no_configuration);
        return;
    }
    config::caller_route const * const route = config::find_route(
        *state.m_leasing.m_base_configuration, request.m_host, request.m_path);
    if (route == nullptr)
    {
        // A copy of the configuration that is older than a change may take proves
        // nothing.
        bool const confirmed =
            context.m_now - state.m_leasing.m_configuration_confirmed_at <
            max_configuration_age;
        job_errc const error =
            confirmed ? job_errc::unknown_kind : job_errc::configuration_unconfirmed;
        log_refusal(context, request.m_path, request.m_request_id, error);
        refuse(context, caller, error);
        return;
    }
    std::string key_text = request.m_path.substr(route->m_prefix.size());
    // Peers end the session on a key that does not satisfy codec::is_valid_key().
    if (request.m_operation != key_operation::count &&
        (key_text.empty() || key_text.find('/') != std::string::npos))
    {
        log_refusal(context, request.m_path, request.m_request_id,
                    job_errc::malformed_request);
        refuse(context, caller, job_errc::malformed_request);
        return;
    }
    job_spec & spec = request.m_spec;
    spec.m_key = {route->m_tenant, state.m_identity.m_domain, std::move(key_text)};
    spec.m_kind = route->m_kind;
    if (request.m_operation == key_operation::count)
    {
        std::size_t const waiting = count_waiting_jobs(state, route->m_kind);
        answer(context, caller, {{}, run_state::no, {}, {std::to_string(waiting)}});
        return;
    }
    job_key const key = spec.m_key;
    handle_request(context, caller, request.m_operation, std::move(spec));
    auto const job = state.m_open_jobs.find(key);
    if (job != state.m_open_jobs.end() && job->second.m_request_id.empty())
    {
        job->second.m_request_id = std::move(request.m_request_id);
    }
}

void submit_unrecorded(step_context & context, answer_route const & route,
                       job_spec & spec, time_point deadline)
{
    entry_state & state = context.m_state;
    if (state.m_leasing.m_upstreams.empty())
    {
        refuse(context, route, job_errc::store_unavailable);
        return;
    }
    if (lease::has_runs(state.m_leasing.m_sessions, spec.m_key.m_key) ||
        dispatch::has_unfinished_attempts(state.m_dispatch, spec.m_key.m_key))
    {
        // Runs of an earlier submission of the job are being stopped.
        context.m_actions.emplace_back(
            log_event{"job_still_running", spec.m_key.m_key, {}, {}});
        refuse(context, route, job_errc::overloaded);
        return;
    }
    if (std::error_code const error =
            dispatch::check_admission(state.m_dispatch, spec, context.m_now))
    {
        log_refusal(context, spec.m_key.m_key, spec.m_kind, error);
        refuse_submission(context, route, spec.m_key, error);
        return;
    }
    open_job job;
    job.m_kind = spec.m_kind;
    job.m_submitted = context.m_now;
    job.m_answer_routes.push_back(route);
    job.m_job_hash = ownership::hash_job(spec);
    job.m_deadline = deadline;
    job.m_queued = true;
    state.m_open_jobs.emplace(spec.m_key, std::move(job));
    dispatch::enqueue_job(state.m_dispatch, {std::move(spec), {}, deadline, deadline},
                          context.m_now);
}

void log_job_end(step_context & context, job_key const & key, open_job const & job,
                 job_answer const & result)
{
    bool const started = job.m_first_start != time_point();
    time_point const waited_until = started ? job.m_first_start : context.m_now;
    context.m_actions.emplace_back(log_event{
        result.m_error ? "job_failed" : "job_completed", key.m_key, result.m_error,
        fmt::format("request={} kind={} waited_ms={} total_ms={} starts={}",
                    job.m_request_id, job.m_kind,
                    to_milliseconds(waited_until - job.m_submitted),
                    to_milliseconds(context.m_now - job.m_submitted), job.m_starts)});
}

void start_run(step_context & context, dispatch::attempt_start start)
{
    entry_state const & state = context.m_state;
    lease::start_request order;
    if (start.m_attempt.m_incarnation != state.m_identity.m_incarnation)
    {
        // The instance that forwarded the task was alive when it did so.
        time_point const forwarded_at =
            start.m_send_before -
            state.m_dispatch.m_configuration->m_dispatch.m_forward_wait;
        order.m_lease_limit =
            std::min(forwarded_at, context.m_now) + lease::unwanted_run_limit;
    }
    order.m_attempt = start.m_attempt;
    order.m_upstream = std::move(start.m_upstream);
    order.m_run.m_task.m_job = std::move(start.m_job.m_key);
    order.m_run.m_task.m_index = start.m_task;
    order.m_run.m_generation = start.m_generation;
    order.m_payload = std::move(start.m_payload);
    lease::effects effects;
    lease::start(context.m_state.m_leasing.m_sessions, std::move(order), context.m_now,
                 effects);
    apply(context, std::move(effects));
}

void stop_run(step_context & context, attempt_id const & attempt)
{
    lease::effects effects;
    lease::stop(context.m_state.m_leasing.m_sessions, attempt, context.m_now, effects);
    apply(context, std::move(effects));
}

void receive_clock(step_context & context, std::int64_t milliseconds)
{
    leasing_state & leasing = context.m_state.m_leasing;
    // A reading is never ahead of the store's clock, so the highest reading is the most
    // exact.
    if (milliseconds > fleet_clock(leasing, context.m_now))
    {
        leasing.m_fleet_clock_ms = milliseconds;
        leasing.m_fleet_clock_at = context.m_now;
    }
}

void receive_reply(step_context & context, lease::upstream_reply const & reply)
{
    lease::effects effects;
    lease::receive(context.m_state.m_leasing.m_sessions, reply, context.m_now, effects);
    apply(context, std::move(effects));
}

void schedule_upstream_assignment(step_context & context)
{
    context.m_state.m_leasing.m_next_assignment = context.m_now;
}

void advance_leases(step_context & context)
{
    entry_state & state = context.m_state;
    if (context.m_now >= state.m_leasing.m_next_assignment)
    {
        state.m_leasing.m_next_assignment = context.m_now + assignment_period;
        assign_upstreams(context);
    }
    lease::effects effects;
    lease::advance(state.m_leasing.m_sessions, current_token(context), context.m_now,
                   effects);
    apply(context, std::move(effects));
}

} // namespace cassiahub::decision::internal
