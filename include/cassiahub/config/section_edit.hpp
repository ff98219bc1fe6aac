#ifndef CASSIAHUB_CONFIG_SECTION_EDIT_HPP
#define CASSIAHUB_CONFIG_SECTION_EDIT_HPP

#include <cassiahub/config/error.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// Longest text of one section. The longest section that the rules allow, with a
/// comment on each key, stays far below it.
constexpr std::size_t max_section_bytes = 16'384;

/// One section as the platform's table holds it. The views belong to the caller.
struct section_state
{
    std::string_view m_name;
    std::uint64_t m_version = 0; ///< version of the section's row, never 0
    std::string_view m_text;
};

/// What a team asks to change.
struct section_edit
{
    std::string m_team;
    std::string m_team_key;
    std::string m_section;
    /// Version that the section must have; 0: it must not exist; empty: refused.
    std::optional<std::uint64_t> m_expected_version;
    /// New text with its "[name]" line; empty: the section is deleted.
    std::optional<std::string> m_text;
};

/// Whether an edit may be written, and if not, why.
struct edit_check
{
    std::error_code m_error;
    std::vector<config_fault> m_faults; ///< of invalid_document and still_referenced
    std::uint64_t m_version = 0;        ///< version in force of the section, 0: none
    std::string m_text;                 ///< text in force of the section
};

/// Decides on \p edit against the document \p sections. Checks in this order: the team's
/// key, the ownership of the section before and after the edit, the expected version,
/// and the whole document that would result.
/// \pre \p sections is sorted by name, without repetition. Thread-safe.
edit_check check_edit(std::span<section_state const> sections, section_edit const & edit);

/// \returns the section called \p name, or nullptr. O(log n).
/// \pre \p sections is sorted by name.
section_state const * find_state(std::span<section_state const> sections,
                                 std::string_view name) noexcept;

/// \returns the team that owns the section with the text \p text, or an empty string
/// when the text names none.
std::string section_owner(std::string_view name, std::string_view text);

/// \returns \p text with \p key set to \p value, and every other line unchanged.
/// \pre \p text holds exactly one section.
std::string set_key(std::string_view text, std::string_view key, std::string_view value);

} // namespace cassiahub::config

#endif
