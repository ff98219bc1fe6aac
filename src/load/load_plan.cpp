#include "load/load_values.hpp"

#include <cassiahub/config/ini_document.hpp>
#include <cassiahub/load/load_plan.hpp>

#include <algorithm>
#include <cmath>
#include <span>

namespace cassiahub::load
{

namespace internal
{

namespace
{

using namespace std::chrono_literals;
using fault_list = std::vector<config::config_error>;

/// Parser and description of one key of a section.
template <typename Record>
struct key_rule
{
    std::string_view m_key;
    std::string_view m_allowed; ///< allowed values, for the error message
    bool (*m_parse)(std::string_view value, Record & record);
    bool m_required = false;
};

constexpr std::string_view duration_format =
    "duration such as 500ms, 10s or 5min, up to 1440min";
constexpr std::string_view weights_format =
    "space-separated VALUE:WEIGHT, weights above 0";

constexpr key_rule<load_plan> load_rules[] = {
    {"seed", "0 to 2^53",
     [](std::string_view value, load_plan & record)
     {
         double seed = 0;
         bool const is_valid = parse_number(value, 0, 9e15, seed);
         record.m_seed = static_cast<std::uint64_t>(seed);
         return is_valid;
     }},
    {"length", duration_format,
     [](std::string_view value, load_plan & record)
     {
         return parse_duration(value, record.m_length);
     }},
    {"targets", "space-separated ip:port",
     [](std::string_view value, load_plan & record)
     {
         return parse_words(value, record.m_targets);
     }},
    {"upstreams", "space-separated ip:port",
     [](std::string_view value, load_plan & record)
     {
         return parse_words(value, record.m_upstreams);
     }},
    {"senders", "1 to 1500",
     [](std::string_view value, load_plan & record)
     {
         double count = 0;
         bool const is_valid = parse_number(value, 1, 1500, count);
         record.m_senders = static_cast<std::uint32_t>(count);
         return is_valid;
     }},
    {"resubmit_percent", "0 to 100",
     [](std::string_view value, load_plan & record)
     {
         return parse_number(value, 0, 100, record.m_resubmit_percent);
     }},
    {"resubmit_delay", duration_format,
     [](std::string_view value, load_plan & record)
     {
         return parse_duration(value, record.m_resubmit_delay);
     }},
    {"round_trip", duration_format,
     [](std::string_view value, load_plan & record)
     {
         return parse_duration(value, record.m_round_trip_time);
     }},
    {"progress", duration_format,
     [](std::string_view value, load_plan & record)
     {
         return parse_duration(value, record.m_progress_period);
     }},
};

constexpr key_rule<kind_load> kind_rules[] = {
    {"rate", "jobs a second, above 0 up to 100000",
     [](std::string_view value, kind_load & record)
     { return parse_number(value, 0.0001, 100'000, record.m_rate); },
     true},
    {"deadline", "1ms to 10min",
     [](std::string_view value, kind_load & record)
     {
         return parse_duration(value, record.m_deadline) && record.m_deadline >= 1ms &&
                record.m_deadline <= 10min;
     },
     true},
    {"repeatable", "yes or no",
     [](std::string_view value, kind_load & record)
     {
         record.m_repeatable = value == "yes";
         return value == "yes" || value == "no";
     },
     true},
    {"tasks", "space-separated COUNT:WEIGHT, counts 1 to 230",
     [](std::string_view value, kind_load & record)
     { return parse_weights(value, parse_task_count, record.m_task_counts); },
     true},
    {"run_time", "space-separated LOW-HIGH:WEIGHT, for example 50ms-1s:97 2s-5s:3",
     [](std::string_view value, kind_load & record)
     { return parse_weights(value, parse_run_time_range, record.m_run_times); },
     true},
    {"tenants", weights_format,
     [](std::string_view value, kind_load & record)
     { return parse_weights(value, parse_word, record.m_tenants); },
     true},
};

constexpr key_rule<flood> flood_rules[] = {
    {"kind", "name of a [kind.NAME]",
     [](std::string_view value, flood & record)
     { return parse_word(value, record.m_kind); },
     true},
    {"factor", "1 to 10000",
     [](std::string_view value, flood & record)
     { return parse_number(value, 1, 10'000, record.m_factor); },
     true},
    {"start", duration_format,
     [](std::string_view value, flood & record)
     { return parse_duration(value, record.m_start); },
     true},
    {"length", duration_format,
     [](std::string_view value, flood & record)
     { return parse_duration(value, record.m_length); },
     true},
};

constexpr key_rule<scheduled_fault> fault_rules[] = {
    {"at", duration_format,
     [](std::string_view value, scheduled_fault & record)
     { return parse_duration(value, record.m_at); },
     true},
    {"address", "ip:port",
     [](std::string_view value, scheduled_fault & record)
     { return parse_word(value, record.m_address); },
     true},
    {"path", "path, /faults when absent",
     [](std::string_view value, scheduled_fault & record)
     {
         record.m_path = value;
         return value.starts_with('/');
     }},
    {"query", "query, for example upstream=all",
     [](std::string_view value, scheduled_fault & record)
     {
         record.m_query = value;
         return true;
     }},
    {"body", "JSON object",
     [](std::string_view value, scheduled_fault & record)
     {
         record.m_body = value;
         return value.starts_with('{') && value.ends_with('}');
     },
     true},
};

template <typename Record>
void parse_section(config::ini_section const & section,
                   std::span<key_rule<Record> const> rules, Record & record,
                   fault_list & faults)
{
    using config::config_errc;
    for (config::ini_entry const & entry : section.m_entries)
    {
        auto const rule = std::find_if(rules.begin(), rules.end(),
                                       [&entry](key_rule<Record> const & known)
                                       { return known.m_key == entry.m_key; });
        if (rule == rules.end())
        {
            faults.push_back({config_errc::unknown_key, section.m_name, entry.m_key,
                              entry.m_line, ""});
        }
        else if (!rule->m_parse(entry.m_value, record))
        {
            faults.push_back({config_errc::bad_value, section.m_name, entry.m_key,
                              entry.m_line, std::string(rule->m_allowed)});
        }
    }
    for (key_rule<Record> const & rule : rules)
    {
        if (rule.m_required && config::find_entry(section, rule.m_key) == nullptr)
        {
            faults.push_back({config_errc::missing_key, section.m_name,
                              std::string(rule.m_key), section.m_line,
                              std::string(rule.m_allowed)});
        }
    }
}

void convert_section(config::ini_section const & section, load_plan & plan,
                     fault_list & faults)
{
    std::string_view const full = section.m_name;
    std::size_t const dot = full.find('.');
    std::string_view const type = full.substr(0, dot);
    std::string const name(dot == std::string_view::npos ? "" : full.substr(dot + 1));
    if (full == "load")
    {
        parse_section<load_plan>(section, load_rules, plan, faults);
    }
    else if (type == "kind" && !name.empty())
    {
        kind_load & kind = plan.m_kinds.emplace_back();
        kind.m_name = name;
        parse_section<kind_load>(section, kind_rules, kind, faults);
    }
    else if (type == "flood" && !name.empty())
    {
        flood & added = plan.m_floods.emplace_back();
        added.m_name = name;
        parse_section<flood>(section, flood_rules, added, faults);
    }
    else if (type == "fault" && !name.empty())
    {
        scheduled_fault & added = plan.m_faults.emplace_back();
        added.m_name = name;
        parse_section<scheduled_fault>(section, fault_rules, added, faults);
    }
    else
    {
        faults.push_back({config::config_errc::unknown_section, section.m_name, "",
                          section.m_line, "load, kind.NAME, flood.NAME, fault.NAME"});
    }
}

void check_flood_kinds(load_plan const & plan, fault_list & faults)
{
    for (flood const & item : plan.m_floods)
    {
        if (std::none_of(plan.m_kinds.begin(), plan.m_kinds.end(),
                         [&item](kind_load const & kind)
                         { return kind.m_name == item.m_kind; }))
        {
            faults.push_back({config::config_errc::unknown_reference,
                              "flood." + item.m_name, "kind", 0,
                              "name of a [kind.NAME]"});
        }
    }
}

template <typename Value, typename Measure>
double weighted_mean(std::vector<weighted<Value>> const & choices, Measure measure)
{
    double sum = 0;
    double weights = 0;
    for (weighted<Value> const & choice : choices)
    {
        sum += choice.m_weight * measure(choice.m_value);
        weights += choice.m_weight;
    }
    return weights > 0 ? sum / weights : 0;
}

/// \returns the mean of the log-uniform distribution over \p range, in seconds.
double mean_seconds(run_time_range const & range)
{
    double const low = std::chrono::duration<double>(range.m_low).count();
    double const high = std::chrono::duration<double>(range.m_high).count();
    return high > low && low > 0 ? (high - low) / std::log(high / low) : low;
}

} // namespace

} // namespace internal

std::optional<load_plan> parse_load_plan(std::string_view text,
                                         std::vector<config::config_error> & faults)
{
    std::size_t const faults_before = faults.size();
    config::ini_document const document = config::parse_ini(text, faults);
    load_plan plan;
    for (config::ini_section const & section : document.m_sections)
    {
        internal::convert_section(section, plan, faults);
    }
    internal::check_flood_kinds(plan, faults);
    if (plan.m_kinds.empty())
    {
        faults.push_back({config::config_errc::missing_key, "kind.NAME", "", 0,
                          "at least one section"});
    }
    if (faults.size() != faults_before)
    {
        return std::nullopt;
    }
    std::sort(plan.m_faults.begin(), plan.m_faults.end(),
              [](scheduled_fault const & left, scheduled_fault const & right)
              { return left.m_at < right.m_at; });
    return plan;
}

double offered_slots(load_plan const & plan)
{
    double slots = 0;
    for (kind_load const & kind : plan.m_kinds)
    {
        slots += kind.m_rate *
                 internal::weighted_mean(kind.m_task_counts, [](std::uint32_t count)
                                         { return static_cast<double>(count); }) *
                 internal::weighted_mean(kind.m_run_times, internal::mean_seconds);
    }
    return slots;
}

} // namespace cassiahub::load
