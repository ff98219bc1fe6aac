#ifndef CASSIAHUB_HTTP_ERROR_HPP
#define CASSIAHUB_HTTP_ERROR_HPP

#include <system_error>

namespace cassiahub::http
{

/// How an exchange or a server start failed. Up to send_failed the receiver cannot
/// have acted on the request; from response_lost on it may have.
enum class http_errc
{
    bad_address = 1,
    connect_failed = 2,
    send_failed = 3,
    response_lost = 4,
    bind_failed = 5
};

std::error_category const & http_category() noexcept;
std::error_code make_error_code(http_errc value) noexcept;

} // namespace cassiahub::http

template <>
struct std::is_error_code_enum<cassiahub::http::http_errc> : std::true_type
{
};

#endif
