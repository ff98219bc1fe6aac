#ifndef CASSIAHUB_HTTP_ERROR_HPP
#define CASSIAHUB_HTTP_ERROR_HPP

#include <system_error>

namespace cassiahub::http
{

/// Errors of clients and of starting a server. may_have_arrived() tells after which of
/// them the server may have processed the request.
enum class http_errc
{
    bad_address = 1,    ///< not of the form "ip:port"
    connect_failed = 2, ///< also: timeout while waiting for a connection
    send_failed = 3,    ///< nothing was sent
    response_lost = 4,  ///< response incomplete, too large or not received in time
    bind_failed = 5,    ///< the server cannot listen on its address
    /// The server broke the connection before it sent any of the response. Only the
    /// blocking client tells this from response_lost.
    connection_broken = 6,
    /// The response exceeds a limit. The blocking client reports response_lost instead.
    response_too_large = 7
};

std::error_category const & http_category() noexcept;
std::error_code make_error_code(http_errc value) noexcept;

/// \returns true when the server may have processed the request that ended with
/// \p error.
bool may_have_arrived(std::error_code error) noexcept;

} // namespace cassiahub::http

template <>
struct std::is_error_code_enum<cassiahub::http::http_errc> : std::true_type
{
};

#endif
