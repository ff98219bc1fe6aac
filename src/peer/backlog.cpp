#include "peer/exchange_state.hpp"

#include <utility>

namespace cassiahub::peer::internal
{

namespace
{

/// Interval of retries while the event ring is full. The ring cannot wake the event loop
/// when space becomes available.
constexpr duration retry_period = std::chrono::milliseconds(2);

/// Moves events to the ring until it is full and fulfils the waiters whose events have
/// all been moved.
void push_events(exchange_state & state);

void schedule_retry(exchange_state & state)
{
    if (state.m_backlog.m_retry_scheduled)
    {
        return;
    }
    state.m_backlog.m_retry_scheduled = true;
    state.m_tasks.add(state.m_timer.afterDelay(to_kj(retry_period))
                          .then(
                              [&state]
                              {
                                  state.m_backlog.m_retry_scheduled = false;
                                  push_events(state);
                              }));
}

void push_events(exchange_state & state)
{
    event_backlog & backlog = state.m_backlog;
    while (!backlog.m_events.empty() &&
           state.m_rings.m_events.try_push(std::move(backlog.m_events.front())))
    {
        backlog.m_events.pop_front();
        ++backlog.m_pushed;
    }
    while (!backlog.m_waiters.empty() &&
           backlog.m_waiters.front().m_last_event <= backlog.m_pushed)
    {
        backlog.m_waiters.front().m_fulfiller->fulfill();
        backlog.m_waiters.pop_front();
    }
    if (!backlog.m_events.empty())
    {
        schedule_retry(state);
    }
}

} // namespace

void add_event(exchange_state & state, decision::event new_event)
{
    state.m_backlog.m_events.push_back(std::move(new_event));
    ++state.m_backlog.m_accepted;
    push_events(state);
}

kj::Promise<void> when_pushed(exchange_state & state)
{
    event_backlog & backlog = state.m_backlog;
    if (backlog.m_pushed == backlog.m_accepted)
    {
        return kj::READY_NOW;
    }
    auto paired = kj::newPromiseAndFulfiller<void>();
    backlog.m_waiters.push_back({backlog.m_accepted, kj::mv(paired.fulfiller)});
    return kj::mv(paired.promise);
}

} // namespace cassiahub::peer::internal
