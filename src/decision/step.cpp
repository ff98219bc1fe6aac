#include <cassiahub/core/error.hpp>
#include <cassiahub/decision/step.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>

#include <utility>

namespace cassiahub::decision
{

namespace internal
{

/// Arguments of step() that every handler needs.
struct step_context
{
    entry_state & m_state;
    time_point m_now;
    random_source & m_random;
    std::vector<action> & m_actions;
};

void answer(step_context & context, answer_route const & route, job_answer answer)
{
    context.m_actions.emplace_back(answer_caller{route.m_caller, std::move(answer)});
}

void refuse(step_context & context, answer_route const & route, std::error_code error)
{
    answer(context, route, {error, run_state::no, std::chrono::seconds(1), {}});
}

void finish_open_job(step_context & context, dispatch::job_outcome const & outcome)
{
    auto const found = context.m_state.m_open_jobs.find(outcome.m_key);
    if (found == context.m_state.m_open_jobs.end())
    {
        return;
    }
    open_job const job = std::move(found->second);
    context.m_state.m_open_jobs.erase(found);
    context.m_actions.emplace_back(observe_job{outcome.m_key.m_tenant, job.m_kind,
                                               context.m_now - job.m_submitted,
                                               outcome.m_answer.m_error});
    for (answer_route const & route : job.m_waiting)
    {
        answer(context, route, outcome.m_answer);
    }
}

/// Turns the dispatcher's effects into actions, in the order that keeps a start after
/// the cancellations that make room for it.
void apply_effects(step_context & context, dispatch::effects effects)
{
    for (dispatch::attempt_cancel & cancel : effects.m_cancels)
    {
        context.m_actions.emplace_back(std::move(cancel));
    }
    for (dispatch::attempt_start & start : effects.m_starts)
    {
        context.m_actions.emplace_back(std::move(start));
    }
    for (dispatch::job_outcome const & outcome : effects.m_finished)
    {
        finish_open_job(context, outcome);
    }
}

void advance(step_context & context)
{
    dispatch::effects effects;
    dispatch::advance(context.m_state.m_dispatch, context.m_now, context.m_random,
                      effects);
    apply_effects(context, std::move(effects));
}

void submit(step_context & context, answer_route const & route, job_spec spec)
{
    entry_state & state = context.m_state;
    if (auto const open = state.m_open_jobs.find(spec.m_key);
        open != state.m_open_jobs.end())
    {
        open->second.m_waiting.push_back(route);
        return;
    }
    if (state.m_draining)
    {
        refuse(context, route, job_errc::draining);
        return;
    }
    if (std::error_code const error =
            dispatch::check_admission(state.m_dispatch, spec, context.m_now))
    {
        refuse(context, route, error);
        return;
    }
    state.m_open_jobs.emplace(spec.m_key, open_job{spec.m_kind, context.m_now, {route}});
    time_point const deadline = context.m_now + spec.m_time_limit;
    dispatch::enqueue_job(state.m_dispatch, {std::move(spec), {}, deadline, deadline},
                          context.m_now);
}

void handle(step_context & context, caller_request & request)
{
    answer_route const route{request.m_caller, {}, 0};
    switch (request.m_operation)
    {
    case key_operation::submit:
        submit(context, route, std::move(request.m_spec));
        break;
    case key_operation::query:
        refuse(context, route, job_errc::not_found);
        break;
    case key_operation::cancel:
    {
        dispatch::effects effects;
        dispatch::cancel_job(context.m_state.m_dispatch, request.m_spec.m_key,
                             context.m_now, effects);
        apply_effects(context, std::move(effects));
        break;
    }
    }
}

void handle(step_context &, caller_gone &) {}

void handle(step_context & context, attempt_finished & finished)
{
    dispatch::effects effects;
    dispatch::finish_attempt(context.m_state.m_dispatch, std::move(finished.m_result),
                             context.m_now, context.m_random, effects);
    apply_effects(context, std::move(effects));
}

void handle(step_context &, peer_message_received &) {}

void handle(step_context &, peer_disconnected &) {}

void handle(step_context &, store_answered &) {}

void handle(step_context &, instances_listed &) {}

void handle(step_context & context, configuration_changed & changed)
{
    entry_state & state = context.m_state;
    std::shared_ptr<config::fleet_configuration const> const & current =
        state.m_dispatch.m_configuration;
    if (current && current->m_version >= changed.m_configuration->m_version)
    {
        return;
    }
    std::vector<std::string> owned;
    for (config::upstream const & upstream : changed.m_configuration->m_upstreams)
    {
        if (upstream.m_domain == state.m_identity.m_domain)
        {
            owned.push_back(upstream.m_name);
        }
    }
    dispatch::apply_configuration(state.m_dispatch, std::move(changed.m_configuration));
    dispatch::set_owned_upstreams(state.m_dispatch, owned);
}

void handle(step_context &, tick &) {}

void handle(step_context & context, drain_requested &)
{
    context.m_state.m_draining = true;
}

} // namespace internal

entry_state make_entry_state(entry_identity identity)
{
    entry_state state;
    state.m_dispatch.m_incarnation = identity.m_incarnation;
    state.m_identity = std::move(identity);
    return state;
}

void step(entry_state & state, event occurred, time_point now, random_source & random,
          std::vector<action> & actions)
{
    internal::step_context context{state, now, random, actions};
    std::visit([&context](auto & occurrence) { internal::handle(context, occurrence); },
               occurred);
    internal::advance(context);
}

std::vector<std::string_view> check_invariants(entry_state const & state)
{
    return dispatch::check_invariants(state.m_dispatch);
}

bool is_idle(entry_state const & state) noexcept
{
    return state.m_open_jobs.empty();
}

} // namespace cassiahub::decision
