#include "peer/exchange_state.hpp"

#include <kj/async-unix.h>
#include <unistd.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassiahub::peer
{

namespace internal
{

namespace
{

/// Moves all messages from the outgoing ring to the links and sends them.
void drain_outgoing_ring(exchange_state & state)
{
    std::uint64_t wakes = 0;
    [[maybe_unused]] ssize_t const count =
        ::read(state.m_rings.m_wake_fd, &wakes, sizeof wakes);
    std::vector<decision::send_peer> messages;
    state.m_rings.m_outgoing.pop_all(messages, duration::zero());
    for (decision::send_peer & message : messages)
    {
        queue_message(state, std::move(message));
    }
    send_queued(state);
}

/// Drains the outgoing ring each time its eventfd is signalled, until a stop is
/// requested.
kj::Promise<void> serve_outgoing_ring(exchange_state & state,
                                      kj::UnixEventPort::FdObserver & observer,
                                      std::stop_token const & stop)
{
    // Start waiting before draining the ring, so that no wake-up is missed.
    auto readable = observer.whenBecomesReadable();
    drain_outgoing_ring(state);
    if (stop.stop_requested())
    {
        return kj::READY_NOW;
    }
    return readable.then([&state, &observer, &stop]
                         { return serve_outgoing_ring(state, observer, stop); });
}

/// Waits until no message is queued and every batch is acknowledged, at most
/// m_drain_timeout.
void flush_queues(exchange_state & state)
{
    state.m_stopping = true;
    ask_for_acknowledgements(state);
    if (is_drained(state))
    {
        return;
    }
    auto drained = kj::newPromiseAndFulfiller<void>();
    state.m_drained = kj::mv(drained.fulfiller);
    state.m_timer
        .timeoutAfter(to_kj(state.m_options.m_limits.m_drain_timeout),
                      kj::mv(drained.promise))
        // Messages that were not sent in time are lost, as when a connection fails.
        .then([] {}, [](kj::Exception &&) {})
        .wait(state.m_io.waitScope);
}

kj::Own<kj::ConnectionReceiver> listen(kj::AsyncIoContext & io,
                                       std::string const & address)
{
    return io.provider->getNetwork()
        .parseAddress({address.c_str(), address.size()})
        .wait(io.waitScope)
        ->listen();
}

/// Adds a peer_disconnected event for every session. Needed when the event loop fails,
/// because the exchange restarts without any session.
void report_all_disconnected(exchange_state const & state, std::stop_token const & stop)
{
    std::set<std::string> instances;
    for (auto const & [instance, link] : state.m_links)
    {
        instances.insert(instance);
    }
    for (auto const & [id, connection] : state.m_incoming)
    {
        instances.insert(connection->m_instance);
    }
    instances.erase("");
    for (std::string const & instance : instances)
    {
        state.m_rings.m_events.push(decision::peer_disconnected{{instance}}, stop);
    }
}

void serve(exchange_state & state, kj::ConnectionReceiver & receiver,
           std::stop_token const & stop)
{
    kj::UnixEventPort::FdObserver observer(state.m_io.unixEventPort,
                                           state.m_rings.m_wake_fd,
                                           kj::UnixEventPort::FdObserver::OBSERVE_READ);
    std::stop_callback const wake_on_stop(stop,
                                          [&state]
                                          {
                                              std::uint64_t const one = 1;
                                              [[maybe_unused]] ssize_t const written =
                                                  ::write(state.m_rings.m_wake_fd, &one,
                                                          sizeof one);
                                          });
    try
    {
        accept_connections(state, receiver);
        supervise_acknowledgements(state);
        serve_outgoing_ring(state, observer, stop).wait(state.m_io.waitScope);
        flush_queues(state);
    }
    catch (...)
    {
        report_all_disconnected(state, stop);
        throw;
    }
}

} // namespace

void end_session(exchange_state & state, std::string const & instance)
{
    ++state.m_counters.m_sessions_broken;
    close_incoming(state, instance);
    if (auto const found = state.m_links.find(instance); found != state.m_links.end())
    {
        reset_link(state, found->second);
    }
    add_event(state, decision::peer_disconnected{{instance}});
}

} // namespace internal

namespace internal
{

void report_rejection(exchange_state const & state, std::string_view instance,
                      peer_errc reason, std::string_view detail)
{
    if (state.m_options.m_on_rejected)
    {
        state.m_options.m_on_rejected(instance, reason, detail);
    }
}

bool report_failure(exchange_state const & state, std::string_view instance,
                    kj::Exception const & failure)
{
    constexpr std::size_t max_detail_bytes = 200;
    if (failure.getType() != kj::Exception::Type::FAILED)
    {
        return false;
    }
    kj::StringPtr const description = failure.getDescription();
    report_rejection(state, instance, peer_errc::frame_rejected,
                     std::string_view(description.begin(), description.size())
                         .substr(0, max_detail_bytes));
    return true;
}

} // namespace internal

bool is_periodic(decision::peer_message const & message) noexcept
{
    return std::holds_alternative<decision::heartbeat>(message) ||
           std::holds_alternative<decision::load_report>(message) ||
           std::holds_alternative<decision::capacity_request>(message);
}

std::error_code run_exchange(exchange_options const & options,
                             exchange_rings const & rings, exchange_counters & counters,
                             std::stop_token const & stop)
{
    try
    {
        kj::AsyncIoContext io = kj::setupAsyncIo();
        kj::Own<kj::ConnectionReceiver> receiver;
        try
        {
            receiver = internal::listen(io, options.m_listen_address);
        }
        catch (kj::Exception const &)
        {
            return peer_errc::bind_failed;
        }
        internal::exchange_state state(options, rings, counters, io);
        internal::serve(state, *receiver, stop);
        return {};
    }
    catch (kj::Exception const &)
    {
        return peer_errc::event_loop_failed;
    }
}

} // namespace cassiahub::peer
