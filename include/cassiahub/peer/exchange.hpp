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
#include <stop_token>
#include <string>
#include <system_error>

namespace cassiahub::peer
{

/// Bounds of the exchange with one peer.
struct exchange_limits
{
    /// A deliver call, or a connect, that takes longer breaks the connection. It detects
    /// partitions that drop packets.
    duration m_call_timeout = std::chrono::seconds(2);
    duration m_first_backoff = std::chrono::milliseconds(50);
    duration m_last_backoff = std::chrono::seconds(1);
    /// On a stop request, longest time for what is queued to leave.
    duration m_drain_time = std::chrono::seconds(1);
    std::size_t m_queued_messages = 16'384;
    std::size_t m_queued_bytes = 64 * 1024 * 1024;
    std::size_t m_calls_in_flight = 4;
    std::size_t m_bytes_in_flight = 4 * 1024 * 1024;
    std::size_t m_batch_messages = 256;
    std::size_t m_batch_bytes = 1024 * 1024;
    /// Largest message accepted. A job body has at most 64 MiB.
    std::size_t m_message_bytes = 128 * 1024 * 1024;
    std::size_t m_incoming_connections = 1024;
};

/// Settings of the exchange with other instances.
struct exchange_options
{
    std::string m_instance;
    std::uint64_t m_incarnation = 0;
    std::string m_listen_address; ///< "ip:port"
    std::string m_secret;         ///< shared by all instances; never logged
    exchange_limits m_limits;
};

/// Counts since the process started. Thread-safe.
struct exchange_counters
{
    std::atomic<std::uint64_t> m_messages_sent{0};
    std::atomic<std::uint64_t> m_messages_received{0};
    std::atomic<std::uint64_t> m_deliver_calls{0};
    std::atomic<std::uint64_t> m_reports_dropped{0}; ///< heartbeats and load reports
    std::atomic<std::uint64_t> m_messages_refused{0};
    std::atomic<std::uint64_t> m_sessions_broken{0};
    std::atomic<std::uint64_t> m_opens_rejected{0};
    std::atomic<std::uint64_t> m_batches_rejected{0};
};

/// Rings of the exchange. They outlive it.
struct exchange_rings
{
    /// Messages to send. Its wake_fd is m_wake_fd.
    runtime::bounded_ring<decision::send_peer> & m_outgoing;
    /// Receives peer_message_received and peer_disconnected. When it is full, deliver
    /// calls are answered later, which holds the senders back.
    runtime::bounded_ring<decision::event> & m_events;
    int m_wake_fd = -1; ///< non-blocking eventfd; not owned
};

/// \returns true for heartbeats and load reports, which a later one replaces.
bool is_periodic(decision::peer_message const & message) noexcept;

/// Exchanges messages with other instances on the calling thread until \p stop is
/// requested; then sends what is queued and returns.
///
/// Messages to one peer keep their order. Each peer_disconnected means that messages
/// to and from that peer may be lost; what was queued for it is dropped.
/// \returns bind_failed or event_loop_failed when it had to end early.
std::error_code run_exchange(exchange_options const & options,
                             exchange_rings const & rings, exchange_counters & counters,
                             std::stop_token const & stop);

} // namespace cassiahub::peer

#endif
