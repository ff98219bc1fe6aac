#include "config/key_rules.hpp"
#include "config/section_reader.hpp"
#include "config/value_parsers.hpp"

#include <cassiahub/config/fleet_document.hpp>
#include <cassiahub/config/ini_document.hpp>

#include <algorithm>
#include <string>

namespace cassiahub::config
{

namespace internal
{

template <typename Record>
void append_record(ini_section const & section, std::string_view name,
                   std::span<key_rule<Record> const> rules, std::vector<Record> & records,
                   fault_list & faults)
{
    if (!is_name(name))
    {
        faults.push_back({config_errc::unknown_section, section.m_name, "",
                          section.m_line, "names of 1 to 64 letters, digits, - and _"});
        return;
    }
    Record & record = records.emplace_back();
    record.m_name = name;
    apply_section(section, rules, record, faults);
}

void convert_section(ini_section const & section, fleet_configuration & configuration,
                     fault_list & faults)
{
    std::string_view const full = section.m_name;
    std::size_t const dot = full.find('.');
    std::string_view const type = full.substr(0, dot);
    std::string_view const name =
        dot == std::string_view::npos ? std::string_view() : full.substr(dot + 1);
    if (full == "dispatch")
    {
        apply_section(section, dispatch_rules(), configuration.m_dispatch, faults);
    }
    else if (type == "team")
    {
        append_record(section, name, team_rules(), configuration.m_teams, faults);
    }
    else if (type == "domain")
    {
        append_record(section, name, domain_rules(), configuration.m_domains, faults);
    }
    else if (type == "kind")
    {
        append_record(section, name, kind_rules(), configuration.m_kinds, faults);
    }
    else if (type == "tenant")
    {
        append_record(section, name, tenant_rules(), configuration.m_tenants, faults);
    }
    else if (type == "upstream")
    {
        append_record(section, name, upstream_rules(), configuration.m_upstreams, faults);
    }
    else
    {
        faults.push_back({config_errc::unknown_section, section.m_name, "",
                          section.m_line,
                          "team.NAME, domain.NAME, kind.NAME, tenant.NAME, "
                          "upstream.NAME, dispatch"});
    }
}

template <typename Record>
void sort_by_name(std::vector<Record> & records)
{
    std::sort(records.begin(), records.end(),
              [](Record const & left, Record const & right)
              { return left.m_name < right.m_name; });
}

bool has_team(fleet_configuration const & configuration, std::string_view name)
{
    return std::any_of(configuration.m_teams.begin(), configuration.m_teams.end(),
                       [name](team const & candidate)
                       { return candidate.m_name == name; });
}

/// Checks that every reference in \p section names something in \p configuration.
void check_references(ini_section const & section,
                      fleet_configuration const & configuration, fault_list & faults)
{
    for (ini_entry const & entry : section.m_entries)
    {
        bool const bad_owner =
            entry.m_key == "owner" && !has_team(configuration, entry.m_value);
        bool const bad_domain = entry.m_key == "domain" &&
                                find_domain(configuration, entry.m_value) == nullptr;
        if (bad_owner || bad_domain)
        {
            faults.push_back({config_errc::unknown_reference, section.m_name, entry.m_key,
                              entry.m_line,
                              bad_owner ? "a [team.NAME] of this document"
                                        : "a [domain.NAME] of this document"});
        }
    }
}

} // namespace internal

std::optional<fleet_configuration>
parse_fleet_document(std::string_view text, std::vector<config_fault> & faults)
{
    std::size_t const faults_before = faults.size();
    ini_document const document = parse_ini(text, faults);
    fleet_configuration configuration;
    for (ini_section const & section : document.m_sections)
    {
        internal::convert_section(section, configuration, faults);
    }
    internal::sort_by_name(configuration.m_teams);
    internal::sort_by_name(configuration.m_domains);
    internal::sort_by_name(configuration.m_kinds);
    internal::sort_by_name(configuration.m_tenants);
    internal::sort_by_name(configuration.m_upstreams);
    for (ini_section const & section : document.m_sections)
    {
        internal::check_references(section, configuration, faults);
    }
    if (faults.size() != faults_before)
    {
        return std::nullopt;
    }
    return configuration;
}

} // namespace cassiahub::config
