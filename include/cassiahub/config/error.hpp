#ifndef CASSIAHUB_CONFIG_ERROR_HPP
#define CASSIAHUB_CONFIG_ERROR_HPP

#include <cstddef>
#include <string>
#include <system_error>

namespace cassiahub::config
{

/// Reasons for which a document or a settings file is refused.
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
    version_conflict = 12,      ///< the section has another version than expected
    precondition_required = 13, ///< the edit names no expected version
    section_mismatch = 14,      ///< the text is not exactly the section of that name
    section_not_found = 15,     ///< there is no section of that name
    invalid_document = 16,      ///< the document would be invalid; see the faults
    still_referenced = 17,      ///< another section names the deleted one
    fixed_value = 18,           ///< the value is fixed for the life of the section
    duplicate_address = 19,     ///< two upstreams have the same address
    inconsistent_value = 20,    ///< values contradict each other, or a sum is too high
    text_too_large = 21,        ///< the section's text exceeds max_section_bytes
    contended = 22,             ///< other edits came first each time; nothing written
    store_unavailable = 23,     ///< the table could not be read; nothing written
    edit_outcome_unknown = 24,  ///< the answer of the write was lost and not found again
    malformed_request = 25,     ///< a header or the body cannot be read
    overloaded = 26,            ///< too many operator requests at once; nothing written
    method_not_allowed = 27,    ///< the path does not take the method
    unknown_path = 28           ///< there is no such path
};

std::error_category const & config_category() noexcept;
std::error_code make_error_code(config_errc value) noexcept;

/// One fault, with its place and what would have been allowed there.
struct config_fault
{
    std::error_code m_error;
    std::string m_section;
    std::string m_key;
    std::size_t m_line = 0;
    std::string m_allowed;
};

/// \returns "line 12, [kind.levy] urgency: bad_value, allowed: 0 to 9".
std::string to_string(config_fault const & fault);

} // namespace cassiahub::config

template <>
struct std::is_error_code_enum<cassiahub::config::config_errc> : std::true_type
{
};

#endif
