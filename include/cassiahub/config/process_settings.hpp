#ifndef CASSIAHUB_CONFIG_PROCESS_SETTINGS_HPP
#define CASSIAHUB_CONFIG_PROCESS_SETTINGS_HPP

#include <cassiahub/config/error.hpp>
#include <cassiahub/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// Settings of one cassiahub-entry process: section [entry] of its INI file.
struct entry_settings
{
    std::string m_instance; ///< name, unique among the running instances
    std::string m_domain;   ///< failure domain of the instance
    std::string
        m_caller_address; ///< "ip:port" that accepts requests of callers and operators
    std::string
        m_peer_address; ///< "ip:port" that accepts requests of other entry instances
    std::string m_platform_address; ///< "ip:port" of the platform service
    std::string m_peer_secret; ///< secret that all entry instances share; never logged
    std::uint32_t m_caller_threads = 512;   ///< that serve callers and operators
    std::uint32_t m_upstream_threads = 128; ///< that send tasks to upstreams
    std::uint32_t m_max_body_kib = 4096;    ///< largest request body, in KiB
    /// Largest sum of the bodies held for callers, in MiB. 512 bodies of 230 tasks with a
    /// few hundred bytes each take 51 MiB.
    std::uint32_t m_max_held_mib = 64;
    // Without keys in the INI file.
    std::uint32_t m_max_peer_connections = 1024; ///< incoming, of all peers together
    /// Largest message of a peer. A job body has at most 64 MiB.
    std::size_t m_max_peer_message_bytes = 128 * 1024 * 1024;
    /// Interval between polls of the platform service.
    duration m_poll_period = std::chrono::seconds(1);
    /// Longest time from the stop signal to the end of the process; requests still in
    /// progress are then aborted. The default is the longest deadline of a job.
    duration m_grace = std::chrono::minutes(10);
};

/// Parses and validates the settings file \p text.
/// \param faults every fault found is appended.
/// \returns the settings, or nothing when a fault was found. Thread-safe.
std::optional<entry_settings> parse_entry_settings(std::string_view text,
                                                   std::vector<config_error> & faults);

/// Reads the file \p path into \p text.
/// \returns config_errc::unreadable_file when the file cannot be opened.
std::error_code read_file(std::string const & path, std::string & text);

} // namespace cassiahub::config

#endif
