#include "ctl/document_diff.hpp"
#include "ctl/operator_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <utility>

namespace cassiahub::ctl::internal
{

using nlohmann::json;

std::string member_text(json const & object, char const * key)
{
    auto const found = object.find(key);
    if (found == object.end())
    {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Appends the differences between two versions of a section to \p changes.
void compare_sections(config::ini_section const & old_section,
                      config::ini_section const & new_section,
                      std::vector<key_change> & changes)
{
    for (config::ini_entry const & entry : new_section.m_entries)
    {
        config::ini_entry const * const old = find_entry(old_section, entry.m_key);
        if (old == nullptr || old->m_value != entry.m_value)
        {
            changes.push_back({new_section.m_name, entry.m_key,
                               old == nullptr ? "" : old->m_value, entry.m_value});
        }
    }
    for (config::ini_entry const & entry : old_section.m_entries)
    {
        if (find_entry(new_section, entry.m_key) == nullptr)
        {
            changes.push_back({new_section.m_name, entry.m_key, entry.m_value, ""});
        }
    }
}

std::vector<key_change> compare_documents(json const & fleet,
                                          config::ini_document const & file)
{
    std::vector<key_change> changes;
    std::vector<config::config_error> faults;
    for (config::ini_section const & section : file.m_sections)
    {
        auto const found =
            std::find_if(fleet["sections"].begin(), fleet["sections"].end(),
                         [&section](json const & candidate)
                         { return member_text(candidate, "name") == section.m_name; });
        if (found == fleet["sections"].end())
        {
            changes.push_back({section.m_name, "", "absent", "added"});
            continue;
        }
        config::ini_document const old =
            config::parse_ini(member_text(*found, "text"), faults);
        if (!old.m_sections.empty())
        {
            compare_sections(old.m_sections.front(), section, changes);
        }
    }
    return changes;
}

void print_changes(std::span<key_change const> changes, output_format output)
{
    if (output == output_format::json)
    {
        json list = json::array();
        for (key_change const & change : changes)
        {
            list.push_back({{"section", change.m_section},
                            {"key", change.m_key},
                            {"old", change.m_old},
                            {"new", change.m_new}});
        }
        std::cout << dump({{"changes", std::move(list)}}) << '\n';
        return;
    }
    for (key_change const & change : changes)
    {
        std::cout << fmt::format("[{}] {}: {} -> {}\n", change.m_section,
                                 change.m_key.empty() ? "section" : change.m_key,
                                 change.m_old.empty() ? "absent" : change.m_old,
                                 change.m_new.empty() ? "absent" : change.m_new);
    }
    if (changes.empty())
    {
        std::cout << "no differences\n";
    }
}

} // namespace cassiahub::ctl::internal
