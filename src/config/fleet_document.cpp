#include "config/key_rules.hpp"
#include "config/section_reader.hpp"
#include "config/value_parsers.hpp"

#include <cassiahub/config/fleet_document.hpp>
#include <cassiahub/config/ini_document.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace cassiahub::config
{

namespace internal
{

/// Appends the record that \p section defines, or a fault when \p name is malformed.
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

/// Stores the contents of \p section in \p configuration, by section type.
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

/// \returns a description of what \p entry must refer to, or an empty view when the
/// reference resolves or the entry is no reference.
std::string_view describe_unresolved_reference(ini_entry const & entry,
                                               fleet_configuration const & configuration)
{
    if (entry.m_key == "owner" || entry.m_key == "offered_to")
    {
        return find_team(configuration, entry.m_value) == nullptr
                   ? "a [team.NAME] of this document"
                   : std::string_view();
    }
    if (entry.m_key == "domain")
    {
        return find_domain(configuration, entry.m_value) == nullptr
                   ? "a [domain.NAME] of this document"
                   : std::string_view();
    }
    return {};
}

/// Appends a fault for each reference in \p section that does not resolve.
void check_references(ini_section const & section,
                      fleet_configuration const & configuration, fault_list & faults)
{
    for (ini_entry const & entry : section.m_entries)
    {
        std::string_view const expected =
            describe_unresolved_reference(entry, configuration);
        if (!expected.empty())
        {
            faults.push_back({config_errc::unknown_reference, section.m_name, entry.m_key,
                              entry.m_line, std::string(expected)});
        }
    }
}

/// Appends a fault at the line of \p key, or of the section header when the key is
/// absent.
void add_fault(ini_section const & section, std::string_view key, config_errc error,
               std::string allowed, fault_list & faults)
{
    ini_entry const * const entry = find_entry(section, key);
    faults.push_back({error, section.m_name, std::string(key),
                      entry == nullptr ? section.m_line : entry->m_line,
                      std::move(allowed)});
}

/// \returns the value of \p key as a number, or \p absent when the key is absent or
/// malformed.
std::uint32_t find_number(ini_section const & section, std::string_view key,
                          std::uint32_t absent)
{
    std::uint32_t value = absent;
    if (ini_entry const * const entry = find_entry(section, key))
    {
        parse_number(entry->m_value, 0, UINT32_MAX, value);
    }
    return value;
}

/// Values collected over all sections, for the checks that concern several sections.
struct document_totals
{
    std::uint64_t m_share = 0;
    std::uint64_t m_shards = 0;
    std::map<std::string_view, std::string_view> m_addresses; ///< address to section name
};

/// Limit of the sum of all shares. With a higher sum a kind with share 1 would get less
/// than 0.01% of the fleet.
constexpr std::uint64_t max_share_sum = 10'000;
/// Limit of the shards of all domains. Each shard is a lease row that is renewed every
/// few seconds.
constexpr std::uint64_t max_shard_sum = 4'096;

/// Checks that the slots do not exceed the connections and that the address is unique.
void check_upstream(ini_section const & section, document_totals & totals,
                    fault_list & faults)
{
    std::uint32_t const slots = find_number(section, "slots", upstream().m_slots);
    std::uint32_t const connections =
        find_number(section, "connections", upstream().m_connections);
    if (slots > connections)
    {
        add_fault(section, "slots", config_errc::inconsistent_value,
                  "at most the value of connections, which is " +
                      std::to_string(connections),
                  faults);
    }
    if (ini_entry const * const address = find_entry(section, "address"))
    {
        auto const [first, added] =
            totals.m_addresses.emplace(address->m_value, section.m_name);
        if (!added)
        {
            add_fault(section, "address", config_errc::duplicate_address,
                      "an address that [" + std::string(first->second) + "] does not use",
                      faults);
        }
    }
}

/// Checks values that depend on other keys or sections. The fault is reported for the
/// first section that exceeds a limit.
void check_consistency(ini_section const & section, document_totals & totals,
                       fault_list & faults)
{
    if (section.m_name.starts_with("upstream."))
    {
        check_upstream(section, totals, faults);
    }
    else if (section.m_name.starts_with("kind."))
    {
        std::uint32_t const share = find_number(section, "share", 0);
        totals.m_share += share;
        if (totals.m_share > max_share_sum && totals.m_share - share <= max_share_sum)
        {
            add_fault(section, "share", config_errc::inconsistent_value,
                      "shares of all kinds that add up to at most " +
                          std::to_string(max_share_sum),
                      faults);
        }
    }
    else if (section.m_name.starts_with("domain."))
    {
        std::uint32_t const shards =
            find_number(section, "shards", failure_domain().m_shards);
        totals.m_shards += shards;
        if (totals.m_shards > max_shard_sum && totals.m_shards - shards <= max_shard_sum)
        {
            add_fault(section, "shards", config_errc::inconsistent_value,
                      "shards of all domains that add up to at most " +
                          std::to_string(max_shard_sum),
                      faults);
        }
    }
}

} // namespace internal

std::optional<fleet_configuration>
parse_fleet_document(std::string_view text, std::vector<config_error> & faults)
{
    std::size_t const faults_before = faults.size();
    ini_document const document = parse_ini(text, faults);
    std::optional<fleet_configuration> configuration =
        check_fleet_document(document, faults);
    return faults.size() == faults_before ? std::move(configuration) : std::nullopt;
}

std::optional<fleet_configuration>
check_fleet_document(ini_document const & document, std::vector<config_error> & faults)
{
    std::size_t const faults_before = faults.size();
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
    internal::document_totals totals;
    for (ini_section const & section : document.m_sections)
    {
        internal::check_references(section, configuration, faults);
        internal::check_consistency(section, totals, faults);
    }
    if (faults.size() != faults_before)
    {
        return std::nullopt;
    }
    return configuration;
}

} // namespace cassiahub::config
