#ifndef CASSIAHUB_CONFIG_SECTION_READER_HPP
#define CASSIAHUB_CONFIG_SECTION_READER_HPP

#include "config/key_rules.hpp"

#include <cassiahub/config/ini_document.hpp>

#include <algorithm>
#include <span>
#include <string>
#include <vector>

namespace cassiahub::config::internal
{

using fault_list = std::vector<config_error>;

/// \returns the keys of \p rules, separated by commas.
template <typename Record>
std::string join_rule_keys(std::span<key_rule<Record> const> rules)
{
    std::string text;
    for (key_rule<Record> const & rule : rules)
    {
        text += text.empty() ? "" : ", ";
        text += rule.m_key;
    }
    return text;
}

/// Stores the value of \p entry in \p record, or appends a fault.
template <typename Record>
void apply_entry(ini_section const & section, ini_entry const & entry,
                 std::span<key_rule<Record> const> rules, Record & record,
                 fault_list & faults)
{
    auto const rule = std::find_if(rules.begin(), rules.end(),
                                   [&entry](key_rule<Record> const & candidate)
                                   { return candidate.m_key == entry.m_key; });
    if (rule == rules.end())
    {
        faults.push_back({config_errc::unknown_key, section.m_name, entry.m_key,
                          entry.m_line, join_rule_keys(rules)});
    }
    else if (!rule->m_apply(entry.m_value, record))
    {
        faults.push_back({config_errc::bad_value, section.m_name, entry.m_key,
                          entry.m_line, std::string(rule->m_allowed)});
    }
}

/// Stores the values of \p section in \p record. Appends a fault for each unknown key,
/// each value that is not allowed and each missing required key.
template <typename Record>
void apply_section(ini_section const & section, std::span<key_rule<Record> const> rules,
                   Record & record, fault_list & faults)
{
    for (ini_entry const & entry : section.m_entries)
    {
        apply_entry(section, entry, rules, record, faults);
    }
    for (key_rule<Record> const & rule : rules)
    {
        if (rule.m_required && find_entry(section, rule.m_key) == nullptr)
        {
            faults.push_back({config_errc::missing_key, section.m_name,
                              std::string(rule.m_key), section.m_line,
                              std::string(rule.m_allowed)});
        }
    }
}

} // namespace cassiahub::config::internal

#endif
