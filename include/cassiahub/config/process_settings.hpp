#ifndef CASSIAHUB_CONFIG_PROCESS_SETTINGS_HPP
#define CASSIAHUB_CONFIG_PROCESS_SETTINGS_HPP

#include <cassiahub/config/error.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// Settings of one cassiahub-entry process, from its own INI file, section [entry].
struct entry_settings
{
    std::string m_instance;         ///< name, unique among live instances
    std::string m_domain;           ///< failure domain of the instance
    std::string m_caller_address;   ///< "ip:port" for callers and operators
    std::string m_peer_address;     ///< "ip:port" for other entry instances
    std::string m_platform_address; ///< "ip:port" of the platform's service
    std::string m_peer_secret;      ///< shared by all entry instances; never logged
    std::uint32_t m_caller_threads = 512;
    std::uint32_t m_upstream_threads = 128;
    std::uint32_t m_max_body_kib = 4096;
    duration m_poll_period = std::chrono::seconds(1);
    /// Longest time from the stop signal to the end of the process. What is in progress
    /// then is cut off. The default is the longest deadline of a job.
    duration m_grace = std::chrono::minutes(10);
};

/// Checks the settings file \p text.
/// \returns the settings, or nothing when there was a fault. Thread-safe.
std::optional<entry_settings> parse_entry_settings(std::string_view text,
                                                   std::vector<config_fault> & faults);

/// Reads the file \p path into \p text.
std::error_code read_file(std::string const & path, std::string & text);

} // namespace cassiahub::config

#endif
