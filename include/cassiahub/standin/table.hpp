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

/// A row, or the trace of a deleted one.
struct stored_row
{
    std::uint64_t m_version = 0;
    bool m_deleted = false;
    std::string m_value;
};

/// What became of a write identifier. Without rows it was resolved before it came and
/// is refused.
struct known_write
{
    std::optional<codec::table_rows> m_rows;
};

/// A write identifier is forgotten this long after it was first seen.
constexpr duration write_id_lifetime = std::chrono::minutes(10);

/// The transactional table. A row's version is the commit sequence of its last write.
struct table
{
    std::uint64_t m_sequence = 0;
    std::map<std::string, stored_row, std::less<>> m_rows;
    std::map<std::string, known_write, std::less<>> m_writes;     ///< by identifier
    std::deque<std::pair<time_point, std::string>> m_write_order; ///< oldest first
};

/// How a batch ended.
enum class batch_outcome
{
    committed,
    conflict,
    refused ///< its identifier was resolved as never committed before
};

/// Commits every row of \p batch or none. A repeated identifier commits nothing again
/// and returns the first result.
/// \param rows receives the written rows, or after a conflict the current ones.
batch_outcome commit(table & target, codec::table_batch const & batch, time_point now,
                     codec::table_rows & rows);

/// Writes or, without \p value, deletes one row. \returns the row's version.
std::uint64_t write_row(table & target, std::string const & name,
                        std::optional<std::string> value);

/// \returns the row called \p name, with version 0 when there is none.
decision::table_row current_row(table const & source, std::string const & name);

/// \returns the rows with \p prefix written or deleted after \p after.
codec::table_rows read(table const & source, std::string_view prefix,
                       std::uint64_t after);

/// Finds the fate of a write. An identifier that was not seen is refused from now on.
/// \returns true and the written rows when it was committed.
bool resolve(table & target, std::string_view write_id, time_point now,
             codec::table_rows & rows);

} // namespace cassiahub::standin

#endif
