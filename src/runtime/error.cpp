#include <cassiahub/core/error_category.hpp>
#include <cassiahub/runtime/error.hpp>

#include <string>
#include <string_view>

namespace cassiahub::runtime
{

namespace internal
{

std::string_view name_of(runtime_errc value) noexcept
{
    switch (value)
    {
    case runtime_errc::duty_threw:
        return "duty_threw";
    case runtime_errc::duty_returned_early:
        return "duty_returned_early";
    case runtime_errc::restart_intensity_exceeded:
        return "restart_intensity_exceeded";
    }
    return "unknown_error";
}

} // namespace internal

std::error_category const & runtime_category() noexcept
{
    static named_error_category<runtime_errc, internal::name_of> const category(
        "cassiahub.runtime");
    return category;
}

std::error_code make_error_code(runtime_errc value) noexcept
{
    return {static_cast<int>(value), runtime_category()};
}

} // namespace cassiahub::runtime
