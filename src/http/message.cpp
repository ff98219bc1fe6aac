#include <cassiahub/http/message.hpp>

#include <civetweb.h>
#include <strings.h>

#include <algorithm>

namespace cassiahub::http
{

std::string_view find_header(std::span<header const> headers,
                             std::string_view name) noexcept
{
    auto const found = std::find_if(headers.begin(), headers.end(),
                                    [name](header const & candidate)
                                    {
                                        return candidate.m_name.size() == name.size() &&
                                               strncasecmp(candidate.m_name.data(),
                                                           name.data(), name.size()) == 0;
                                    });
    return found == headers.end() ? std::string_view() : found->m_value;
}

std::string query_value(std::string_view query, std::string_view name)
{
    // Size of the buffer for the decoded value, in bytes, with the terminating zero. A
    // longer value is treated as absent.
    constexpr std::size_t buffer_size = 512;
    std::string value(buffer_size, '\0');
    int const length = mg_get_var(query.data(), query.size(), std::string(name).c_str(),
                                  value.data(), value.size());
    value.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return value;
}

} // namespace cassiahub::http
