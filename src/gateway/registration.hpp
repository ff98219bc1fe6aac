#ifndef CASSIAHUB_SRC_GATEWAY_REGISTRATION_HPP
#define CASSIAHUB_SRC_GATEWAY_REGISTRATION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

/// \returns nothing when \p text is malformed.
std::optional<registration> parse_registration(std::string_view text);

} // namespace cassiahub::gateway

#endif
