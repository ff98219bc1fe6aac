#include "gateway/registration.hpp"

#include <cassiahub/gateway/error.hpp>
#include <cassiahub/http/address.hpp>

#include <nlohmann/json.hpp>

#include <limits>

namespace cassiahub::gateway
{

std::string format_registration(registration const & entry)
{
    return nlohmann::json{{"domain", entry.m_domain},
                          {"peer_address", entry.m_peer_address},
                          {"renewed_ms", entry.m_renewed_ms}}
        .dump();
}

std::error_code parse_registration(std::string_view text, registration & entry)
{
    nlohmann::json const parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object())
    {
        return registration_errc::not_an_object;
    }
    auto const domain = parsed.find("domain");
    auto const address = parsed.find("peer_address");
    auto const renewed = parsed.find("renewed_ms");
    if (domain == parsed.end() || !domain->is_string() ||
        domain->get_ref<std::string const &>().empty())
    {
        return registration_errc::bad_domain;
    }
    if (address == parsed.end() || !address->is_string() ||
        !http::is_host_address(address->get_ref<std::string const &>()))
    {
        return registration_errc::bad_address;
    }
    entry = {domain->get<std::string>(), address->get<std::string>(), 0};
    if (renewed == parsed.end())
    {
        return {};
    }
    constexpr std::uint64_t largest = std::numeric_limits<std::int64_t>::max();
    if (!renewed->is_number_unsigned() || renewed->get<std::uint64_t>() > largest)
    {
        return registration_errc::bad_member;
    }
    entry.m_renewed_ms = renewed->get<std::int64_t>();
    return {};
}

} // namespace cassiahub::gateway
