#include <cassiahub/core/error_category.hpp>
#include <cassiahub/http/error.hpp>

#include <string>
#include <string_view>

namespace cassiahub::http
{

namespace internal
{

std::string_view name_of(http_errc value) noexcept
{
    switch (value)
    {
    case http_errc::bad_address:
        return "bad_address";
    case http_errc::connect_failed:
        return "connect_failed";
    case http_errc::send_failed:
        return "send_failed";
    case http_errc::response_lost:
        return "response_lost";
    case http_errc::bind_failed:
        return "bind_failed";
    case http_errc::connection_broken:
        return "connection_broken";
    case http_errc::response_too_large:
        return "response_too_large";
    }
    return "unknown_error";
}

} // namespace internal

std::error_category const & http_category() noexcept
{
    static named_error_category<http_errc, internal::name_of> const category(
        "cassiahub.http");
    return category;
}

std::error_code make_error_code(http_errc value) noexcept
{
    return {static_cast<int>(value), http_category()};
}

bool may_have_arrived(std::error_code error) noexcept
{
    return error == http_errc::response_lost || error == http_errc::connection_broken ||
           error == http_errc::response_too_large;
}

} // namespace cassiahub::http
