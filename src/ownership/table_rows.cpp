#include <cassiahub/ownership/table_rows.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace cassiahub::ownership
{

namespace internal
{

/// \returns true for the unreserved characters of RFC 3986 except the escape character
/// '~'.
bool is_unescaped(char character) noexcept
{
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' ||
           character == '.' || character == '_';
}

std::string escape(std::string_view text)
{
    std::string escaped;
    escaped.reserve(text.size());
    for (char const character : text)
    {
        if (is_unescaped(character))
        {
            escaped.push_back(character);
        }
        else
        {
            escaped += fmt::format("~{:02x}", static_cast<unsigned char>(character));
        }
    }
    return escaped;
}

template <class Number>
bool parse_number(std::string_view text, Number & value, int base = 10)
{
    char const * const end = text.data() + text.size();
    std::from_chars_result const result = std::from_chars(text.data(), end, value, base);
    return result.ec == std::errc() && result.ptr == end;
}

bool unescape(std::string_view text, std::string & plain)
{
    plain.clear();
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (text[index] != '~')
        {
            plain.push_back(text[index]);
            continue;
        }
        unsigned char byte = 0;
        if (text.size() - index < 3 || !parse_number(text.substr(index + 1, 2), byte, 16))
        {
            return false;
        }
        plain.push_back(static_cast<char>(byte));
        index += 2;
    }
    return true;
}

/// Parses the first "name=value " field of \p text and removes it from \p text.
/// \returns false when the name of that field is not \p name.
bool consume_field(std::string_view & text, std::string_view name,
                   std::string_view & value)
{
    if (!text.starts_with(name) || text.size() <= name.size() || text[name.size()] != '=')
    {
        return false;
    }
    text.remove_prefix(name.size() + 1);
    std::size_t const length = std::min(text.find(' '), text.size());
    value = text.substr(0, length);
    text.remove_prefix(std::min(length + 1, text.size()));
    return true;
}

template <class Number>
bool consume_number(std::string_view & text, std::string_view name, Number & value,
                    int base = 10)
{
    std::string_view field;
    return consume_field(text, name, field) && parse_number(field, value, base);
}

bool parse_run_state(std::string_view text, run_state & value)
{
    bool const known = text == "no" || text == "yes" || text == "unknown";
    value = text == "no"    ? run_state::no
            : text == "yes" ? run_state::yes
                            : run_state::unknown;
    return known;
}

std::string_view name_of(run_state value)
{
    switch (value)
    {
    case run_state::no:
        return "no";
    case run_state::yes:
        return "yes";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace internal

std::string lease_prefix(std::string_view domain)
{
    return fmt::format("lease/{}/", internal::escape(domain));
}

std::string lease_row_name(std::string_view domain, std::uint32_t shard)
{
    return fmt::format("{}{}", lease_prefix(domain), shard);
}

std::string record_prefix(std::string_view domain, std::uint32_t shard)
{
    return fmt::format("record/{}/{}/", internal::escape(domain), shard);
}

std::string record_row_name(std::uint32_t shard, job_key const & key)
{
    return fmt::format("{}{}/{}", record_prefix(key.m_home_domain, shard),
                       internal::escape(key.m_tenant), internal::escape(key.m_key));
}

bool parse_lease_row_name(std::string_view name, std::string_view domain,
                          std::uint32_t & shard)
{
    std::string const prefix = lease_prefix(domain);
    return name.starts_with(prefix) &&
           internal::parse_number(name.substr(prefix.size()), shard);
}

bool parse_record_row_name(std::string_view name, std::string_view domain,
                           std::uint32_t shard, job_key & key)
{
    std::string const prefix = record_prefix(domain, shard);
    if (!name.starts_with(prefix))
    {
        return false;
    }
    name.remove_prefix(prefix.size());
    std::size_t const slash = name.find('/');
    if (slash == std::string_view::npos)
    {
        return false;
    }
    key.m_home_domain = domain;
    return internal::unescape(name.substr(0, slash), key.m_tenant) &&
           internal::unescape(name.substr(slash + 1), key.m_key);
}

std::string format_lease(lease_value const & value)
{
    return fmt::format("owner={} incarnation={:x} epoch={} lease_ms={}",
                       internal::escape(value.m_owner.m_value), value.m_incarnation,
                       value.m_epoch, to_milliseconds(value.m_lease_time));
}

std::string format_record(record_value const & value)
{
    return fmt::format("job={:x} epoch={} state={} error={} ran={}", value.m_job_hash,
                       value.m_epoch, value.m_finished ? "finished" : "admitted",
                       value.m_error, internal::name_of(value.m_ran));
}

bool parse_lease(std::string_view text, lease_value & value)
{
    std::string_view owner;
    std::int64_t lease_ms = 0;
    bool const valid =
        internal::consume_field(text, "owner", owner) &&
        internal::unescape(owner, value.m_owner.m_value) &&
        internal::consume_number(text, "incarnation", value.m_incarnation, 16) &&
        internal::consume_number(text, "epoch", value.m_epoch) &&
        internal::consume_number(text, "lease_ms", lease_ms);
    value.m_lease_time = std::chrono::milliseconds(lease_ms);
    return valid;
}

bool parse_record(std::string_view text, record_value & value)
{
    std::string_view state;
    std::string_view ran;
    bool const valid = internal::consume_number(text, "job", value.m_job_hash, 16) &&
                       internal::consume_number(text, "epoch", value.m_epoch) &&
                       internal::consume_field(text, "state", state) &&
                       internal::consume_number(text, "error", value.m_error) &&
                       internal::consume_field(text, "ran", ran) &&
                       internal::parse_run_state(ran, value.m_ran);
    value.m_finished = state == "finished";
    return valid && (value.m_finished || state == "admitted");
}

} // namespace cassiahub::ownership
