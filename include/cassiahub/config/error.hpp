#ifndef CASSIAHUB_CONFIG_ERROR_HPP
#define CASSIAHUB_CONFIG_ERROR_HPP

#include <cstddef>
#include <string>
#include <system_error>

namespace cassiahub::config
{

/// Reasons for which a document, a settings file or an operator request is refused.
enum class config_errc
{
    unreadable_file = 1,
    syntax_error = 2,
    unknown_section = 3,
    unknown_key = 4,
    duplicate_key = 5,
    missing_key = 6,
    bad_value = 7,
    unknown_reference = 8,
    duplicate_section = 9,
    not_authenticated = 10,     ///< unknown team or wrong team key
    not_owner = 11,             ///< the section belongs to another team
    version_conflict = 12,      ///< the section does not have the expected version
    precondition_required = 13, ///< the edit states no expected version
    section_mismatch = 14,      ///< the text must hold exactly the named section
    section_not_found = 15,     ///< no section has the name
    invalid_document = 16,  ///< the resulting document would be invalid; see the faults
    still_referenced = 17,  ///< another section refers to the deleted one
    fixed_value = 18,       ///< the value cannot change after the section is created
    duplicate_address = 19, ///< another upstream has the same address
    inconsistent_value =
        20,              ///< values contradict each other, or a total exceeds its limit
    text_too_large = 21, ///< the section's text exceeds max_section_bytes
    contended = 22,      ///< every try lost to a concurrent edit; nothing written
    store_unavailable = 23,    ///< the store could not be read; nothing written
    edit_outcome_unknown = 24, ///< the write may have committed; its response was lost
    malformed_request = 25,    ///< a header or the body cannot be parsed
    overloaded = 26,           ///< too many concurrent operator requests; nothing written
    method_not_allowed = 27,   ///< the path does not support the method
    unknown_path = 28          ///< the path does not exist
};

std::error_category const & config_category() noexcept;
std::error_code make_error_code(config_errc value) noexcept;

/// One error in a document or a settings file: where it is and what is allowed there.
struct config_error
{
    std::error_code m_error;
    std::string m_section;
    std::string m_key;      ///< empty: the fault concerns the whole section
    std::size_t m_line = 0; ///< from 1; 0: no line
    std::string m_allowed;  ///< allowed values, as text; may be empty
};

/// \returns "line 12, [kind.levy] urgency: bad_value, allowed: 0 to 9".
std::string to_string(config_error const & fault);

} // namespace cassiahub::config

template <>
struct std::is_error_code_enum<cassiahub::config::config_errc> : std::true_type
{
};

#endif
