#ifndef CASSIAHUB_HTTP_ASYNC_SERVER_HPP
#define CASSIAHUB_HTTP_ASYNC_SERVER_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/http/message.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace cassiahub::http
{

/// Limits and address of a server.
struct async_server_options
{
    std::string m_address; ///< "ip:port"
    std::size_t m_max_header_bytes = 16 * 1024;
    std::size_t m_max_body_bytes = 1024 * 1024;
    std::size_t m_max_connections = 1500;
    /// Longest time for a client to send its request.
    duration m_request_timeout = std::chrono::seconds(3);
    /// Longest time for which an idle connection is kept.
    duration m_idle_timeout = std::chrono::seconds(15);
};

/// Names a request until it is answered.
using exchange_id = std::uint64_t;

/// What a server tells its owner, on the thread that runs the loop.
struct async_server_handlers
{
    /// A whole request has arrived. respond() must follow, now or later.
    std::function<void(exchange_id, request)> m_request;
    /// The client has left before the answer. respond() may still be called.
    std::function<void(exchange_id)> m_gone;
    /// The client had left before its request was read; nobody waits for an answer.
    /// May be empty.
    std::function<void(request)> m_abandoned{};
};

struct async_server_state;

struct async_server_deleter
{
    void operator()(async_server_state * state) const noexcept;
};

/// A running server; connections are closed when it is reset.
using async_server = std::unique_ptr<async_server_state, async_server_deleter>;

/// \param error set to bind_failed or bad_address on failure.
/// \returns an empty pointer on failure.
/// \pre \p loop outlives the server, and one thread runs it.
async_server start_async_server(boost::asio::io_context & loop,
                                async_server_options options,
                                async_server_handlers handlers, std::error_code & error);

/// Answers a request. An exchange whose client has left is ignored.
/// \pre called on the thread that runs the loop.
void respond(async_server_state & server, exchange_id exchange, response answer);

/// Accepts no more connections and closes those on which nothing is in progress. The
/// others are closed after their answer.
void stop_accepting(async_server_state & server);

/// \returns the number of requests that wait for an answer.
std::size_t open_exchanges(async_server_state const & server) noexcept;

} // namespace cassiahub::http

#endif
