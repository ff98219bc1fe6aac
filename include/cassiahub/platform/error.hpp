#ifndef CASSIAHUB_PLATFORM_ERROR_HPP
#define CASSIAHUB_PLATFORM_ERROR_HPP

#include <system_error>

namespace cassiahub::platform
{

/// Failures of the platform's service.
enum class platform_errc
{
    unavailable = 1,        ///< no answer, or an answer that says so
    malformed_response = 2, ///< an answer that does not follow the protocol
    conflict = 3            ///< a condition of a write did not hold
};

std::error_category const & platform_category() noexcept;
std::error_code make_error_code(platform_errc value) noexcept;

} // namespace cassiahub::platform

template <>
struct std::is_error_code_enum<cassiahub::platform::platform_errc> : std::true_type
{
};

#endif
