#include "standin/settings_json.hpp"

#include <cassiahub/standin/upstream_faults.hpp>

namespace cassiahub::standin
{

namespace internal
{

namespace
{

using nlohmann::json;

constexpr std::string_view flag_values = "true or false";
constexpr double max_straggle_factor = 1000;

constexpr member_rule<upstream_faults> rules[] = {
    {"refuse", flag_values,
     [](json const & value, upstream_faults & record)
     {
         return read_bool(value, record.m_refuse);
     }},
    {"fail", flag_values,
     [](json const & value, upstream_faults & record)
     {
         return read_bool(value, record.m_fail);
     }},
    {"pause", flag_values,
     [](json const & value, upstream_faults & record)
     {
         return read_bool(value, record.m_pause);
     }},
    {"drop_answers", flag_values,
     [](json const & value, upstream_faults & record)
     {
         return read_bool(value, record.m_drop_answers);
     }},
    {"leave", flag_values,
     [](json const & value, upstream_faults & record)
     {
         return read_bool(value, record.m_leave);
     }},
    {"leave_grace_ms", "whole milliseconds, 0 to 600000",
     [](json const & value, upstream_faults & record)
     {
         return read_milliseconds(value, record.m_leave_grace);
     }},
    {"straggle_factor", "1 to 1000",
     [](json const & value, upstream_faults & record)
     {
         return read_number(value, 1, max_straggle_factor, record.m_straggle_factor);
     }},
    {"crash_payload", "text",
     [](json const & value, upstream_faults & record)
     {
         return read_text(value, record.m_crash_payload);
     }},
    {"crash_ms", "whole milliseconds, 0 to 600000",
     [](json const & value, upstream_faults & record)
     {
         return read_milliseconds(value, record.m_crash_time);
     }},
};

} // namespace

} // namespace internal

std::string parse_upstream_faults(std::string_view body, upstream_faults & faults)
{
    upstream_faults parsed;
    std::string message =
        internal::read_settings<upstream_faults>(body, internal::rules, parsed);
    if (message.empty())
    {
        faults = parsed;
    }
    return message;
}

std::string format_upstream_faults(upstream_faults const & faults)
{
    return nlohmann::json({{"refuse", faults.m_refuse},
                           {"fail", faults.m_fail},
                           {"pause", faults.m_pause},
                           {"drop_answers", faults.m_drop_answers},
                           {"leave", faults.m_leave},
                           {"leave_grace_ms", to_milliseconds(faults.m_leave_grace)},
                           {"straggle_factor", faults.m_straggle_factor},
                           {"crash_payload", faults.m_crash_payload},
                           {"crash_ms", to_milliseconds(faults.m_crash_time)}})
        .dump();
}

} // namespace cassiahub::standin
