#include "standin/settings_json.hpp"

#include <cassiahub/standin/platform_faults.hpp>

namespace cassiahub::standin
{

namespace internal
{

namespace
{

using nlohmann::json;

bool read_strings(json const & value, std::set<std::string, std::less<>> & target)
{
    bool const valid = value.is_array() &&
                       std::all_of(value.begin(), value.end(),
                                   [](json const & name) { return name.is_string(); });
    if (valid)
    {
        target = value.get<std::set<std::string, std::less<>>>();
    }
    return valid;
}

constexpr std::string_view delay_range = "whole milliseconds, 0 to 600000";
constexpr std::string_view rate_range = "0 (no limit) to 1000000";
constexpr double max_rate = 1'000'000;

constexpr member_rule<platform_faults> rules[] = {
    {"down", "true or false",
     [](json const & value, platform_faults & record)
     {
         return read_bool(value, record.m_down);
     }},
    {"down_for", "array of viewers",
     [](json const & value, platform_faults & record)
     {
         return read_strings(value, record.m_down_for);
     }},
    {"read_delay_ms", delay_range,
     [](json const & value, platform_faults & record)
     {
         return read_milliseconds(value, record.m_read_delay);
     }},
    {"write_delay_ms", delay_range,
     [](json const & value, platform_faults & record)
     {
         return read_milliseconds(value, record.m_write_delay);
     }},
    {"lose_answers", "0 to 1000000",
     [](json const & value, platform_faults & record)
     {
         return read_number(value, 0, max_rate, record.m_lose_answers);
     }},
    {"lose_probability", "0 to 1",
     [](json const & value, platform_faults & record)
     {
         return read_number(value, 0, 1, record.m_lose_probability);
     }},
    {"lose_seed", "0 to 1000000",
     [](json const & value, platform_faults & record)
     {
         return read_number(value, 0, max_rate, record.m_lose_seed);
     }},
    {"list_lag_ms", delay_range,
     [](json const & value, platform_faults & record)
     {
         return read_milliseconds(value, record.m_list_lag);
     }},
    {"max_writes_per_second", rate_range,
     [](json const & value, platform_faults & record)
     {
         return read_number(value, 0, max_rate, record.m_max_writes_per_second);
     }},
    {"max_reads_per_second", rate_range,
     [](json const & value, platform_faults & record)
     {
         return read_number(value, 0, max_rate, record.m_max_reads_per_second);
     }},
};

} // namespace

} // namespace internal

std::string parse_platform_faults(std::string_view body, platform_faults & faults)
{
    platform_faults parsed;
    std::string message =
        internal::read_settings<platform_faults>(body, internal::rules, parsed);
    if (message.empty())
    {
        faults = std::move(parsed);
    }
    return message;
}

std::string format_platform_faults(platform_faults const & faults)
{
    return nlohmann::json({{"down", faults.m_down},
                           {"down_for", faults.m_down_for},
                           {"read_delay_ms", to_milliseconds(faults.m_read_delay)},
                           {"write_delay_ms", to_milliseconds(faults.m_write_delay)},
                           {"lose_answers", faults.m_lose_answers},
                           {"lose_probability", faults.m_lose_probability},
                           {"lose_seed", faults.m_lose_seed},
                           {"list_lag_ms", to_milliseconds(faults.m_list_lag)},
                           {"max_writes_per_second", faults.m_max_writes_per_second},
                           {"max_reads_per_second", faults.m_max_reads_per_second}})
        .dump();
}

} // namespace cassiahub::standin
