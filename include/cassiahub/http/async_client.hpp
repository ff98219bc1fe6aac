#ifndef CASSIAHUB_HTTP_ASYNC_CLIENT_HPP
#define CASSIAHUB_HTTP_ASYNC_CLIENT_HPP

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

/// Limits of a client.
struct async_client_options
{
    std::size_t m_connections = 4; ///< to one address; further requests wait
    duration m_connect_timeout = std::chrono::milliseconds(300);
    /// Unacknowledged data older than this breaks a connection (TCP_USER_TIMEOUT).
    duration m_user_timeout = std::chrono::seconds(2);
    std::size_t m_max_body_bytes = 16 * 1024 * 1024;
};

/// Called once for each request. Without an error the response is whole. After
/// connect_failed nothing was sent; after response_lost the receiver may have acted.
using response_handler = std::function<void(std::error_code, response)>;

struct async_client_state;

struct async_client_deleter
{
    void operator()(async_client_state * state) const noexcept;
};

/// A client with kept connections. Handlers of requests that are open when it is reset
/// are not called.
using async_client = std::unique_ptr<async_client_state, async_client_deleter>;

/// \pre \p loop outlives the client, and one thread runs it.
async_client make_async_client(boost::asio::io_context & loop,
                               async_client_options options);

/// Sends \p sent to \p address ("ip:port"), also used as the field Host.
/// \param timeout longest time until the whole response, waiting for a connection
/// included.
/// \pre called on the thread that runs the loop.
void send_request(async_client_state & client, std::string const & address, request sent,
                  duration timeout, response_handler handler);

/// \returns the number of connections that were ever opened.
std::uint64_t opened_connections(async_client_state const & client) noexcept;

} // namespace cassiahub::http

#endif
