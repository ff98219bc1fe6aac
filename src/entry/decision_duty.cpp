#include "entry/duties.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace cassiahub::entry
{

namespace internal
{

/// Longest time between two ticks; bounds how late a deadline is noticed.
constexpr duration tick_period = std::chrono::milliseconds(20);

/// Events that the decision duty produces itself while it carries out actions.
struct action_context
{
    daemon_context & m_daemon;
    std::vector<decision::event> & m_returned;
};

void perform(action_context & context, dispatch::attempt_start & start)
{
    attempt_id const id = start.m_attempt;
    if (!context.m_daemon.m_upstream_commands.try_push(std::move(start)))
    {
        context.m_returned.emplace_back(decision::attempt_finished{
            {id, dispatch::attempt_outcome::not_run, {}, false}});
    }
}

void perform(action_context & context, dispatch::attempt_cancel & cancel)
{
    // A cancellation that finds the ring full is only lost work: the upstream's answer
    // is dropped as superseded.
    context.m_daemon.m_upstream_commands.try_push(std::move(cancel));
}

void perform(action_context & context, decision::answer_caller & answer)
{
    std::size_t const index = answer.m_caller & 0xffff'ffff;
    context.m_daemon.m_replies[index].try_push(
        {answer.m_caller, std::move(answer.m_answer)});
}

void perform(action_context &, decision::send_peer &) {}

void perform(action_context &, decision::write_store &) {}

void perform(action_context &, decision::read_store &) {}

void perform(action_context &, decision::check_document &) {}

void perform(action_context &, decision::observe_job &) {}

void perform(action_context &, decision::log_event &) {}

void handle_event(daemon_context & context, decision::event occurred,
                  std::vector<decision::event> & returned)
{
    std::vector<decision::action> actions;
    decision::step(context.m_state, std::move(occurred), runtime::read_boot_clock(),
                   context.m_random, actions);
    action_context performing{context, returned};
    for (decision::action & next : actions)
    {
        std::visit([&performing](auto & action) { perform(performing, action); }, next);
    }
}

void handle_events(daemon_context & context, std::vector<decision::event> & events)
{
    std::vector<decision::event> returned;
    while (!events.empty())
    {
        for (decision::event & occurred : events)
        {
            handle_event(context, std::move(occurred), returned);
        }
        events.clear();
        std::swap(events, returned);
    }
    if (context.m_state.m_dispatch.m_configuration)
    {
        context.m_configuration_version =
            context.m_state.m_dispatch.m_configuration->m_version;
    }
}

} // namespace internal

std::error_code run_decision(daemon_context & context, std::stop_token const & stop)
{
    std::vector<decision::event> events;
    while (!stop.stop_requested())
    {
        if (context.m_events.pop_all(events, internal::tick_period, stop) == 0)
        {
            events.emplace_back(decision::tick{});
        }
        internal::handle_events(context, events);
    }
    context.m_events.pop_all(events, duration::zero());
    internal::handle_events(context, events);
    return {};
}

} // namespace cassiahub::entry
