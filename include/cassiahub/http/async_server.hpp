#ifndef CASSIAHUB_HTTP_ASYNC_SERVER_HPP
#define CASSIAHUB_HTTP_ASYNC_SERVER_HPP

#include <cassiahub/http/connection_limits.hpp>
#include <cassiahub/http/message.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace cassiahub::http
{

/// Address and limits of a server.
struct async_server_options
{
    std::string m_address; ///< "ip:port"
    connection_limits m_limits{};
};

/// Identifies a request until respond() is called for it. Never 0.
using exchange_id = std::uint64_t;

/// Callbacks of a server, called on the thread that runs the loop.
struct async_server_handlers
{
    /// A complete request has arrived. respond() must be called for it, at once or later.
    std::function<void(exchange_id, request)> m_request;
    /// The client has disconnected before respond() was called. A later respond() does
    /// nothing.
    std::function<void(exchange_id)> m_disconnected;
    /// The client had already disconnected when its request was read, so no response is
    /// written. May be empty.
    std::function<void(request)> m_abandoned{};
    /// A client, whose address is given, has reached a limit: its request is refused or
    /// its connection closed. May be empty.
    std::function<void(client_limit, boost::asio::ip::address_v4)> m_limit_reached{};
};

struct async_server_state;

struct async_server_deleter
{
    void operator()(async_server_state * state) const noexcept;
};

/// A running server. Resetting the pointer stops it and closes its connections.
using async_server = std::unique_ptr<async_server_state, async_server_deleter>;

/// Starts a server.
/// \param error set to bind_failed or bad_address on failure.
/// \returns an empty pointer on failure.
/// \pre \p loop outlives the server, and one thread runs it.
async_server start_async_server(boost::asio::io_context & loop,
                                async_server_options options,
                                async_server_handlers handlers, std::error_code & error);

/// Sends the response to a request. Does nothing when the client has disconnected.
/// \pre called on the thread that runs the loop.
void respond(async_server_state & server, exchange_id exchange, response message);

/// Counts \p bytes as held for a request, beside its connection's buffers, until
/// respond() is called for it. \returns false, and counts nothing, when the limit of the
/// connection or of all connections would be exceeded; the request must then be refused.
/// \pre called on the thread that runs the loop.
bool hold_bytes(async_server_state & server, exchange_id exchange, std::size_t bytes);

/// Accepts no more connections and closes idle ones. Each busy connection is closed
/// after its response is written.
void stop_accepting(async_server_state & server);

/// \returns the number of requests that wait for respond().
std::size_t open_exchanges(async_server_state const & server) noexcept;

} // namespace cassiahub::http

#endif
