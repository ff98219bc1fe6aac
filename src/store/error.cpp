#include <cassiahub/core/error_category.hpp>
#include <cassiahub/store/error.hpp>

#include <string>
#include <string_view>

namespace cassiahub::store
{

namespace internal
{

std::string_view name_of(store_errc value) noexcept
{
    switch (value)
    {
    case store_errc::unavailable:
        return "unavailable";
    case store_errc::malformed_response:
        return "malformed_response";
    case store_errc::conflict:
        return "conflict";
    }
    return "unknown_error";
}

} // namespace internal

std::error_category const & store_category() noexcept
{
    static named_error_category<store_errc, internal::name_of> const category(
        "cassiahub.platform");
    return category;
}

std::error_code make_error_code(store_errc value) noexcept
{
    return {static_cast<int>(value), store_category()};
}

} // namespace cassiahub::store
