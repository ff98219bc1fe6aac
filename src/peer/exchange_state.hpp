#ifndef CASSIAHUB_PEER_EXCHANGE_STATE_HPP
#define CASSIAHUB_PEER_EXCHANGE_STATE_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/peer/exchange.hpp>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <peer_protocol.capnp.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cassiahub::peer::internal
{

// Plain state of the exchange. Everything here belongs to the thread of the event loop.

/// A connection that this instance opened. Messages leave on it.
struct outgoing_connection
{
    explicit outgoing_connection(kj::Own<kj::AsyncIoStream> stream)
        : m_stream(kj::mv(stream)), m_client(*m_stream)
    {
    }

    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyClient m_client;
    kj::Maybe<peer_protocol::Peer::Client> m_peer;
};

enum class link_phase
{
    idle,       ///< nothing to send, or about to connect
    connecting, ///< up to the answer to open()
    open,
    backing_off ///< after a break, before the next connect
};

/// The way to one peer.
struct outgoing_link
{
    std::string m_instance;
    std::string m_address;
    link_phase m_phase = link_phase::idle;
    /// Changes with each connect and each break, so that callbacks of an earlier
    /// connection do nothing.
    std::uint64_t m_generation = 0;
    std::uint32_t m_failures = 0; ///< breaks since open() was last answered
    kj::Own<outgoing_connection> m_connection;
    std::deque<decision::peer_message> m_queue;
    std::size_t m_queued_bytes = 0;
    std::size_t m_calls_in_flight = 0;
    std::size_t m_bytes_in_flight = 0;
};

/// A connection that a peer opened. Messages arrive on it.
struct incoming_connection
{
    incoming_connection(kj::Own<kj::AsyncIoStream> stream,
                        peer_protocol::Entrance::Client entrance,
                        capnp::ReaderOptions options)
        : m_stream(kj::mv(stream)),
          m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER, options),
          m_rpc(capnp::makeRpcServer(m_network, kj::mv(entrance)))
    {
    }

    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    std::string m_instance; ///< empty until open() was accepted
    std::uint64_t m_incarnation = 0;
};

/// A deliver call that is answered once the events up to m_last are in the ring.
struct waiting_call
{
    std::uint64_t m_last = 0;
    kj::Own<kj::PromiseFulfiller<void>> m_answer;
};

/// Events that did not fit into the decision ring yet, in order.
struct event_backlog
{
    std::deque<decision::event> m_events;
    std::deque<waiting_call> m_calls;
    std::uint64_t m_accepted = 0; ///< events ever added
    std::uint64_t m_pushed = 0;   ///< events ever moved to the ring
    bool m_retry_scheduled = false;
};

struct exchange_state;

/// Ignores failures of background tasks: each handles its own errors, and what is left
/// is the cancellation of calls on a connection that was dropped.
class task_errors final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&) override {}
};

struct exchange_state
{
    exchange_state(exchange_options const & options, exchange_rings const & rings,
                   exchange_counters & counters, kj::AsyncIoContext & io)
        : m_options(options), m_rings(rings), m_counters(counters), m_io(io),
          m_timer(io.provider->getTimer()), m_random(options.m_incarnation),
          m_tasks(m_task_errors)
    {
    }

    exchange_options const & m_options;
    exchange_rings const & m_rings;
    exchange_counters & m_counters;
    kj::AsyncIoContext & m_io;
    kj::Timer & m_timer;
    random_source m_random; ///< for the jitter of the backoff only
    event_backlog m_backlog;
    std::map<std::string, outgoing_link, std::less<>> m_links;
    std::map<std::uint64_t, kj::Own<incoming_connection>> m_incoming;
    std::uint64_t m_next_generation = 1;
    bool m_stopping = false;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_drained;
    task_errors m_task_errors;
    kj::TaskSet m_tasks; ///< last: its tasks refer to everything above
};

/// \returns \p value for KJ's timer.
inline kj::Duration to_kj(duration value) noexcept
{
    return value.count() * kj::NANOSECONDS;
}

/// Destroys \p dropped from the event loop, because the caller may run inside one of
/// its callbacks.
template <typename T>
void destroy_later(exchange_state & state, kj::Own<T> dropped)
{
    state.m_tasks.add(kj::evalLater([held = kj::mv(dropped)]() mutable
                                    { kj::Own<T> const destroyed = kj::mv(held); }));
}

// Events to the decision duty (backlog.cpp).

/// Adds \p occurred behind all earlier events and pushes what fits into the ring.
void add_event(exchange_state & state, decision::event occurred);

/// \returns a promise that resolves when everything added so far is in the ring.
kj::Promise<void> when_pushed(exchange_state & state);

// Outgoing connections (outgoing.cpp).

/// Queues a message; send_queued() sends it.
void queue_message(exchange_state & state, decision::send_peer message);

/// Sends or connects for every link that has something queued.
void send_queued(exchange_state & state);

/// Drops the connection and the queue of \p link; connects again only after a backoff.
void reset_link(exchange_state & state, outgoing_link & link);

/// \returns true when nothing is queued or in flight.
bool is_drained(exchange_state const & state) noexcept;

// Incoming connections (incoming.cpp).

/// Accepts connections until \p receiver is destroyed.
void accept_connections(exchange_state & state, kj::ConnectionReceiver & receiver);

/// Closes the connections that \p instance opened.
void close_incoming(exchange_state & state, std::string_view instance);

// Both directions (exchange.cpp).

/// Ends the session with \p instance in both directions and reports it once.
void break_session(exchange_state & state, std::string const & instance);

} // namespace cassiahub::peer::internal

#endif
