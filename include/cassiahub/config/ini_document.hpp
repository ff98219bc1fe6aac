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
    std::size_t m_line = 0;
};

/// One "[name]" section with its entries in document order.
struct ini_section
{
    std::string m_name;
    std::size_t m_line = 0;
    std::vector<ini_entry> m_entries;
};

/// A parsed INI text. Section names are unique, and keys are unique inside a section.
struct ini_document
{
    std::vector<ini_section> m_sections;
};

/// Parses \p text. Faults are appended to \p faults; what could be read is returned.
/// Thread-safe.
ini_document parse_ini(std::string_view text, std::vector<config_fault> & faults);

/// \returns the section called \p name, or nullptr.
ini_section const * find_section(ini_document const & document, std::string_view name);

/// \returns the entry of \p key in \p section, or nullptr.
ini_entry const * find_entry(ini_section const & section, std::string_view key);

} // namespace cassiahub::config

#endif
