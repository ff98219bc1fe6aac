#ifndef CASSIAHUB_GATEWAY_ERROR_HPP
#define CASSIAHUB_GATEWAY_ERROR_HPP

#include <system_error>

namespace cassiahub::gateway
{

/// Reasons why an entry of a store table is no registration.
enum class registration_errc
{
    bad_name = 1,        ///< no name, or one that peers reject
    not_an_object = 2,   ///< bytes that cannot be read
    bad_service = 3,     ///< missing, empty, too long or of another type
    bad_address = 4,     ///< not the address and port of one host
    bad_domain = 5,      ///< missing, empty, too long or of another type
    bad_state = 6,       ///< neither ready nor draining
    bad_slots = 7,       ///< missing, of another type or out of range
    bad_capacity = 8,    ///< missing, of another type or out of range
    bad_labels = 9,      ///< not a list of texts
    bad_start_time = 10, ///< not a whole number, or out of range
    bad_member = 11      ///< another member is missing or of another type
};

/// Reasons why a call to an upstream fails at this instance.
enum class call_errc
{
    not_encodable = 1, ///< the call cannot be written; nothing was sent
    not_decodable = 2  ///< the reply cannot be read; the call may have been carried out
};

std::error_category const & registration_category() noexcept;
std::error_code make_error_code(registration_errc value) noexcept;
std::error_category const & call_category() noexcept;
std::error_code make_error_code(call_errc value) noexcept;

} // namespace cassiahub::gateway

template <>
struct std::is_error_code_enum<cassiahub::gateway::registration_errc> : std::true_type
{
};

template <>
struct std::is_error_code_enum<cassiahub::gateway::call_errc> : std::true_type
{
};

#endif
