#include <cassiahub/config/error.hpp>

#include <fmt/format.h>

namespace cassiahub::config
{

namespace internal
{

class config_error_category final : public std::error_category
{
public:
    char const * name() const noexcept override
    {
        return "cassiahub.config";
    }

    std::string message(int value) const override
    {
        switch (static_cast<config_errc>(value))
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
        }
        return "unknown_error";
    }
};

} // namespace internal

std::error_category const & config_category() noexcept
{
    static internal::config_error_category const category;
    return category;
}

std::error_code make_error_code(config_errc value) noexcept
{
    return {static_cast<int>(value), config_category()};
}

std::string to_string(config_fault const & fault)
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
