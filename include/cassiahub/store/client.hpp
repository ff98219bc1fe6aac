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

/// A connection to the platform's service. Used by one duty.
struct client
{
    std::string m_address; ///< "ip:port"
    std::string m_caller;  ///< name sent as the User-Agent, for the platform's logs
    duration m_timeout = std::chrono::seconds(2);
    http::connection m_connection;
    std::string m_list_tag; ///< entity tag of the instance list that was read last
};

/// Reads the rows whose name starts with \p prefix and that were written or deleted
/// after the commit sequence \p after.
std::error_code read_rows(client & used, std::string_view prefix, std::uint64_t after,
                          codec::table_rows & rows);

/// Writes all rows or none. A lost answer is resolved by asking for the write's
/// identifier; only when that fails too the outcome is unavailable.
/// \param versions receives the new versions after done, the current rows after conflict.
decision::store_outcome write_rows(client & used, decision::write_store const & write,
                                   std::vector<decision::table_row> & versions);

/// Reads the platform's instance list when it has changed since the last call with this
/// client: at the design size the whole list has 0.8 MB.
/// \param instances keeps its value when the list has not changed.
std::error_code list_instances(client & used,
                               std::vector<decision::listed_instance> & instances);

} // namespace cassiahub::store

#endif
