#ifndef CASSIAHUB_SRC_GATEWAY_REGISTRATION_HPP
#define CASSIAHUB_SRC_GATEWAY_REGISTRATION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassiahub::gateway
{

/// What an entry instance keeps in the store, so that the others find it.
struct registration
{
    std::string m_domain;
    std::string m_peer_address;
    std::int64_t m_renewed_ms = 0; ///< clock of the store at the renewal; 0: not known
};

std::string format_registration(registration const & entry);

/// \returns nothing when \p text is malformed.
std::optional<registration> parse_registration(std::string_view text);

} // namespace cassiahub::gateway

#endif
