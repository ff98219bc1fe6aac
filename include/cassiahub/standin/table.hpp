#ifndef CASSIAHUB_STANDIN_TABLE_HPP
#define CASSIAHUB_STANDIN_TABLE_HPP

#include <cassiahub/codec/platform_json.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cassiahub::standin
{

/// A row, or the tombstone of a deleted one.
struct stored_row
{
    std::uint64_t m_version = 0; ///< commit sequence of the last write
    bool m_deleted = false;
    std::string m_value;
};

/// Outcome of the write with one identifier.
struct write_record
{
    /// Rows that the write committed. Empty when the identifier was resolved before any
    /// commit; commits under it are then refused.
    std::optional<codec::table_rows> m_rows;
};

/// Time from the first use of a write identifier to its removal.
constexpr duration write_id_lifetime = std::chrono::minutes(10);

/// Transactional table with one commit sequence over all rows.
struct table
{
    std::uint64_t m_sequence = 0; ///< number of the last commit
    std::map<std::string, stored_row, std::less<>> m_rows;
    std::map<std::string, write_record, std::less<>> m_writes;    ///< by identifier
    std::deque<std::pair<time_point, std::string>> m_write_order; ///< oldest first
};

/// Outcome of a batch.
enum class batch_outcome
{
    committed,
    conflict, ///< a row has another version than the batch expects
    refused   ///< resolve() already reported the identifier as not committed
};

/// Commits every row of \p batch or none. A batch whose identifier has committed before
/// changes nothing and returns the rows of that commit.
/// \param rows receives the written rows or, after a conflict, the current rows.
batch_outcome commit(table & target, codec::table_batch const & batch, time_point now,
                     codec::table_rows & rows);

/// Writes \p value to one row, or deletes the row when \p value is empty.
/// \returns the version of the row.
std::uint64_t write_row(table & target, std::string const & name,
                        std::optional<std::string> value);

/// \returns the row called \p name, with version 0 if it does not exist.
decision::table_row current_row(table const & source, std::string const & name);

/// \returns the rows whose names start with \p prefix and that were written or deleted
/// after commit sequence \p after.
codec::table_rows read_rows(table const & source, std::string_view prefix,
                            std::uint64_t after);

/// Looks up whether a write was committed. Later commits under an unknown identifier are
/// refused.
/// \param rows receives the written rows when the write was committed.
/// \returns true when the write was committed.
bool resolve(table & target, std::string_view write_id, time_point now,
             codec::table_rows & rows);

} // namespace cassiahub::standin

#endif
