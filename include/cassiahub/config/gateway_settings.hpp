#ifndef CASSIAHUB_CONFIG_GATEWAY_SETTINGS_HPP
#define CASSIAHUB_CONFIG_GATEWAY_SETTINGS_HPP

#include <cassiahub/config/error.hpp>
#include <cassiahub/config/interference_settings.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
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
    /// Copied to dispatch_settings: the gateway's configuration documents have no such
    /// section.
    interference_settings m_interference{interference_mode::avoid, {}, {}};

    // Limits for callers. A request of an ordinary caller has a spec of up to 4,000
    // bytes, and the caller waits 1.5 s for its answer.

    /// Most connections of callers. The smallest machine has 3,075 descriptors.
    std::uint32_t m_max_connections = 2200;
    /// Largest request line with its header fields.
    std::uint32_t m_max_header_kib = 16;
    /// Largest request body. A spec of 4,000 escaped characters has 24 KB.
    std::uint32_t m_max_body_kib = 64;
    /// Largest extension of a chunk, and largest trailer section.
    std::uint32_t m_max_chunk_kib = 4;
    /// Most bytes held for one connection. A job of 230 tasks with specs of 4,000 bytes
    /// holds 1 MB.
    std::uint32_t m_max_connection_kib = 2048;
    /// Most bytes held for all callers. The smallest machine has 120 MB, of which the
    /// gateway itself uses 29 MB.
    std::uint32_t m_max_held_mib = 48;
    /// Longest time to receive the header of a request; twice the time that a caller
    /// waits for its answer.
    duration m_head_timeout = std::chrono::seconds(3);
    duration m_body_timeout = std::chrono::seconds(3); ///< to receive the rest of a body
    /// Longest time without a request. A caller may keep its connection for its next one.
    duration m_idle_timeout = std::chrono::seconds(60);
    /// Longest time until the caller has taken its answer.
    duration m_response_timeout = std::chrono::seconds(3);

    bool operator==(gateway_settings const &) const = default;
};

/// Parses and validates the settings file \p text.
/// \param faults every fault found is appended.
/// \returns the settings, or nothing when a fault was found. Thread-safe.
std::optional<gateway_settings>
parse_gateway_settings(std::string_view text, std::vector<config_error> & faults);

} // namespace cassiahub::config

#endif
