#ifndef CASSIAHUB_CONFIG_KEY_DOCUMENTATION_HPP
#define CASSIAHUB_CONFIG_KEY_DOCUMENTATION_HPP

#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// One key of the fleet document as the checks know it.
struct key_documentation
{
    std::string_view m_section; ///< "kind" stands for every [kind.NAME]
    std::string_view m_key;
    std::string_view m_allowed;
    bool m_required = false;
    std::string_view m_default; ///< empty for a required key
    std::string_view m_summary;
};

/// \returns every key of the fleet document, in the order of sections and rules. The
/// list is generated from the rules that check the document. Thread-safe.
std::vector<key_documentation> list_keys();

} // namespace cassiahub::config

#endif
