#include <cassiahub/config/error.hpp>
#include <cassiahub/core/error_category.hpp>

#include <fmt/format.h>

namespace cassiahub::config
{

namespace internal
{

std::string_view name_of(config_errc value) noexcept
{
    switch (value)
    {
    case config_errc::unreadable_file:
        return "unreadable_file";
    case config_errc::syntax_error:
        return "syntax_error";
    case config_errc::unknown_section:
        return "unknown_section";
    case config_errc::unknown_key:
        return "unknown_key";
    case config_errc::duplicate_key:
        return "duplicate_key";
    case config_errc::missing_key:
        return "missing_key";
    case config_errc::bad_value:
        return "bad_value";
    case config_errc::unknown_reference:
        return "unknown_reference";
    case config_errc::duplicate_section:
        return "duplicate_section";
    case config_errc::not_authenticated:
        return "not_authenticated";
    case config_errc::not_owner:
        return "not_owner";
    case config_errc::version_conflict:
        return "version_conflict";
    case config_errc::precondition_required:
        return "precondition_required";
    case config_errc::section_mismatch:
        return "section_mismatch";
    case config_errc::section_not_found:
        return "section_not_found";
    case config_errc::invalid_document:
        return "invalid_document";
    case config_errc::still_referenced:
        return "still_referenced";
    case config_errc::fixed_value:
        return "fixed_value";
    case config_errc::duplicate_address:
        return "duplicate_address";
    case config_errc::inconsistent_value:
        return "inconsistent_value";
    case config_errc::text_too_large:
        return "text_too_large";
    case config_errc::contended:
        return "contended";
    case config_errc::store_unavailable:
        return "store_unavailable";
    case config_errc::edit_outcome_unknown:
        return "edit_outcome_unknown";
    case config_errc::malformed_request:
        return "malformed_request";
    case config_errc::overloaded:
        return "overloaded";
    case config_errc::method_not_allowed:
        return "method_not_allowed";
    case config_errc::unknown_path:
        return "unknown_path";
    }
    return "unknown_error";
}

} // namespace internal

std::error_category const & config_category() noexcept
{
    static named_error_category<config_errc, internal::name_of> const category(
        "cassiahub.config");
    return category;
}

std::error_code make_error_code(config_errc value) noexcept
{
    return {static_cast<int>(value), config_category()};
}

std::string to_string(config_error const & fault)
{
    std::string text = fmt::format("line {}, [{}]", fault.m_line, fault.m_section);
    if (!fault.m_key.empty())
    {
        text += " " + fault.m_key;
    }
    text += ": " + fault.m_error.message();
    if (!fault.m_allowed.empty())
    {
        text += ", allowed: " + fault.m_allowed;
    }
    return text;
}

} // namespace cassiahub::config
