#ifndef CASSIAHUB_PEER_EXCHANGE_STATE_HPP
#define CASSIAHUB_PEER_EXCHANGE_STATE_HPP

#include "peer/frames.hpp"

#include <cassiahub/core/random.hpp>
#include <cassiahub/peer/exchange.hpp>

#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cassiahub::peer::internal
{

// State of the exchange. Only the thread of the event loop accesses it.

/// A connection that this instance opened. It carries batches to the peer and
/// acknowledgements from it.
struct outgoing_connection
{
    kj::Own<kj::AsyncIoStream> m_stream;
    frame_buffer m_received;
    bool m_writing = false; ///< a frame is being written
    std::uint64_t m_batches_sent = 0;
    /// Number of batches sent when the last acknowledgement was asked for.
    std::uint64_t m_batches_asked = 0;
    std::uint64_t m_batches_acknowledged = 0;
    /// When the last acknowledgement was asked for.
    kj::TimePoint m_asked_at = kj::origin<kj::TimePoint>();
    /// When the first batch after that was sent.
    kj::TimePoint m_unasked_since = kj::origin<kj::TimePoint>();
    kj::Promise<void> m_reading = kj::READY_NOW;
    kj::Promise<void> m_written = kj::READY_NOW;
};

enum class link_phase
{
    idle,       ///< not connected yet
    connecting, ///< until the peer has accepted the open frame
    open,
    backing_off ///< waits to reconnect after a failure
};

/// Outgoing connection to one peer and the queue of messages for it.
struct outgoing_link
{
    std::string m_instance;
    std::string m_address;
    link_phase m_phase = link_phase::idle;
    /// Changes with each connect and each failure, so that callbacks of an earlier
    /// connection can recognise that they are obsolete.
    std::uint64_t m_generation = 0;
    std::uint32_t m_failures = 0; ///< since the link was last open
    kj::Own<outgoing_connection> m_connection;
    std::deque<decision::peer_message> m_queue;
    std::size_t m_queued_bytes = 0;
};

/// A connection that a peer opened. It carries batches from the peer and
/// acknowledgements to it.
struct incoming_connection
{
    std::uint64_t m_id = 0;
    kj::Own<kj::AsyncIoStream> m_stream;
    frame_buffer m_received;
    std::string m_instance;          ///< of the peer; empty until its open is accepted
    std::uint64_t m_incarnation = 0; ///< of the peer
    std::uint64_t m_batches = 0;     ///< received
    bool m_acknowledge = false;      ///< the peer waits for an acknowledgement
    kj::Promise<void> m_serving = kj::READY_NOW;
};

/// Fulfilled once the events up to m_last_event are in the ring.
struct push_waiter
{
    std::uint64_t m_last_event = 0; ///< value of event_backlog::m_accepted
    kj::Own<kj::PromiseFulfiller<void>> m_fulfiller;
};

/// Events that wait for space in the event ring, in order.
struct event_backlog
{
    std::deque<decision::event> m_events;
    std::deque<push_waiter> m_waiters;
    std::uint64_t m_accepted = 0; ///< total number of events added
    std::uint64_t m_pushed = 0;   ///< total number of events moved to the ring
    bool m_retry_scheduled = false;
};

struct exchange_state;

/// Ignores failures of background tasks. Each task handles its own errors.
class ignore_task_errors final : public kj::TaskSet::ErrorHandler
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
    random_source m_random; ///< used only for backoff jitter
    event_backlog m_backlog;
    std::map<std::string, outgoing_link, std::less<>> m_links; ///< by instance name
    /// By connection id.
    std::map<std::uint64_t, kj::Own<incoming_connection>> m_incoming;
    std::uint64_t m_next_generation = 1; ///< also the next connection id
    bool m_stopping = false;
    /// Fulfilled when is_drained() becomes true after a stop request.
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_drained;
    ignore_task_errors m_task_errors;
    kj::TaskSet m_tasks; ///< must be last: its tasks refer to the members above
};

/// Calls exchange_options::m_on_rejected.
void report_rejection(exchange_state const & state, std::string_view instance,
                      peer_errc reason, std::string_view detail);

/// Reports frame_rejected when \p failure was caused by what the peer has sent.
/// \returns true in that case.
bool report_failure(exchange_state const & state, std::string_view instance,
                    kj::Exception const & failure);

/// \returns \p value as a duration of the KJ library.
inline kj::Duration to_kj(duration value) noexcept
{
    return value.count() * kj::NANOSECONDS;
}

/// Destroys \p object in a later turn of the event loop, because the caller may run
/// inside one of its callbacks.
template <typename T>
void destroy_later(exchange_state & state, kj::Own<T> object)
{
    state.m_tasks.add(kj::evalLater([owned = kj::mv(object)]() mutable
                                    { kj::Own<T> const destroyed = kj::mv(owned); }));
}

// Events for the decision thread (backlog.cpp).

/// Appends \p new_event to the backlog and moves as many events as fit into the ring.
void add_event(exchange_state & state, decision::event new_event);

/// \returns a promise that resolves when all events added so far are in the ring.
kj::Promise<void> when_pushed(exchange_state & state);

// Outgoing connections (outgoing.cpp).

/// Queues a message; send_queued() sends it. When the queue is full, periodic messages
/// are dropped; if a message of another kind still does not fit, the session ends.
void queue_message(exchange_state & state, decision::send_peer message);

/// For every link with queued messages: sends them, or connects when the link is idle.
void send_queued(exchange_state & state);

/// Closes the connection of \p link, clears its queue and starts the backoff.
void reset_link(exchange_state & state, outgoing_link & link);

/// \returns true when no message is queued and every batch is acknowledged.
bool is_drained(exchange_state const & state) noexcept;

/// \returns the link to \p instance, or nullptr when its generation is no longer
/// \p generation.
outgoing_link * find_link(exchange_state & state, std::string const & instance,
                          std::uint64_t generation);

/// Handles a connection that failed or could not be opened. Does nothing if the
/// generation of the link is no longer \p generation.
void handle_connection_failure(exchange_state & state, std::string const & instance,
                               std::uint64_t generation);

/// Sends the next batch, which may be empty, with a request for an acknowledgement.
/// \pre the link is open and no frame is being written.
void send_acknowledgement_request(exchange_state & state, outgoing_link & link);

// Acknowledgements of batches (acknowledgements.cpp).

/// \returns true while the last request for an acknowledgement is not answered.
bool awaits_acknowledgement(outgoing_connection const & connection) noexcept;

/// Asks for acknowledgements that are due, and ends the sessions whose peers have not
/// acknowledged in time; repeats that until \p state is destroyed.
void supervise_acknowledgements(exchange_state & state);

/// Asks every peer to acknowledge all batches sent so far.
void ask_for_acknowledgements(exchange_state & state);

// Incoming connections (incoming.cpp).

/// Accepts connections until \p receiver is destroyed.
void accept_connections(exchange_state & state, kj::ConnectionReceiver & receiver);

/// Closes the connections that \p instance opened.
void close_incoming(exchange_state & state, std::string_view instance);

// Both directions (exchange.cpp).

/// Ends the session with \p instance: closes the connections of both directions and adds
/// one peer_disconnected event.
void end_session(exchange_state & state, std::string const & instance);

} // namespace cassiahub::peer::internal

#endif
