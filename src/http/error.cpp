#include <cassiahub/http/error.hpp>

#include <string>

namespace cassiahub::http
{

namespace internal
{

class http_error_category final : public std::error_category
{
public:
    char const * name() const noexcept override
    {
        return "cassiahub.http";
    }

    std::string message(int value) const override
    {
        switch (static_cast<http_errc>(value))
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
        }
        return "unknown_error";
    }
};

} // namespace internal

std::error_category const & http_category() noexcept
{
    static internal::http_error_category const category;
    return category;
}

std::error_code make_error_code(http_errc value) noexcept
{
    return {static_cast<int>(value), http_category()};
}

} // namespace cassiahub::http
