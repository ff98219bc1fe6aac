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

/// A row of the store. Versions come from one counter for the whole store.
struct store_row
{
    std::string m_key;
    std::uint64_t m_version = 0;
    std::string m_value;    ///< empty when it cannot be read
    bool m_removed = false; ///< the row was deleted; it has no value
};

/// Result of a read or a watch.
struct store_rows
{
    std::vector<store_row> m_rows; ///< sorted by key in the result of a read
    bool m_more = false;         ///< a read stopped at its row limit; further rows follow
    std::uint64_t m_version = 0; ///< version of the store that the reply reflects
    std::int64_t m_clock_ms = 0; ///< steady clock of the store, ms
};

/// Outcome of a store request.
enum class store_status
{
    done,
    refused,      ///< the store did not perform the request
    history_lost, ///< the store no longer has the changes; read the table again
    malformed     ///< the reply cannot be parsed
};

/// Tables of the store that the gateway uses.
enum class store_table
{
    /// The operator's rows: the fleet configuration, at m_configuration_key(), and the
    /// drained failure domains.
    configuration,
    upstreams, ///< registrations of upstreams
    instances  ///< registrations of gateway instances
};

/// Encoders and decoders of one wire format. They make no decisions; all are thread-safe.
struct wire_format
{
    // Requests to the store and their replies.

    /// \returns a request that reads the rows of \p table in key order, starting at key
    /// \p from.
    http::request (*m_encode_read)(store_table table, std::string_view from);
    /// \returns a request that waits at most \p wait for rows changed after version
    /// \p after.
    http::request (*m_encode_watch)(store_table table, std::uint64_t after,
                                    duration wait);
    /// \returns a request that writes the row \p key, or removes it when
    /// \p value is empty (std::nullopt).
    http::request (*m_encode_write)(store_table table, std::string_view key,
                                    std::optional<std::string_view> value);
    /// Decodes the reply to a read, watch or write into \p rows. The reply to a write
    /// contains no rows.
    store_status (*m_decode_rows)(http::response const & received, store_rows & rows);
    /// \returns the key of the fleet configuration in store_table::configuration.
    std::string_view (*m_configuration_key)();
    /// \returns the failure domain that the row \p key of store_table::configuration
    /// drains while it exists, whatever its value, or nothing for any other row.
    std::optional<std::string_view> (*m_drained_domain)(std::string_view key);

    // Documents in the store.

    /// \returns the configuration without its upstreams, or nothing when \p document is
    /// malformed.
    std::optional<config::fleet_configuration> (*m_decode_configuration)(
        std::string_view document);
    /// Decodes the row of a registered upstream into \p upstream. Its name satisfies
    /// codec::is_valid_key() and its address can be connected to.
    /// \returns a registration_errc when the row is no valid registration of an upstream
    /// that is ready or draining; \p upstream is then unspecified.
    std::error_code (*m_decode_upstream)(std::string_view key, std::string_view value,
                                         decision::discovered_upstream & upstream);

    // Requests from callers and their responses.

    /// Decodes \p received into \p request, without determining the route.
    /// \returns an error when \p received is malformed or cannot be served. Without an
    /// error all texts of \p request are UTF-8, and the last segment of its path is an
    /// id unless the operation is count.
    std::error_code (*m_decode_request)(http::request received,
                                        decision::routed_request & request);
    http::response (*m_encode_answer)(decision::key_operation operation,
                                      job_answer const & answer);
    /// \returns true for a readiness check of the load balancer.
    bool (*m_is_readiness_request)(http::request const & received);

    // Calls to upstreams and their replies. An exception fails only the call.

    http::request (*m_encode_call)(lease::upstream_call const & call);
    /// \returns the reply without its call number and upstream, which the calling code
    /// adds.
    lease::upstream_reply (*m_decode_reply)(http::response const & received);
};

} // namespace cassiahub::gateway

#endif
