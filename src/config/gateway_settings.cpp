#include "config/section_reader.hpp"
#include "config/value_parsers.hpp"

#include <cassiahub/config/gateway_settings.hpp>

#include <span>

namespace cassiahub::config
{

namespace internal
{

namespace
{

using namespace std::chrono_literals;
using gateway_rule = key_rule<gateway_settings>;

template <std::string gateway_settings::*Member>
bool assign_name(std::string_view value, gateway_settings & record)
{
    record.*Member = value;
    return is_name(value);
}

template <std::string gateway_settings::*Member>
bool assign_address(std::string_view value, gateway_settings & record)
{
    record.*Member = value;
    return is_socket_address(value);
}

bool assign_secret(std::string_view value, gateway_settings & record)
{
    constexpr std::size_t min_length = 16;
    constexpr std::size_t max_length = 256;
    record.m_peer_secret = value;
    return value.size() >= min_length && value.size() <= max_length;
}

std::span<gateway_rule const> gateway_rules() noexcept
{
    constexpr std::string_view name = "name of 1 to 64 letters, digits, - and _";
    constexpr std::string_view address = "IPv4 address:port";
    static constexpr gateway_rule rules[] = {
        {"instance", name, true, &assign_name<&gateway_settings::m_instance>},
        {"domain", name, true, &assign_name<&gateway_settings::m_domain>},
        {"caller_address", address, true,
         &assign_address<&gateway_settings::m_caller_address>},
        {"ready_address", address, true,
         &assign_address<&gateway_settings::m_ready_address>},
        {"metrics_address", address, true,
         &assign_address<&gateway_settings::m_metrics_address>},
        {"peer_address", address, true,
         &assign_address<&gateway_settings::m_peer_address>},
        {"peer_secret", "16 to 256 characters", true, &assign_secret},
        {"store_address", address, true,
         &assign_address<&gateway_settings::m_store_address>},
        {"grace", "2s to 10min", false,
         [](std::string_view value, gateway_settings & record)
         {
             return parse_duration(value, 2s, 10min, record.m_grace);
         }},
        {"longest_lease", "200ms to 60s", false,
         [](std::string_view value, gateway_settings & record)
         {
             return parse_duration(value, 200ms, 60s, record.m_longest_lease);
         }},
    };
    return rules;
}

} // namespace

} // namespace internal

std::optional<gateway_settings> parse_gateway_settings(std::string_view text,
                                                       std::vector<config_error> & faults)
{
    std::size_t const faults_before = faults.size();
    ini_document const document = parse_ini(text, faults);
    gateway_settings settings;
    for (ini_section const & section : document.m_sections)
    {
        if (section.m_name == "gateway")
        {
            internal::apply_section(section, internal::gateway_rules(), settings, faults);
        }
        else
        {
            faults.push_back({config_errc::unknown_section, section.m_name, "",
                              section.m_line, "gateway"});
        }
    }
    if (find_section(document, "gateway") == nullptr)
    {
        faults.push_back(
            {config_errc::missing_key, "gateway", "", 0, "section [gateway]"});
    }
    return faults.size() == faults_before ? std::optional(settings) : std::nullopt;
}

} // namespace cassiahub::config
