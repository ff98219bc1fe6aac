#include <cassiahub/config.hpp>
#include <cassiahub/ctl/config_commands.hpp>
#include <cassiahub/platform.hpp>
#include <cassiahub/runtime/program.hpp>

#include <fmt/format.h>

#include <iostream>
#include <optional>
#include <vector>

namespace cassiahub::ctl
{

namespace internal
{

/// Reads and checks a fleet document. \returns false after printing its faults.
bool load_document(std::string const & path, std::string & text)
{
    if (std::error_code const error = config::read_file(path, text))
    {
        std::cerr << path << ": " << error.message() << '\n';
        return false;
    }
    std::vector<config::config_fault> faults;
    bool const sound = config::parse_fleet_document(text, faults).has_value();
    for (config::config_fault const & fault : faults)
    {
        std::cerr << path << ": " << to_string(fault) << '\n';
    }
    return sound;
}

std::string format_section(config::ini_section const & section)
{
    std::string text = fmt::format("[{}]\n", section.m_name);
    for (config::ini_entry const & entry : section.m_entries)
    {
        text += fmt::format("{} = {}\n", entry.m_key, entry.m_value);
    }
    return text;
}

} // namespace internal

int check_config(std::string const & path)
{
    std::string text;
    return internal::load_document(path, text) ? runtime::exit_success
                                               : runtime::exit_usage;
}

int init_config(std::string const & platform_address, std::string const & path)
{
    std::string text;
    if (!internal::load_document(path, text))
    {
        return runtime::exit_usage;
    }
    std::vector<config::config_fault> faults;
    decision::write_store write;
    write.m_write_id = "config-init";
    for (config::ini_section const & section : config::parse_ini(text, faults).m_sections)
    {
        write.m_rows.push_back(
            {std::string(platform::section_row_prefix) + section.m_name, 0,
             internal::format_section(section)});
    }
    platform::client client{
        platform_address, "cassiahubctl", std::chrono::seconds(5), {}};
    std::vector<decision::table_row> versions;
    decision::store_outcome const outcome = platform::write_rows(client, write, versions);
    if (outcome == decision::store_outcome::done)
    {
        std::cout << write.m_rows.size() << " sections written\n";
        return runtime::exit_success;
    }
    std::cerr << (outcome == decision::store_outcome::conflict
                      ? "conflict: the fleet has a document already\n"
                      : "the platform is unavailable\n");
    return runtime::exit_failed;
}

} // namespace cassiahub::ctl
