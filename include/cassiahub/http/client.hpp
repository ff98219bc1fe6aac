#ifndef CASSIAHUB_HTTP_CLIENT_HPP
#define CASSIAHUB_HTTP_CLIENT_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/http/error.hpp>
#include <cassiahub/http/message.hpp>

#include <cstddef>
#include <memory>
#include <string_view>
#include <system_error>

struct mg_connection;

namespace cassiahub::http
{

struct connection_deleter
{
    void operator()(mg_connection * connection) const noexcept;
};

/// An open client connection. Used by one thread at a time.
struct connection
{
    std::unique_ptr<mg_connection, connection_deleter> m_handle;
    time_point m_idle_since; ///< set by a connection pool
    /// Largest response body accepted; a larger one fails with response_lost.
    std::size_t m_max_body_bytes = 64 * 1024 * 1024;
};

/// Connects to \p address ("ip:port").
/// \param error set to bad_address or connect_failed on failure.
/// \returns the connection; m_handle is empty on failure. Thread-safe.
connection connect(std::string_view address, std::error_code & error);

/// Sends \p message and waits for the complete response.
/// \param timeout longest time to wait for the response to begin.
/// \returns no error; send_failed when nothing was sent; connection_broken or
/// response_lost when the server may have processed the request. After an error \p used
/// must be closed.
/// \pre used.m_handle is not empty
std::error_code exchange(connection & used, request const & message,
                         std::string_view host, duration timeout, response & received);

/// Connects, calls exchange() and closes the connection. Thread-safe.
std::error_code exchange_once(std::string_view address, request const & message,
                              duration timeout, response & received);

} // namespace cassiahub::http

#endif
