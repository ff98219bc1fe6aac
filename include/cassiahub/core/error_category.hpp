#ifndef CASSIAHUB_CORE_ERROR_CATEGORY_HPP
#define CASSIAHUB_CORE_ERROR_CATEGORY_HPP

#include <string>
#include <string_view>
#include <system_error>

namespace cassiahub
{

/// Error category of the enumeration \p Errc. The message of an error is the name that
/// \p NameOf returns for its enumerator.
template <typename Errc, std::string_view (*NameOf)(Errc) noexcept>
class named_error_category final : public std::error_category
{
public:
    /// \param name name of the category; a string literal, because only the pointer is
    /// stored.
    explicit named_error_category(char const * name) noexcept : m_name(name) {}

    char const * name() const noexcept override
    {
        return m_name;
    }

    std::string message(int value) const override
    {
        return std::string(NameOf(static_cast<Errc>(value)));
    }

private:
    char const * m_name;
};

} // namespace cassiahub

#endif
