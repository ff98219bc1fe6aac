#ifndef CASSIAHUB_GATEWAY_WIRE_FORMAT_HPP
#define CASSIAHUB_GATEWAY_WIRE_FORMAT_HPP

#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/core/job.hpp>
#include <cassiahub/decision/event.hpp>
#include <cassiahub/http/message.hpp>
#include <cassiahub/lease/call.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace cassiahub::gateway
{

/// A row of the store. Versions of all rows come from one counter.
struct store_row
{
    std::string m_key;
    std::uint64_t m_version = 0;
    std::string m_value;
    bool m_removed = false;
};

/// Rows that a read or a watch has returned.
struct store_rows
{
    std::vector<store_row> m_rows; ///< of a read: sorted by key
    bool m_more = false;           ///< a read has left rows out
    std::uint64_t m_version = 0;   ///< newest version that the reply covers
    std::int64_t m_clock_ms = 0;   ///< clock of the store
};

/// How a store request ended.
enum class store_status
{
    done,
    refused,      ///< nothing was done
    history_lost, ///< a watch must begin again with a read
    malformed     ///< the reply cannot be read
};

/// Tables that the gateway uses.
enum class store_table
{
    configuration, ///< the fleet configuration, at configuration_key()
    upstreams,     ///< registrations of upstreams
    instances      ///< registrations of entry instances
};

/// Functions of one wire format. They translate and decide nothing; all are thread-safe.
struct wire_format
{
    // Store.

    /// Reads rows of \p table from the key \p from on.
    http::request (*m_write_read)(store_table table, std::string_view from);
    /// Waits at most \p wait for rows changed after the version \p after.
    http::request (*m_write_watch)(store_table table, std::uint64_t after, duration wait);
    /// Writes the row \p key, or removes it when \p value is empty.
    http::request (*m_write_row)(store_table table, std::string_view key,
                                 std::optional<std::string_view> value);
    store_status (*m_read_rows)(http::response const & received, store_rows & rows);
    /// Key of the fleet configuration in its table.
    std::string_view (*m_configuration_key)();

    // Documents.

    /// \returns the configuration without upstreams, or nothing when it is malformed.
    std::optional<config::fleet_configuration> (*m_read_configuration)(
        std::string_view document);
    /// \returns the registered upstream, or nothing when the row names none to use.
    std::optional<decision::discovered_upstream> (*m_read_upstream)(
        std::string_view key, std::string_view value);

    // Callers.

    /// Reads everything but the route of a request.
    std::error_code (*m_read_request)(http::request received,
                                      decision::routed_request & request);
    http::response (*m_write_answer)(decision::key_operation operation,
                                     job_answer const & answer);
    /// \returns true for a request of the balancer that asks for readiness.
    bool (*m_is_readiness_request)(http::request const & received);

    // Upstreams.

    http::request (*m_write_call)(lease::upstream_call const & call);
    /// \returns the reply without its number and upstream.
    lease::upstream_reply (*m_read_reply)(http::response const & received);
};

} // namespace cassiahub::gateway

#endif
