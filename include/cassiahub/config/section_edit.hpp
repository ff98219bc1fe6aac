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

/// Longest text of one section. The longest section that the key rules allow, with a
/// comment for each key, is far shorter.
constexpr std::size_t max_section_bytes = 16'384;

/// One section as the store holds it. The caller owns the memory that the views refer
/// to.
struct stored_section
{
    std::string_view m_name;
    std::uint64_t m_version = 0; ///< version of the section's row; not 0 once stored
    std::string_view m_text;
};

/// Request of a team to add, replace or delete one section.
struct section_edit
{
    std::string m_team;
    std::string m_team_key; ///< secret that authenticates the team
    std::string m_section;  ///< full name, for instance "kind.levy"
    /// Version that the section must have; 0: it must not exist; empty: the edit is
    /// refused with precondition_required.
    std::optional<std::uint64_t> m_expected_version;
    /// New text, including the "[name]" header; empty: the section is deleted.
    std::optional<std::string> m_text;
};

/// Result of check_edit().
struct edit_check
{
    std::error_code m_error;            ///< why the edit is refused; none: accepted
    std::vector<config_error> m_faults; ///< for invalid_document and still_referenced
    std::uint64_t m_version = 0;        ///< current version of the section; 0: none
    std::string m_text;                 ///< current text of the section
};

/// Decides whether \p edit may be applied to the document \p sections. Checks, in this
/// order: the team's key, the syntax of the new text, the ownership of the section before
/// and after the edit, the expected version, and the whole resulting document.
/// Thread-safe.
/// \pre \p sections is sorted by name, and names are unique.
edit_check check_edit(std::span<stored_section const> sections,
                      section_edit const & edit);

/// \returns the section called \p name, or nullptr. O(log n).
/// \pre \p sections is sorted by name.
stored_section const * find_stored_section(std::span<stored_section const> sections,
                                           std::string_view name) noexcept;

/// \returns the team that owns the section \p name with the text \p text, or an empty
/// string when neither the text nor a default names an owner.
std::string section_owner(std::string_view name, std::string_view text);

/// \returns \p text with \p key set to \p value and every other line unchanged. A missing
/// key is appended.
/// \pre \p text holds exactly one section.
std::string set_key(std::string_view text, std::string_view key, std::string_view value);

} // namespace cassiahub::config

#endif
