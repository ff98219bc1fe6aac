#ifndef CASSIAHUB_DECISION_STORE_MESSAGE_HPP
#define CASSIAHUB_DECISION_STORE_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cassiahub::decision
{

/// Number that a store request and its answer share.
using store_request = std::uint64_t;

/// A row of the platform's table. Versions of a row only grow.
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
    /// Version that the row must have; 0: the row must not exist; empty: any.
    std::optional<std::uint64_t> m_expected_version;
    /// New value; empty: the row is deleted.
    std::optional<std::string> m_value;
};

/// How a store request ended.
enum class store_outcome
{
    done,       ///< written, or read
    conflict,   ///< a row did not have the expected version; nothing was written
    unavailable ///< no answer; a write may or may not have taken effect
};

/// Writes all rows or none. After a lost answer the platform client asks for
/// the fate of m_write_id before it reports; only when that fails as well the outcome
/// is unavailable.
struct write_store
{
    store_request m_request = 0;
    std::string m_write_id; ///< unique for each write
    std::vector<row_write> m_rows;
};

/// Reads every row whose name starts with m_prefix.
struct read_store
{
    store_request m_request = 0;
    std::string m_prefix;
};

/// Answer to a write_store or read_store.
struct store_answered
{
    store_request m_request = 0;
    store_outcome m_outcome = store_outcome::unavailable;
    std::vector<table_row> m_rows; ///< of a read; of a write: names and new versions
};

} // namespace cassiahub::decision

#endif
