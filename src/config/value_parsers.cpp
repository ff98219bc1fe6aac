#include "config/value_parsers.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string>
#include <utility>

namespace cassiahub::config::internal
{

bool parse_number(std::string_view text, std::uint32_t low, std::uint32_t high,
                  std::uint32_t & value) noexcept
{
    std::uint32_t parsed = 0;
    char const * const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, parsed);
    if (result.ec != std::errc() || result.ptr != end || parsed < low || parsed > high)
    {
        return false;
    }
    value = parsed;
    return true;
}

bool parse_boolean(std::string_view text, bool & value) noexcept
{
    if (text != "yes" && text != "no")
    {
        return false;
    }
    value = text == "yes";
    return true;
}

bool parse_duration(std::string_view text, duration low, duration high,
                    duration & value) noexcept
{
    std::int64_t count = 0;
    char const * const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, count);
    // One year in milliseconds. Limits the number in every unit, so that no conversion
    // to nanoseconds overflows.
    constexpr std::int64_t max_count = 366LL * 24 * 3600 * 1000;
    if (result.ec != std::errc() || count < 0 || count > max_count)
    {
        return false;
    }
    std::string_view const unit(result.ptr, static_cast<std::size_t>(end - result.ptr));
    duration parsed{};
    if (unit == "ms")
    {
        parsed = std::chrono::milliseconds(count);
    }
    else if (unit == "s" && count <= max_count / 1000)
    {
        parsed = std::chrono::seconds(count);
    }
    else if (unit == "min" && count <= max_count / 60'000)
    {
        parsed = std::chrono::minutes(count);
    }
    else
    {
        return false;
    }
    if (parsed < low || parsed > high)
    {
        return false;
    }
    value = parsed;
    return true;
}

bool parse_interference_mode(std::string_view text, interference_mode & value) noexcept
{
    if (text != "off" && text != "observe" && text != "avoid")
    {
        return false;
    }
    value = text == "off"       ? interference_mode::off
            : text == "observe" ? interference_mode::observe
                                : interference_mode::avoid;
    return true;
}

bool parse_kind_pairs(std::string_view text, std::vector<kind_pair> & value)
{
    std::vector<kind_pair> pairs;
    for (bool more = true; more;)
    {
        std::size_t const comma = text.find(',');
        std::string_view const item = text.substr(0, comma);
        std::size_t const plus = item.find('+');
        if (plus == std::string_view::npos || !is_name(item.substr(0, plus)) ||
            !is_name(item.substr(plus + 1)))
        {
            return false;
        }
        pairs.push_back(
            {std::string(item.substr(0, plus)), std::string(item.substr(plus + 1))});
        more = comma != std::string_view::npos;
        text.remove_prefix(more ? comma + 1 : text.size());
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    }
    value = std::move(pairs);
    return true;
}

bool is_socket_address(std::string_view text) noexcept
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos || colon > 15)
    {
        return false;
    }
    std::uint32_t port = 0;
    if (!parse_number(text.substr(colon + 1), 1, 65'535, port))
    {
        return false;
    }
    char host[16] = {};
    text.copy(host, colon);
    in_addr address{};
    return inet_pton(AF_INET, host, &address) == 1;
}

bool is_name(std::string_view text) noexcept
{
    constexpr std::size_t max_length = 64;
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c)
                       { return std::isalnum(c) != 0 || c == '-' || c == '_'; });
}

} // namespace cassiahub::config::internal
