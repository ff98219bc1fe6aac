#ifndef CASSIAHUB_STORE_CLIENT_HPP
#define CASSIAHUB_STORE_CLIENT_HPP

#include <cassiahub/codec/platform_json.hpp>
#include <cassiahub/decision/store_message.hpp>
#include <cassiahub/http/client.hpp>
#include <cassiahub/store/error.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::store
{

/// Client of the platform service. Not thread-safe.
struct client
{
    std::string m_address; ///< "ip:port"
    std::string m_caller;  ///< sent as the User-Agent, for the logs of the platform
    duration m_timeout = std::chrono::seconds(2); ///< of each request
    http::connection m_connection;                ///< kept open between requests
    std::string m_instances_etag; ///< ETag of the last instance list that was read
};

/// Reads the rows whose name starts with \p prefix and that were written or deleted
/// after the commit sequence \p after.
std::error_code read_rows(client & store_client, std::string_view prefix,
                          std::uint64_t after, codec::table_rows & rows);

/// Writes all rows or none. When the reply is lost, queries whether the platform has
/// committed the write; the outcome is unavailable only when this query fails too.
/// \param versions receives the new versions after done, the current rows after conflict.
decision::store_outcome write_rows(client & store_client,
                                   decision::write_store const & write,
                                   std::vector<decision::table_row> & versions);

/// Reads the instance list if it has changed since the last call with this client. With
/// the number of instances that the system is designed for, the list has 0.8 MB.
/// \param instances unchanged when the list has not changed.
std::error_code list_instances(client & store_client,
                               std::vector<decision::listed_instance> & instances);

} // namespace cassiahub::store

#endif
