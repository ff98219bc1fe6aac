#ifndef CASSIAHUB_STORE_ERROR_HPP
#define CASSIAHUB_STORE_ERROR_HPP

#include <system_error>

namespace cassiahub::store
{

/// Failures of the platform's service.
enum class store_errc
{
    unavailable = 1,        ///< no answer, or an answer that says so
    malformed_response = 2, ///< an answer that does not follow the protocol
    conflict = 3            ///< a condition of a write did not hold
};

std::error_category const & store_category() noexcept;
std::error_code make_error_code(store_errc value) noexcept;

} // namespace cassiahub::store

template <>
struct std::is_error_code_enum<cassiahub::store::store_errc> : std::true_type
{
};

#endif
