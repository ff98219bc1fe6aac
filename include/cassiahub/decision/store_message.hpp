#ifndef CASSIAHUB_DECISION_STORE_MESSAGE_HPP
#define CASSIAHUB_DECISION_STORE_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cassiahub::decision
{

/// Request number: chosen by the requester and repeated in the reply.
using store_request_number = std::uint64_t;

/// A row of the platform's table. The version of a row only increases.
struct table_row
{
    std::string m_name;
    std::uint64_t m_version = 0;
    std::string m_value;
};

/// One row of an atomic write.
struct row_write
{
    std::string m_name;
    /// Required version of the row; 0: the row must not exist; empty: any.
    std::optional<std::uint64_t> m_expected_version;
    /// New value; empty: the row is deleted.
    std::optional<std::string> m_value;
};

/// Outcome of a store request.
enum class store_outcome
{
    done,       ///< written, or read
    conflict,   ///< a row had another version than expected; nothing was written
    unavailable ///< no reply; a write may or may not have taken effect
};

/// Writes all rows or none. If the reply is lost, the platform client asks the store
/// whether m_write_id took effect; the outcome is unavailable only if that fails too.
struct write_store
{
    store_request_number m_request = 0;
    std::string m_write_id; ///< unique for each write
    std::vector<row_write> m_rows;
};

/// Reads every row whose name starts with m_prefix.
struct read_store
{
    store_request_number m_request = 0;
    std::string m_prefix;
};

/// Reply to a write_store or read_store.
struct store_reply
{
    store_request_number m_request = 0;
    store_outcome m_outcome = store_outcome::unavailable;
    std::vector<table_row> m_rows; ///< of a read; of a write: only names and new versions
};

} // namespace cassiahub::decision

#endif
