#ifndef CASSIAHUB_SRC_GATEWAY_REGISTRATION_HPP
#define CASSIAHUB_SRC_GATEWAY_REGISTRATION_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace cassiahub::gateway
{

/// Row that an instance keeps in the store so that the other instances can discover it.
struct registration
{
    std::string m_domain; ///< failure domain
    std::string m_peer_address;
    std::int64_t m_renewed_ms = 0; ///< store clock at the last renewal, ms; 0: unknown
};

std::string format_registration(registration const & entry);

/// Parses \p text into \p entry. Its address can be connected to.
/// \returns a registration_errc when \p text is no registration of an instance; \p entry
/// is then unspecified.
std::error_code parse_registration(std::string_view text, registration & entry);

} // namespace cassiahub::gateway

#endif
