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

template <std::uint32_t gateway_settings::*Member, std::uint32_t Low, std::uint32_t High>
bool assign_number(std::string_view value, gateway_settings & record)
{
    return parse_number(value, Low, High, record.*Member);
}

template <duration gateway_settings::*Member>
bool assign_timeout(std::string_view value, gateway_settings & record)
{
    return parse_duration(value, 100ms, 10min, record.*Member);
}

/// Appends a fault for each limit that contradicts another one.
void check_limits(gateway_settings const & settings, std::vector<config_error> & faults)
{
    constexpr std::uint64_t kib_per_mib = 1024;
    if (settings.m_max_connection_kib <
        std::uint64_t(settings.m_max_header_kib) + settings.m_max_body_kib)
    {
        faults.push_back({config_errc::inconsistent_value, "gateway",
                          "max_connection_kib", 0,
                          "at least max_header_kib + max_body_kib"});
    }
    if (settings.m_max_held_mib * kib_per_mib < settings.m_max_connection_kib)
    {
        faults.push_back({config_errc::inconsistent_value, "gateway", "max_held_mib", 0,
                          "at least max_connection_kib"});
    }
}

std::span<gateway_rule const> gateway_rules() noexcept
{
    constexpr std::string_view name = "name of 1 to 64 letters, digits, - and _";
    constexpr std::string_view address = "IPv4 address:port";
    constexpr std::string_view timeout = "100ms to 10min";
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
        {"interference", "off, observe or avoid", false,
         [](std::string_view value, gateway_settings & record)
         {
             return parse_interference_mode(value, record.m_interference.m_mode);
         }},
        {"keep_apart", "pairs of kinds as in a+b, c+d", false,
         [](std::string_view value, gateway_settings & record)
         {
             return parse_kind_pairs(value, record.m_interference.m_keep_apart);
         }},
        {"never_apart", "pairs of kinds as in a+b, c+d", false,
         [](std::string_view value, gateway_settings & record)
         {
             return parse_kind_pairs(value, record.m_interference.m_never_apart);
         }},
        {"max_connections", "16 to 100000", false,
         &assign_number<&gateway_settings::m_max_connections, 16, 100'000>},
        {"max_header_kib", "1 to 1024", false,
         &assign_number<&gateway_settings::m_max_header_kib, 1, 1024>},
        {"max_body_kib", "1 to 16384", false,
         &assign_number<&gateway_settings::m_max_body_kib, 1, 16'384>},
        {"max_chunk_kib", "1 to 1024", false,
         &assign_number<&gateway_settings::m_max_chunk_kib, 1, 1024>},
        {"max_connection_kib", "16 to 1048576", false,
         &assign_number<&gateway_settings::m_max_connection_kib, 16, 1'048'576>},
        {"max_held_mib", "1 to 65536", false,
         &assign_number<&gateway_settings::m_max_held_mib, 1, 65'536>},
        {"head_timeout", timeout, false,
         &assign_timeout<&gateway_settings::m_head_timeout>},
        {"body_timeout", timeout, false,
         &assign_timeout<&gateway_settings::m_body_timeout>},
        {"idle_timeout", timeout, false,
         &assign_timeout<&gateway_settings::m_idle_timeout>},
        {"response_timeout", timeout, false,
         &assign_timeout<&gateway_settings::m_response_timeout>},
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
    internal::check_limits(settings, faults);
    return faults.size() == faults_before ? std::optional(settings) : std::nullopt;
}

} // namespace cassiahub::config
