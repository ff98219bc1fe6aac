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

/// Settings of one cassiahub-gateway process: section [gateway] of its INI file.
struct gateway_settings
{
    std::string m_instance;       ///< name, unique among the running instances
    std::string m_domain;         ///< failure domain of the instance
    std::string m_caller_address; ///< "ip:port" that accepts requests of callers
    std::string m_ready_address;  ///< "ip:port" for readiness checks of the load balancer
    std::string m_metrics_address; ///< "ip:port" that serves the metrics
    std::string m_peer_address;    ///< "ip:port" that accepts requests of other instances
    std::string m_peer_secret;     ///< secret that all instances share; never logged
    std::string m_store_address;   ///< "ip:port" of the store
    /// Longest time from the stop signal to the end of the process.
    duration m_grace = std::chrono::seconds(6);
    /// Longest lease that an upstream grants.
    duration m_longest_lease = std::chrono::milliseconds(1000);
    bool operator==(gateway_settings const &) const = default;
};

/// Parses and validates the settings file \p text.
/// \param faults every fault found is appended.
/// \returns the settings, or nothing when a fault was found. Thread-safe.
std::optional<gateway_settings>
parse_gateway_settings(std::string_view text, std::vector<config_error> & faults);

} // namespace cassiahub::config

#endif
