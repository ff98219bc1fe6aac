#ifndef CASSIAHUB_STANDIN_TABLE_HPP
#define CASSIAHUB_STANDIN_TABLE_HPP

#include <cassiahub/codec/platform_json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace cassiahub::standin
{

/// A row, or the trace of a deleted one.
struct stored_row
{
    std::uint64_t m_version = 0;
    bool m_deleted = false;
    std::string m_value;
};

/// The transactional table. A row's version is the commit sequence of its last write.
struct table
{
    std::uint64_t m_sequence = 0;
    std::map<std::string, stored_row, std::less<>> m_rows;
    std::map<std::string, codec::table_rows, std::less<>> m_writes; ///< by identifier
    std::set<std::string, std::less<>> m_refused_writes; ///< resolved before they came
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
batch_outcome commit(table & target, codec::table_batch const & batch,
                     codec::table_rows & rows);

/// \returns the rows with \p prefix written or deleted after \p after.
codec::table_rows read(table const & source, std::string_view prefix,
                       std::uint64_t after);

/// Finds the fate of a write. An identifier that was not seen is refused from now on.
/// \returns true and the written rows when it was committed.
bool resolve(table & target, std::string_view write_id, codec::table_rows & rows);

} // namespace cassiahub::standin

#endif
