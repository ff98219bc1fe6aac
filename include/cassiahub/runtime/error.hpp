#ifndef CASSIAHUB_RUNTIME_ERROR_HPP
#define CASSIAHUB_RUNTIME_ERROR_HPP

#include <system_error>

namespace cassiahub::runtime
{

/// Failures of duties and supervisors.
enum class runtime_errc
{
    duty_threw = 1,          ///< the body of a duty threw an exception
    duty_returned_early = 2, ///< the body returned without an error or a stop request
    restart_intensity_exceeded = 3 ///< too many restarts within the restart period
};

std::error_category const & runtime_category() noexcept;
std::error_code make_error_code(runtime_errc value) noexcept;

} // namespace cassiahub::runtime

template <>
struct std::is_error_code_enum<cassiahub::runtime::runtime_errc> : std::true_type
{
};

#endif
