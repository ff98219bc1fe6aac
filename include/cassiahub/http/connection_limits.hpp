#ifndef CASSIAHUB_HTTP_CONNECTION_LIMITS_HPP
#define CASSIAHUB_HTTP_CONNECTION_LIMITS_HPP

#include <cassiahub/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

/// \file Decisions of a server about connections that hold too much or take too long.
/// They use no sockets.

namespace cassiahub::http
{

/// Limits of a server for its clients.
enum class client_limit : std::uint8_t
{
    header_bytes,     ///< request line and header fields
    body_bytes,       ///< body of a request
    chunk_bytes,      ///< extensions of a chunk, or the trailer section
    connection_bytes, ///< everything held for one connection
    held_bytes,       ///< everything held for all connections
    connections,      ///< open connections
    head_time,        ///< from the first byte of a request to the end of its header
    body_time,        ///< from the end of the header to the end of the body
    idle_time,        ///< without a request
    response_time     ///< until the client has taken the response
};

constexpr std::size_t client_limit_count = 10;

/// \returns the name of \p limit for logs and metrics.
std::string_view to_string(client_limit limit) noexcept;

/// Sizes and timeouts of a server. The defaults suit a server on a small machine whose
/// callers send requests of a few KiB and stop waiting after 1.5 s.
struct connection_limits
{
    std::size_t m_max_header_bytes = 16 * 1024;
    std::size_t m_max_body_bytes = 1024 * 1024;
    std::size_t m_max_chunk_bytes = 4 * 1024;
    std::size_t m_max_connection_bytes = 2 * 1024 * 1024;
    std::size_t m_max_held_bytes = 48 * 1024 * 1024;
    std::size_t m_max_connections = 1500;
    duration m_head_timeout = std::chrono::seconds(3);
    duration m_body_timeout = std::chrono::seconds(3);
    duration m_idle_timeout = std::chrono::seconds(60);
    duration m_response_timeout = std::chrono::seconds(3);
};

/// What a connection is doing.
enum class connection_phase : std::uint8_t
{
    opened,     ///< nothing was received yet
    idle,       ///< between two requests
    head,       ///< part of a request's header was received
    body,       ///< the header and part of the body were received
    running,    ///< the request waits for its response
    responding, ///< the response is being written
    discarding  ///< refused; what the client still sends is discarded
};

constexpr std::size_t connection_phase_count = 7;

/// \returns the longest time in \p phase; nothing for running, whose end the server's
/// user decides.
std::optional<duration> phase_timeout(connection_limits const & limits,
                                      connection_phase phase) noexcept;

/// \returns the limit that a connection exceeds when \p phase lasts too long.
/// \pre phase_timeout() has a value for \p phase.
client_limit timeout_limit(connection_phase phase) noexcept;

/// Bytes held for clients.
struct held_bytes
{
    std::size_t m_chunk = 0;      ///< of an incomplete chunk header or trailer section
    std::size_t m_connection = 0; ///< by one connection
    std::size_t m_total = 0;      ///< by all connections
};

/// \returns the limit that \p held exceeds, if any.
std::optional<client_limit> exceeded_limit(connection_limits const & limits,
                                           held_bytes const & held) noexcept;

/// \returns the status of the response to a request that exceeds \p limit. With 503 the
/// request may be sent again.
int refusal_status(client_limit limit) noexcept;

/// Start of the phase of the connection that has been longest in each phase, if any.
using oldest_by_phase = std::array<std::optional<time_point>, connection_phase_count>;

/// Chooses the phase whose oldest connection is closed to make room for another
/// connection: slow clients first, then those that have sent nothing, then idle ones,
/// then those that have just begun.
/// \returns nothing when all connections wait for a response.
std::optional<connection_phase> choose_eviction(oldest_by_phase const & oldest,
                                                time_point now) noexcept;

/// Chooses the phase whose oldest connection is closed to free bytes. Only a slow client
/// is chosen, since the others will soon free theirs.
std::optional<connection_phase> choose_slow(oldest_by_phase const & oldest,
                                            time_point now) noexcept;

/// \returns the number of connections that may be open: \p wanted, or fewer so that
/// \p reserved of \p descriptors stay free for other uses, but never less than a quarter
/// of \p descriptors.
std::size_t usable_connections(std::size_t wanted, std::size_t descriptors,
                               std::size_t reserved) noexcept;

} // namespace cassiahub::http

#endif
