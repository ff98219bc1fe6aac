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
    duplicate_section = 9
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
