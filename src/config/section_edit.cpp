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

/// \returns the value of \p key in \p section, or an empty view when the key is absent.
std::string_view find_value(ini_section const & section, std::string_view key)
{
    ini_entry const * const entry = find_entry(section, key);
    return entry == nullptr ? std::string_view() : std::string_view(entry->m_value);
}

/// \returns the owner of \p section. The default owner of teams and [dispatch] is the
/// administrator team; other sections have no default.
std::string_view owner_of(ini_section const & section)
{
    std::string_view const owner = find_value(section, "owner");
    bool const has_default =
        section.m_name == "dispatch" || section.m_name.starts_with("team.");
    return owner.empty() && has_default ? administrator_team : owner;
}

/// Parses the text of one section. \returns an empty section when \p text has none.
ini_section parse_section(std::string_view text, std::vector<config_error> & faults)
{
    ini_document document = parse_ini(text, faults);
    return document.m_sections.empty() ? ini_section()
                                       : std::move(document.m_sections.front());
}

/// Parses a stored text, which was validated before it was written.
ini_section parse_stored_section(std::string_view text)
{
    std::vector<config_error> faults;
    return parse_section(text, faults);
}

/// \returns true when the team of \p edit exists and its key matches.
bool is_authenticated(std::span<stored_section const> sections, section_edit const & edit)
{
    stored_section const * const stored =
        find_stored_section(sections, "team." + edit.m_team);
    return stored != nullptr &&
           verify_team_key(find_value(parse_stored_section(stored->m_text), "key_hash"),
                           edit.m_team_key);
}

/// Parses the new text of \p edit, which must consist of exactly the edited section.
std::error_code parse_new_section(section_edit const & edit, ini_section & section,
                                  std::vector<config_error> & faults)
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

/// \returns true when \p section is the name of the section that defines \p team.
bool is_team_section(std::string_view section, std::string_view team)
{
    return section.starts_with(team_prefix) && section.substr(team_prefix.size()) == team;
}

/// \returns true when the owner after the edit is allowed. The owner must be the editing
/// team, because ownership moves only when the new owner accepts it. A section
/// [team.NAME] may also name the team that it defines, which can then change its own key.
bool may_assign_owner(section_edit const & edit, ini_section const & after)
{
    std::string_view const owner = owner_of(after);
    // check_resulting_document() reports a missing owner as missing_key.
    return owner.empty() || owner == edit.m_team || is_team_section(after.m_name, owner);
}

/// \returns true when the editing team owns the section or replaces a section that is
/// offered to it. Only the administrator team adds teams, and it may edit every team, for
/// instance to replace its key.
/// \param before stored section, or nullptr when the edit adds the section.
/// \param after new section, or nullptr when the edit deletes the section.
bool may_edit(section_edit const & edit, ini_section const * before,
              ini_section const * after)
{
    if (after != nullptr && !may_assign_owner(edit, *after))
    {
        return false;
    }
    bool const is_team = edit.m_section.starts_with(team_prefix);
    if (is_team && edit.m_team == administrator_team)
    {
        return true;
    }
    if (before == nullptr)
    {
        return !is_team;
    }
    return owner_of(*before) == edit.m_team ||
           (after != nullptr && find_value(*before, "offered_to") == edit.m_team);
}

/// Refuses a change of the number of shards. The shard of a job depends on this number,
/// so after a change a resubmission could reach a shard without a record of the job.
void check_fixed_values(ini_section const & before, ini_section const & after,
                        std::vector<config_error> & faults)
{
    constexpr std::string_view key = "shards";
    if (!after.m_name.starts_with("domain."))
    {
        return;
    }
    std::uint32_t stored_shards = failure_domain().m_shards;
    std::uint32_t wanted = stored_shards;
    parse_number(find_value(before, key), 1, UINT32_MAX, stored_shards);
    parse_number(find_value(after, key), 1, UINT32_MAX, wanted);
    if (wanted != stored_shards)
    {
        ini_entry const * const entry = find_entry(after, key);
        faults.push_back({config_errc::fixed_value, after.m_name, std::string(key),
                          entry == nullptr ? after.m_line : entry->m_line,
                          std::to_string(stored_shards)});
    }
}

/// Validates the document with the section \p name replaced by \p after, or without it
/// when \p after is nullptr.
void check_resulting_document(std::span<stored_section const> sections,
                              std::string_view name, ini_section const * after,
                              std::vector<config_error> & faults)
{
    ini_document document;
    document.m_sections.reserve(sections.size() + 1);
    for (stored_section const & state : sections)
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
    else if (is_team_section(name, administrator_team))
    {
        // The administrator team is the default owner of [dispatch] and of teams.
        faults.push_back({config_errc::still_referenced, std::string(name), "", 0,
                          "an edit; the administrator team cannot be deleted"});
    }
    check_fleet_document(document, faults);
}

} // namespace internal

stored_section const * find_stored_section(std::span<stored_section const> sections,
                                           std::string_view name) noexcept
{
    auto const found =
        std::lower_bound(sections.begin(), sections.end(), name,
                         [](stored_section const & state, std::string_view wanted)
                         { return state.m_name < wanted; });
    return found != sections.end() && found->m_name == name ? &*found : nullptr;
}

std::string section_owner(std::string_view name, std::string_view text)
{
    ini_section section = internal::parse_stored_section(text);
    section.m_name = name;
    return std::string(internal::owner_of(section));
}

edit_check check_edit(std::span<stored_section const> sections, section_edit const & edit)
{
    edit_check check;
    if (!internal::is_authenticated(sections, edit))
    {
        check.m_error = config_errc::not_authenticated;
        return check;
    }
    stored_section const * const stored = find_stored_section(sections, edit.m_section);
    std::optional<ini_section> before;
    if (stored != nullptr)
    {
        check.m_version = stored->m_version;
        check.m_text = stored->m_text;
        before = internal::parse_stored_section(stored->m_text);
    }
    std::optional<ini_section> after;
    if (edit.m_text)
    {
        check.m_error =
            internal::parse_new_section(edit, after.emplace(), check.m_faults);
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
    internal::check_resulting_document(sections, edit.m_section, new_section,
                                       check.m_faults);
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
    ini_section const section = internal::parse_stored_section(text);
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
