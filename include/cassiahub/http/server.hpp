#ifndef CASSIAHUB_HTTP_SERVER_HPP
#define CASSIAHUB_HTTP_SERVER_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/http/connection_limits.hpp>
#include <cassiahub/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>
#include <system_error>

namespace cassiahub::http
{

/// Address, limits and timeouts of a server.
struct server_options
{
    std::string m_address;        ///< "ip:port"
    std::uint32_t m_threads = 16; ///< each handles one connection at a time
    std::size_t m_max_body_bytes = 4 * 1024 * 1024; ///< beyond it: status 413
    /// Largest sum of the bodies that are received or served; beyond it: status 503
    std::size_t m_max_held_bytes = 64 * 1024 * 1024;
    /// Called when a body exceeds a limit, with the client's IP address, on the thread
    /// that serves the connection. May be empty.
    std::function<void(client_limit, std::string_view)> m_limit_reached{};
    /// Longest time for a client to send its request.
    duration m_request_timeout = std::chrono::seconds(10);
    /// Longest time for which an idle connection is kept.
    duration m_keep_alive_timeout = std::chrono::seconds(20);
};

/// Called for each complete request, on the thread that serves the connection.
using request_handler = std::function<response(request const &)>;

struct server_state;

struct server_deleter
{
    void operator()(server_state * state) const noexcept;
};

/// A running server; it stops when the pointer is reset.
using server = std::unique_ptr<server_state, server_deleter>;

/// Starts a server.
/// \param error set to bind_failed when the server cannot listen on the address.
/// \returns an empty pointer on failure.
server start_server(server_options options, request_handler handler,
                    std::error_code & error);

/// Waits until no request is being handled, at most \p timeout. Requests that arrive in
/// the meantime are still handled. Thread-safe.
/// \returns false when \p timeout passed first.
bool wait_until_idle(server_state & state, duration timeout);

} // namespace cassiahub::http

#endif
