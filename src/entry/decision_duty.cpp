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
    if (!context.m_daemon.m_attempts.try_push(std::move(start)))
    {
        context.m_returned.emplace_back(decision::attempt_finished{
            {id, dispatch::attempt_outcome::not_run, {}, false}});
    }
}

void perform(action_context & context, dispatch::attempt_cancel & cancel)
{
    context.m_daemon.m_cancellations.try_push(std::move(cancel));
}

void perform(action_context & context, decision::answer_caller & answer)
{
    std::size_t const index = answer.m_caller & 0xffff'ffff;
    context.m_daemon.m_replies[index].try_push(
        {answer.m_caller, std::move(answer.m_answer)});
}

void perform(action_context & context, decision::send_peer & message)
{
    bool const must_arrive = !peer::is_periodic(message.m_message);
    instance_id to = message.m_to;
    if (!context.m_daemon.m_peer_messages.try_push(std::move(message)) && must_arrive)
    {
        context.m_returned.emplace_back(decision::peer_disconnected{std::move(to)});
    }
}

/// \p command is a write_store or a read_store.
template <typename Command>
void perform_store_command(action_context & context, Command & command)
{
    decision::store_request const request = command.m_request;
    if (!context.m_daemon.m_store_commands.try_push(std::move(command)))
    {
        context.m_returned.emplace_back(
            decision::store_answered{request, decision::store_outcome::unavailable, {}});
    }
}

void perform(action_context & context, decision::write_store & write)
{
    perform_store_command(context, write);
}

void perform(action_context & context, decision::read_store & read)
{
    perform_store_command(context, read);
}

void perform(action_context & context, decision::check_document & check)
{
    context.m_daemon.m_documents.try_push(std::move(check));
}

void perform(action_context & context, decision::observe_job & observed)
{
    record(context.m_daemon, std::move(observed));
}

void perform(action_context & context, decision::log_event & event)
{
    record(context.m_daemon, std::move(event));
}

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
    if (decision::is_idle(context.m_state))
    {
        // A notice that waits already says the same.
        context.m_idle_notices.try_push(1);
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
