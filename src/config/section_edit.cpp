#include "config/value_parsers.hpp"

#include <cassiahub/config/fleet_document.hpp>
#include <cassiahub/config/ini_document.hpp>
#include <cassiahub/config/section_edit.hpp>
#include <cassiahub/config/team_key.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassiahub::config
{

namespace internal
{

/// \returns the value of \p key, or an empty view.
std::string_view value_of(ini_section const & section, std::string_view key)
{
    ini_entry const * const entry = find_entry(section, key);
    return entry == nullptr ? std::string_view() : std::string_view(entry->m_value);
}

/// Teams and [dispatch] belong to the administrators unless they say otherwise.
std::string_view owner_of(ini_section const & section)
{
    std::string_view const owner = value_of(section, "owner");
    bool const has_default =
        section.m_name == "dispatch" || section.m_name.starts_with("team.");
    return owner.empty() && has_default ? administrators : owner;
}

/// Parses a text of one section. \returns an empty section when it holds none.
ini_section parse_section(std::string_view text, std::vector<config_fault> & faults)
{
    ini_document document = parse_ini(text, faults);
    return document.m_sections.empty() ? ini_section()
                                       : std::move(document.m_sections.front());
}

ini_section parse_accepted(std::string_view text)
{
    std::vector<config_fault> faults;
    return parse_section(text, faults);
}

bool is_authenticated(std::span<section_state const> sections, section_edit const & edit)
{
    section_state const * const stored = find_state(sections, "team." + edit.m_team);
    return stored != nullptr &&
           verify_team_key(value_of(parse_accepted(stored->m_text), "key_hash"),
                           edit.m_team_key);
}

/// Parses the new text of \p edit, which must be exactly the section that it names.
std::error_code read_new_section(section_edit const & edit, ini_section & section,
                                 std::vector<config_fault> & faults)
{
    if (edit.m_text->size() > max_section_bytes)
    {
        return config_errc::text_too_large;
    }
    ini_document document = parse_ini(*edit.m_text, faults);
    if (!faults.empty())
    {
        return config_errc::invalid_document;
    }
    if (document.m_sections.size() != 1 ||
        document.m_sections.front().m_name != edit.m_section)
    {
        return config_errc::section_mismatch;
    }
    section = std::move(document.m_sections.front());
    return {};
}

constexpr std::string_view team_prefix = "team.";

/// \returns true for the section of the team \p team.
bool is_section_of(std::string_view section, std::string_view team)
{
    return section.starts_with(team_prefix) && section.substr(team_prefix.size()) == team;
}

/// A team may not give a section away: the text after the edit names the editing team.
/// A team's own section may name that team, which then changes its key by itself.
bool may_leave(section_edit const & edit, ini_section const & after)
{
    std::string_view const owner = owner_of(after);
    // A missing owner is left to the document's checks, which name the key.
    return owner.empty() || owner == edit.m_team || is_section_of(after.m_name, owner);
}

/// A team may edit what it owns, and may take over what is offered to it. Teams are
/// added by the administrators, who may also give each team a new key.
bool may_edit(section_edit const & edit, ini_section const * before,
              ini_section const * after)
{
    if (after != nullptr && !may_leave(edit, *after))
    {
        return false;
    }
    bool const is_team = edit.m_section.starts_with(team_prefix);
    if (is_team && edit.m_team == administrators)
    {
        return true;
    }
    if (before == nullptr)
    {
        return !is_team;
    }
    return owner_of(*before) == edit.m_team ||
           (after != nullptr && value_of(*before, "offered_to") == edit.m_team);
}

/// The key shard of a job follows from the number of shards, so another number would let
/// a resubmission reach a shard that does not know the job.
void check_fixed_values(ini_section const & before, ini_section const & after,
                        std::vector<config_fault> & faults)
{
    constexpr std::string_view key = "shards";
    if (!after.m_name.starts_with("domain."))
    {
        return;
    }
    std::uint32_t fixed = failure_domain().m_shards;
    std::uint32_t wanted = fixed;
    parse_number(value_of(before, key), 1, UINT32_MAX, fixed);
    parse_number(value_of(after, key), 1, UINT32_MAX, wanted);
    if (wanted != fixed)
    {
        ini_entry const * const entry = find_entry(after, key);
        faults.push_back({config_errc::fixed_value, after.m_name, std::string(key),
                          entry == nullptr ? after.m_line : entry->m_line,
                          std::to_string(fixed)});
    }
}

/// Checks the document with \p after in the place of the section \p name.
void check_result(std::span<section_state const> sections, std::string_view name,
                  ini_section const * after, std::vector<config_fault> & faults)
{
    ini_document document;
    document.m_sections.reserve(sections.size() + 1);
    for (section_state const & state : sections)
    {
        if (state.m_name != name)
        {
            document.m_sections.push_back(parse_section(state.m_text, faults));
        }
    }
    if (after != nullptr)
    {
        document.m_sections.push_back(*after);
    }
    else if (is_section_of(name, administrators))
    {
        // [dispatch] and teams without an owner would belong to nobody.
        faults.push_back({config_errc::still_referenced, std::string(name), "", 0,
                          "an edit; the administrators stay"});
    }
    check_fleet_document(document, faults);
}

} // namespace internal

section_state const * find_state(std::span<section_state const> sections,
                                 std::string_view name) noexcept
{
    auto const found =
        std::lower_bound(sections.begin(), sections.end(), name,
                         [](section_state const & state, std::string_view wanted)
                         { return state.m_name < wanted; });
    return found != sections.end() && found->m_name == name ? &*found : nullptr;
}

std::string section_owner(std::string_view name, std::string_view text)
{
    ini_section section = internal::parse_accepted(text);
    section.m_name = name;
    return std::string(internal::owner_of(section));
}

edit_check check_edit(std::span<section_state const> sections, section_edit const & edit)
{
    edit_check check;
    if (!internal::is_authenticated(sections, edit))
    {
        check.m_error = config_errc::not_authenticated;
        return check;
    }
    section_state const * const stored = find_state(sections, edit.m_section);
    std::optional<ini_section> before;
    if (stored != nullptr)
    {
        check.m_version = stored->m_version;
        check.m_text = stored->m_text;
        before = internal::parse_accepted(stored->m_text);
    }
    std::optional<ini_section> after;
    if (edit.m_text)
    {
        check.m_error = internal::read_new_section(edit, after.emplace(), check.m_faults);
        if (check.m_error)
        {
            return check;
        }
    }
    ini_section const * const old_section = before ? &*before : nullptr;
    ini_section const * const new_section = after ? &*after : nullptr;
    if (!internal::may_edit(edit, old_section, new_section))
    {
        check.m_error = config_errc::not_owner;
        return check;
    }
    if (!edit.m_expected_version)
    {
        check.m_error = config_errc::precondition_required;
        return check;
    }
    if (*edit.m_expected_version != check.m_version)
    {
        check.m_error = config_errc::version_conflict;
        return check;
    }
    if (old_section == nullptr && new_section == nullptr)
    {
        check.m_error = config_errc::section_not_found;
        return check;
    }
    internal::check_result(sections, edit.m_section, new_section, check.m_faults);
    if (old_section != nullptr && new_section != nullptr)
    {
        internal::check_fixed_values(*old_section, *new_section, check.m_faults);
    }
    if (!check.m_faults.empty())
    {
        check.m_error = new_section == nullptr ? config_errc::still_referenced
                                               : config_errc::invalid_document;
    }
    return check;
}

std::string set_key(std::string_view text, std::string_view key, std::string_view value)
{
    ini_section const section = internal::parse_accepted(text);
    ini_entry const * const entry = find_entry(section, key);
    std::string const wanted = fmt::format("{} = {}\n", key, value);
    std::string changed;
    std::size_t line = 0;
    for (std::string_view rest = text; !rest.empty();)
    {
        std::size_t const newline = rest.find('\n');
        std::string_view const current = rest.substr(0, newline);
        rest.remove_prefix(newline == std::string_view::npos ? rest.size() : newline + 1);
        ++line;
        if (entry != nullptr && entry->m_line == line)
        {
            changed += wanted;
            continue;
        }
        changed += current;
        changed += '\n';
    }
    if (entry == nullptr)
    {
        changed += wanted;
    }
    return changed;
}

} // namespace cassiahub::config
