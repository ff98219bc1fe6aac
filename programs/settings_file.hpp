#ifndef CASSIAHUB_PROGRAMS_SETTINGS_FILE_HPP
#define CASSIAHUB_PROGRAMS_SETTINGS_FILE_HPP

#include <cassiahub/config/error.hpp>
#include <cassiahub/config/process_settings.hpp>

#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reads and validates the settings file \p path. Prints faults on standard error.
/// \returns the settings, or nothing when the file cannot be read or has a fault.
template <typename Settings>
std::optional<Settings> load_settings(
    std::string const & path,
    std::optional<Settings> (*parse)(std::string_view,
                                     std::vector<cassiahub::config::config_error> &))
{
    std::string text;
    if (std::error_code const error = cassiahub::config::read_file(path, text))
    {
        std::cerr << path << ": " << error.message() << '\n';
        return std::nullopt;
    }
    std::vector<cassiahub::config::config_error> faults;
    auto settings = parse(text, faults);
    for (cassiahub::config::config_error const & fault : faults)
    {
        std::cerr << path << ": " << to_string(fault) << '\n';
    }
    return settings;
}

#endif
