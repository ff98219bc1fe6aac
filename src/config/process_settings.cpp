#include "config/section_reader.hpp"
#include "config/value_parsers.hpp"

#include <cassiahub/config/process_settings.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace cassiahub::config
{

namespace internal
{

namespace
{

using namespace std::chrono_literals;

bool assign_name(std::string_view value, std::string & target)
{
    target = value;
    return is_name(value);
}

bool assign_address(std::string_view value, std::string & target)
{
    target = value;
    return is_socket_address(value);
}

bool assign_secret(std::string_view value, std::string & target)
{
    constexpr std::size_t min_length = 16;
    constexpr std::size_t max_length = 256;
    target = value;
    return value.size() >= min_length && value.size() <= max_length &&
           std::all_of(value.begin(), value.end(),
                       [](char c) { return c >= ' ' && c <= '~'; });
}

std::span<key_rule<entry_settings> const> entry_rules() noexcept
{
    static constexpr key_rule<entry_settings> rules[] = {
        {"instance", "name of 1 to 64 letters, digits, - and _", true,
         [](std::string_view value, entry_settings & record)
         {
             return assign_name(value, record.m_instance);
         }},
        {"domain", "name of 1 to 64 letters, digits, - and _", true,
         [](std::string_view value, entry_settings & record)
         {
             return assign_name(value, record.m_domain);
         }},
        {"caller_address", "IPv4 address:port", true,
         [](std::string_view value, entry_settings & record)
         {
             return assign_address(value, record.m_caller_address);
         }},
        {"peer_address", "IPv4 address:port", true,
         [](std::string_view value, entry_settings & record)
         {
             return assign_address(value, record.m_peer_address);
         }},
        {"platform_address", "IPv4 address:port", true,
         [](std::string_view value, entry_settings & record)
         {
             return assign_address(value, record.m_platform_address);
         }},
        {"peer_secret", "16 to 256 printable characters", true,
         [](std::string_view value, entry_settings & record)
         {
             return assign_secret(value, record.m_peer_secret);
         }},
        {"caller_threads", "1 to 4096", false,
         [](std::string_view value, entry_settings & record)
         {
             return parse_number(value, 1, 4096, record.m_caller_threads);
         }},
        {"upstream_threads", "1 to 2048", false,
         [](std::string_view value, entry_settings & record)
         {
             return parse_number(value, 1, 2048, record.m_upstream_threads);
         }},
        {"max_body_kib", "1 to 65536", false,
         [](std::string_view value, entry_settings & record)
         {
             return parse_number(value, 1, 65'536, record.m_max_body_kib);
         }},
        {"max_held_mib", "1 to 65536", false,
         [](std::string_view value, entry_settings & record)
         {
             return parse_number(value, 1, 65'536, record.m_max_held_mib);
         }},
        {"poll_period", "100ms to 3s", false,
         [](std::string_view value, entry_settings & record)
         {
             return parse_duration(value, 100ms, 3s, record.m_poll_period);
         }},
        {"grace", "2s to 600s", false,
         [](std::string_view value, entry_settings & record)
         {
             return parse_duration(value, 2s, 600s, record.m_grace);
         }},
    };
    return rules;
}

} // namespace

} // namespace internal

std::optional<entry_settings> parse_entry_settings(std::string_view text,
                                                   std::vector<config_error> & faults)
{
    std::size_t const faults_before = faults.size();
    ini_document const document = parse_ini(text, faults);
    entry_settings settings;
    for (ini_section const & section : document.m_sections)
    {
        if (section.m_name == "entry")
        {
            internal::apply_section(section, internal::entry_rules(), settings, faults);
        }
        else
        {
            faults.push_back({config_errc::unknown_section, section.m_name, "",
                              section.m_line, "entry"});
        }
    }
    if (find_section(document, "entry") == nullptr)
    {
        faults.push_back({config_errc::missing_key, "entry", "", 0, "section [entry]"});
    }
    constexpr std::uint64_t kib_per_mib = 1024;
    if (settings.m_max_held_mib * kib_per_mib < settings.m_max_body_kib)
    {
        faults.push_back({config_errc::inconsistent_value, "entry", "max_held_mib", 0,
                          "at least max_body_kib"});
    }
    if (faults.size() != faults_before)
    {
        return std::nullopt;
    }
    return settings;
}

std::error_code read_file(std::string const & path, std::string & text)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
    {
        return config_errc::unreadable_file;
    }
    text.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    return {};
}

} // namespace cassiahub::config
