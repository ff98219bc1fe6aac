#ifndef CASSIAHUB_STANDIN_SETTINGS_JSON_HPP
#define CASSIAHUB_STANDIN_SETTINGS_JSON_HPP

#include <cassiahub/core/time.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cassiahub::standin::internal
{

/// Parser of one member of a JSON object that sets a Record.
template <typename Record>
struct member_rule
{
    std::string_view m_name;
    std::string_view m_allowed; ///< allowed values, for the error message
    /// \returns false if \p value is not allowed.
    bool (*m_parse)(nlohmann::json const & value, Record & record);
};

inline bool read_bool(nlohmann::json const & value, bool & target)
{
    if (!value.is_boolean())
    {
        return false;
    }
    target = value.get<bool>();
    return true;
}

inline bool read_text(nlohmann::json const & value, std::string & target)
{
    if (!value.is_string())
    {
        return false;
    }
    target = value.get<std::string>();
    return true;
}

template <typename Number>
bool read_number(nlohmann::json const & value, double min, double max, Number & target)
{
    bool const valid =
        std::is_integral_v<Number> ? value.is_number_integer() : value.is_number();
    if (!valid || value.get<double>() < min || value.get<double>() > max)
    {
        return false;
    }
    target = value.get<Number>();
    return true;
}

inline bool read_milliseconds(nlohmann::json const & value, duration & target)
{
    constexpr double max_ms = 600'000;
    std::int64_t count = 0;
    if (!read_number(value, 0, max_ms, count))
    {
        return false;
    }
    target = std::chrono::milliseconds(count);
    return true;
}

/// Reads the JSON object \p body into \p record. Absent members keep their value, and
/// \p record is unchanged on failure.
/// \returns an empty string on success, else a message that lists the allowed values.
template <typename Record>
std::string read_settings(std::string_view body,
                          std::span<member_rule<Record> const> rules, Record & record)
{
    nlohmann::json const parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object())
    {
        return "the body is not a JSON object\n";
    }
    Record updated = record;
    for (auto const & [name, value] : parsed.items())
    {
        auto const rule = std::find_if(rules.begin(), rules.end(),
                                       [&name = name](member_rule<Record> const & known)
                                       { return known.m_name == name; });
        if (rule == rules.end())
        {
            std::string known;
            for (member_rule<Record> const & candidate : rules)
            {
                known += fmt::format(" {}", candidate.m_name);
            }
            return fmt::format("{}: unknown member, known:{}\n", name, known);
        }
        if (!rule->m_parse(value, updated))
        {
            return fmt::format("{}: bad value, allowed: {}\n", name, rule->m_allowed);
        }
    }
    record = std::move(updated);
    return {};
}

} // namespace cassiahub::standin::internal

#endif
