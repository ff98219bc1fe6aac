#include <cassiahub/core/error_category.hpp>
#include <cassiahub/gateway/error.hpp>

#include <string_view>

namespace cassiahub::gateway
{

namespace internal
{

std::string_view name_of(registration_errc value) noexcept
{
    switch (value)
    {
    case registration_errc::bad_name:
        return "bad_name";
    case registration_errc::not_an_object:
        return "not_an_object";
    case registration_errc::bad_service:
        return "bad_service";
    case registration_errc::bad_address:
        return "bad_address";
    case registration_errc::bad_domain:
        return "bad_domain";
    case registration_errc::bad_state:
        return "bad_state";
    case registration_errc::bad_slots:
        return "bad_slots";
    case registration_errc::bad_capacity:
        return "bad_capacity";
    case registration_errc::bad_labels:
        return "bad_labels";
    case registration_errc::bad_start_time:
        return "bad_start_time";
    case registration_errc::bad_member:
        return "bad_member";
    }
    return "unknown_error";
}

std::string_view name_of(call_errc value) noexcept
{
    switch (value)
    {
    case call_errc::not_encodable:
        return "not_encodable";
    case call_errc::not_decodable:
        return "not_decodable";
    }
    return "unknown_error";
}

} // namespace internal

std::error_category const & registration_category() noexcept
{
    static named_error_category<registration_errc, internal::name_of> const category(
        "cassiahub.registration");
    return category;
}

std::error_code make_error_code(registration_errc value) noexcept
{
    return {static_cast<int>(value), registration_category()};
}

std::error_category const & call_category() noexcept
{
    static named_error_category<call_errc, internal::name_of> const category(
        "cassiahub.call");
    return category;
}

std::error_code make_error_code(call_errc value) noexcept
{
    return {static_cast<int>(value), call_category()};
}

} // namespace cassiahub::gateway
