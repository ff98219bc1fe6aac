#ifndef CASSIAHUB_STORE_ERROR_HPP
#define CASSIAHUB_STORE_ERROR_HPP

#include <system_error>

namespace cassiahub::store
{

/// Errors of requests to the platform service.
enum class store_errc
{
    unavailable = 1,        ///< no response, or a status of 500 or above
    malformed_response = 2, ///< a response that does not follow the protocol
    conflict = 3            ///< a row did not have the expected version
};

std::error_category const & store_category() noexcept;
std::error_code make_error_code(store_errc value) noexcept;

} // namespace cassiahub::store

template <>
struct std::is_error_code_enum<cassiahub::store::store_errc> : std::true_type
{
};

#endif
