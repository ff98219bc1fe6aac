#ifndef CASSIAHUB_SRC_GATEWAY_REGISTRATION_HPP
#define CASSIAHUB_SRC_GATEWAY_REGISTRATION_HPP

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
};

std::string format_registration(registration const & entry);

/// \returns nothing when \p text is malformed.
std::optional<registration> parse_registration(std::string_view text);

} // namespace cassiahub::gateway

#endif
