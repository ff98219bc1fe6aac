#ifndef CASSIAHUB_CODEC_PLATFORM_JSON_HPP
#define CASSIAHUB_CODEC_PLATFORM_JSON_HPP

#include <cassiahub/decision/event.hpp>
#include <cassiahub/decision/store_message.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::codec
{

/// Result of a table read.
struct table_rows
{
    std::uint64_t m_sequence = 0; ///< commit sequence of the table at the read
    std::vector<decision::table_row> m_rows;
    /// Names of the rows that were deleted after the requested commit sequence.
    std::vector<std::string> m_deleted;
};

std::string format_table_rows(table_rows const & rows);

/// \returns false when \p body is malformed; \p rows is then unchanged.
bool parse_table_rows(std::string_view body, table_rows & rows);

/// Body of POST /table:batch: an atomic write of several rows.
struct table_batch
{
    std::string m_write_id; ///< unique for each write
    std::vector<decision::row_write> m_rows;
};

std::string format_table_batch(std::string_view write_id,
                               std::span<decision::row_write const> rows);

/// \returns false when \p body is malformed; \p batch is then unchanged.
bool parse_table_batch(std::string_view body, table_batch & batch);

std::string format_instances(std::span<decision::listed_instance const> instances);

/// \returns false when \p body is malformed; \p instances is then unchanged.
bool parse_instances(std::string_view body,
                     std::vector<decision::listed_instance> & instances);

} // namespace cassiahub::codec

#endif
