#ifndef CASSIAHUB_CONFIG_GATEWAY_SETTINGS_HPP
#define CASSIAHUB_CONFIG_GATEWAY_SETTINGS_HPP

#include <cassiahub/config/error.hpp>
#include <cassiahub/core/time.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// Settings of one cassiahub-gateway process, from its own INI file, section [gateway].
struct gateway_settings
{
    std::string m_instance;        ///< name, unique among live instances
    std::string m_domain;          ///< failure domain of the instance
    std::string m_caller_address;  ///< "ip:port" for callers
    std::string m_ready_address;   ///< "ip:port" for the balancer's readiness requests
    std::string m_metrics_address; ///< "ip:port" for metrics
    std::string m_peer_address;    ///< "ip:port" for other instances
    std::string m_peer_secret;     ///< shared by all instances; never logged
    std::string m_store_address;   ///< "ip:port" of the store
    /// Time between a request to stop and the end of the process.
    duration m_grace = std::chrono::seconds(6);
    /// Longest lease that an upstream grants.
    duration m_longest_lease = std::chrono::milliseconds(1000);
    bool operator==(gateway_settings const &) const = default;
};

/// Checks the settings file \p text.
/// \returns the settings, or nothing when there was a fault. Thread-safe.
std::optional<gateway_settings>
parse_gateway_settings(std::string_view text, std::vector<config_fault> & faults);

} // namespace cassiahub::config

#endif
