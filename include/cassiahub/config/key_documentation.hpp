#ifndef CASSIAHUB_CONFIG_KEY_DOCUMENTATION_HPP
#define CASSIAHUB_CONFIG_KEY_DOCUMENTATION_HPP

#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// Documentation of one key of the fleet configuration document.
struct key_documentation
{
    std::string_view m_section; ///< "kind" stands for every [kind.NAME]
    std::string_view m_key;
    std::string_view m_allowed; ///< allowed values, as text
    bool m_required = false;
    std::string_view m_default; ///< empty for a required key
    std::string_view m_summary; ///< meaning, in one line
};

/// \returns every key of the fleet configuration document, grouped by section type. The
/// list is generated from the rules that validate the document. Thread-safe.
std::vector<key_documentation> list_keys();

} // namespace cassiahub::config

#endif
