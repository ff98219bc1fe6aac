#ifndef CASSIAHUB_STORE_CONFIGURATION_FEED_HPP
#define CASSIAHUB_STORE_CONFIGURATION_FEED_HPP

#include <cassiahub/codec/platform_json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cassiahub::store
{

/// Rows of the table that a daemon reads for its configuration.
constexpr std::string_view configuration_row_prefix = "config/";

/// Counts the accepted edits. Every edit writes this row, so its version is that of the
/// whole document, and two edits that were checked against the same document conflict.
constexpr std::string_view version_row = "config/version";

/// Rows of the table that hold the fleet document, one for each section.
constexpr std::string_view section_row_prefix = "config/section/";

/// The sections read so far and the commit sequence up to which they are known. Only
/// changed sections are read again: 0.22 changes/s of a whole document of the design
/// size would cost a daemon more than its 9 KB/s.
struct configuration_feed
{
    std::uint64_t m_sequence = 0;
    std::map<std::string, decision::table_row, std::less<>> m_sections;
    decision::table_row m_version_row; ///< version 0 while it does not exist
};

/// Merges what a read of configuration_row_prefix after m_sequence returned. A result
/// that is older than what was merged before is ignored.
/// \returns true when a section changed or was deleted.
bool merge_sections(configuration_feed & feed, codec::table_rows const & rows);

/// \returns the document, with the sections in row order.
std::string assemble_document(configuration_feed const & feed);

/// \returns the version of the document: that of version_row, which a deletion raises
/// as well, or the highest version of a section when no row counts the edits.
std::uint64_t document_version(configuration_feed const & feed) noexcept;

} // namespace cassiahub::store

#endif
