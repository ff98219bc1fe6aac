#include <cassiahub/core/identifiers.hpp>

#include <fmt/format.h>

#include <charconv>

namespace cassiahub
{

namespace internal
{

bool parse_hex(std::string_view text, std::uint64_t & value) noexcept
{
    char const * const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value, 16);
    return result.ec == std::errc() && result.ptr == end;
}

} // namespace internal

std::string to_string(attempt_id const & id)
{
    return fmt::format("{:x}-{:x}", id.m_incarnation, id.m_serial);
}

bool parse_attempt_id(std::string_view text, attempt_id & id) noexcept
{
    std::size_t const dash = text.find('-');
    if (dash == std::string_view::npos)
    {
        return false;
    }
    attempt_id parsed;
    if (!internal::parse_hex(text.substr(0, dash), parsed.m_incarnation) ||
        !internal::parse_hex(text.substr(dash + 1), parsed.m_serial))
    {
        return false;
    }
    id = parsed;
    return true;
}

} // namespace cassiahub
