#ifndef CASSIAHUB_PEER_EXCHANGE_HPP
#define CASSIAHUB_PEER_EXCHANGE_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/decision/action.hpp>
#include <cassiahub/decision/event.hpp>
#include <cassiahub/peer/error.hpp>
#include <cassiahub/runtime/bounded_ring.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <stop_token>
#include <string>
#include <string_view>
#include <system_error>

namespace cassiahub::peer
{

/// Limits of the exchange. Queues and batches are limited for each peer.
struct exchange_limits
{
    /// Timeout of connecting, of each acknowledgement, and of the open frame on an
    /// incoming connection. It detects network partitions that drop packets silently.
    duration m_call_timeout = std::chrono::seconds(2);
    /// Shortest time between two requests for an acknowledgement. Every batch is covered
    /// by a request at most half of m_call_timeout after it was sent.
    duration m_acknowledgement_period = std::chrono::milliseconds(500);
    /// Range of the delay before a connect that follows a failure.
    duration m_initial_backoff = std::chrono::milliseconds(50);
    duration m_max_backoff = std::chrono::seconds(1);
    /// Longest time that a stop request waits until queued messages are sent and
    /// acknowledged.
    duration m_drain_timeout = std::chrono::seconds(1);
    /// Largest queue of messages not yet sent.
    std::size_t m_queued_messages = 16'384;
    std::size_t m_queued_bytes = 64 * 1024 * 1024;
    /// A batch (the messages of one frame) is complete at either limit.
    std::size_t m_batch_messages = 256;
    std::size_t m_batch_bytes = 1024 * 1024;
    /// Largest Cap'n Proto message accepted. A job body has at most 64 MiB.
    std::size_t m_message_bytes = 128 * 1024 * 1024;
    std::size_t m_incoming_connections = 1024; ///< limit for all peers together
};

/// Settings of the exchange with other instances.
struct exchange_options
{
    std::string m_instance;          ///< name of this instance
    std::uint64_t m_incarnation = 0; ///< incarnation of this process
    std::string m_listen_address;    ///< "ip:port"
    std::string m_secret;            ///< the same on all instances; never logged
    exchange_limits m_limits;
    /// Called when a connection is closed because of what the peer has sent, with the
    /// peer's name (empty before its open frame is accepted), the reason and its details,
    /// on the thread of run_exchange(). May be empty.
    std::function<void(std::string_view, std::error_code, std::string_view)>
        m_on_rejected{};
};

/// Counters since process start. Thread-safe.
struct exchange_counters
{
    std::atomic<std::uint64_t> m_messages_sent{0};
    std::atomic<std::uint64_t> m_messages_received{0};
    std::atomic<std::uint64_t> m_batches_sent{0};
    std::atomic<std::uint64_t> m_acknowledgements{0}; ///< received
    /// Periodic messages (see is_periodic()) dropped because a queue was full.
    std::atomic<std::uint64_t> m_periodic_dropped{0};
    /// Non-periodic messages that did not fit into a full queue; each one ends the
    /// session.
    std::atomic<std::uint64_t> m_messages_refused{0};
    /// Sessions that ended; each adds a peer_disconnected event.
    std::atomic<std::uint64_t> m_sessions_broken{0};
    /// Rejected open frames, and connections closed because there were too many.
    std::atomic<std::uint64_t> m_opens_rejected{0};
    /// Incoming batches that failed validation.
    std::atomic<std::uint64_t> m_batches_rejected{0};
};

/// Rings between the exchange and the decision thread. They must outlive the exchange.
struct exchange_rings
{
    /// Messages to send. The ring must be constructed with m_wake_fd, which wakes
    /// the event loop.
    runtime::bounded_ring<decision::send_peer> & m_outgoing;
    /// Receives peer_message_received and peer_disconnected. While it is full, nothing is
    /// read from the connections, which applies back pressure to the senders.
    runtime::bounded_ring<decision::event> & m_events;
    int m_wake_fd = -1; ///< non-blocking eventfd; not owned
};

/// \returns true for heartbeats and load reports. They may be dropped, because the next
/// one supersedes them.
bool is_periodic(decision::peer_message const & message) noexcept;

/// Exchanges messages with other instances on the calling thread until \p stop is
/// requested; then sends the queued messages and returns.
///
/// Messages to one peer keep their order. Each peer_disconnected means that messages
/// to and from that peer may be lost; those queued for it are dropped.
/// \returns no error after a stop request, otherwise bind_failed or event_loop_failed.
std::error_code run_exchange(exchange_options const & options,
                             exchange_rings const & rings, exchange_counters & counters,
                             std::stop_token const & stop);

} // namespace cassiahub::peer

#endif
