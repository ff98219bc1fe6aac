#include "gateway/registration.hpp"

#include <nlohmann/json.hpp>

namespace cassiahub::gateway
{

std::string format_registration(registration const & entry)
{
    return nlohmann::json{{"domain", entry.m_domain},
                          {"peer_address", entry.m_peer_address},
                          {"renewed_ms", entry.m_renewed_ms}}
        .dump();
}

std::optional<registration> parse_registration(std::string_view text)
{
    nlohmann::json const parsed = nlohmann::json::parse(text, nullptr, false);
    bool const complete = parsed.is_object() && parsed.contains("domain") &&
                          parsed.contains("peer_address") &&
                          parsed["domain"].is_string() &&
                          parsed["peer_address"].is_string();
    if (!complete)
    {
        return std::nullopt;
    }
    auto const renewed = parsed.find("renewed_ms");
    bool const has_renewal_time = renewed != parsed.end() && renewed->is_number_integer();
    return registration{parsed["domain"].get<std::string>(),
                        parsed["peer_address"].get<std::string>(),
                        has_renewal_time ? renewed->get<std::int64_t>() : 0};
}

} // namespace cassiahub::gateway
