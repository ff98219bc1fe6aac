#include <cassiahub/platform/error.hpp>

#include <string>

namespace cassiahub::platform
{

namespace internal
{

class platform_error_category final : public std::error_category
{
public:
    char const * name() const noexcept override
    {
        return "cassiahub.platform";
    }

    std::string message(int value) const override
    {
        switch (static_cast<platform_errc>(value))
        {
        case platform_errc::unavailable:
            return "unavailable";
        case platform_errc::malformed_response:
            return "malformed_response";
        case platform_errc::conflict:
            return "conflict";
        }
        return "unknown_error";
    }
};

} // namespace internal

std::error_category const & platform_category() noexcept
{
    static internal::platform_error_category const category;
    return category;
}

std::error_code make_error_code(platform_errc value) noexcept
{
    return {static_cast<int>(value), platform_category()};
}

} // namespace cassiahub::platform
