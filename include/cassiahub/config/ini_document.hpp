#ifndef CASSIAHUB_CONFIG_INI_DOCUMENT_HPP
#define CASSIAHUB_CONFIG_INI_DOCUMENT_HPP

#include <cassiahub/config/error.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// One "key = value" line.
struct ini_entry
{
    std::string m_key;
    std::string m_value;
    std::size_t m_line = 0; ///< from 1
};

/// One "[name]" section with its entries in document order.
struct ini_section
{
    std::string m_name;     ///< empty: entries before the first section header
    std::size_t m_line = 0; ///< line of the header, from 1
    std::vector<ini_entry> m_entries;
};

/// A parsed INI text. When parse_ini() found no fault, section names are unique, and so
/// are the keys of a section.
struct ini_document
{
    std::vector<ini_section> m_sections;
};

/// Parses \p text.
/// \param faults every fault found is appended.
/// \returns the lines that could be parsed, also when there are faults.
/// Thread-safe.
ini_document parse_ini(std::string_view text, std::vector<config_error> & faults);

/// \returns the first section called \p name, or nullptr. O(number of sections).
ini_section const * find_section(ini_document const & document, std::string_view name);

/// \returns the first entry of \p key in \p section, or nullptr. O(number of entries).
ini_entry const * find_entry(ini_section const & section, std::string_view key);

} // namespace cassiahub::config

#endif
