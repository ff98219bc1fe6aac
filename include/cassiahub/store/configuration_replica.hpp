#ifndef CASSIAHUB_STORE_CONFIGURATION_REPLICA_HPP
#define CASSIAHUB_STORE_CONFIGURATION_REPLICA_HPP

#include <cassiahub/codec/platform_json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cassiahub::store
{

/// Prefix of the table rows from which an instance reads its configuration.
constexpr std::string_view configuration_row_prefix = "config/";

/// Row whose value is the number of accepted edits. Every edit writes this row, so its
/// version is the version of the whole document, and of two edits that were validated
/// against the same document only one can be written.
constexpr std::string_view version_row = "config/version";

/// Prefix of the table rows that hold the fleet configuration document (the configuration
/// that all instances share), one row for each section.
constexpr std::string_view section_row_prefix = "config/section/";

/// Local copy of the sections. Only changed sections are read again: at 0.22 changes/s,
/// reading the whole document of the largest fleet that the system is designed for would
/// exceed the 9 KB/s that one instance may use for control traffic.
struct configuration_replica
{
    std::uint64_t m_sequence = 0; ///< commit sequence up to which the copy is current
    /// Key: name of the row.
    std::map<std::string, decision::table_row, std::less<>> m_sections;
    decision::table_row m_version_row; ///< version 0 while it does not exist
};

/// Merges \p rows, the result of reading configuration_row_prefix after m_sequence. A
/// result older than m_sequence is ignored.
/// \returns true when the version row or a section changed, or a section was deleted.
bool merge_sections(configuration_replica & replica, codec::table_rows const & rows);

/// \returns the text of the document, with the sections sorted by row name.
std::string assemble_document(configuration_replica const & replica);

/// \returns the version of the document: that of version_row, which a deletion increments
/// as well, or the highest version of a section when version_row does not exist.
std::uint64_t document_version(configuration_replica const & replica) noexcept;

} // namespace cassiahub::store

#endif
