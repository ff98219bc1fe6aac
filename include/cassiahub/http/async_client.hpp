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

/// Limits and timeouts of a client.
struct async_client_options
{
    std::size_t m_connections = 4; ///< to one address; further requests are queued
    duration m_connect_timeout = std::chrono::milliseconds(300);
    /// A connection fails when sent data stays unacknowledged for longer
    /// (TCP_USER_TIMEOUT).
    duration m_user_timeout = std::chrono::seconds(2);
    /// A response that is arriving may exceed the timeout of its request; it is lost when
    /// nothing of it has arrived for this time. 0: it has to be complete in time.
    duration m_stall_timeout{0};
    /// Largest response body accepted; a larger one fails with
    /// response_too_large.
    std::size_t m_max_body_bytes = 16 * 1024 * 1024;
};

/// Called once for each request. The response is complete when there is no error. After
/// bad_address or connect_failed nothing was sent; after response_lost and
/// response_too_large the server may have processed the request.
using response_handler = std::function<void(std::error_code, response)>;

struct async_client_state;

struct async_client_deleter
{
    void operator()(async_client_state * state) const noexcept;
};

/// A client that keeps connections open between requests. When it is reset, the handlers
/// of unfinished requests are not called.
using async_client = std::unique_ptr<async_client_state, async_client_deleter>;

/// \pre \p loop outlives the client, and one thread runs it.
async_client make_async_client(boost::asio::io_context & loop,
                               async_client_options options);

/// Sends \p message to \p address ("ip:port"), which is also the value of the Host
/// header.
/// \param timeout longest time until the response is complete, including the wait for a
/// connection; until it begins, when async_client_options::m_stall_timeout is set.
/// \pre called on the thread that runs the loop.
void send_request(async_client_state & client, std::string const & address,
                  request message, duration timeout, response_handler handler);

/// \returns the number of connections opened since the client was created.
std::uint64_t opened_connections(async_client_state const & client) noexcept;

} // namespace cassiahub::http

#endif
