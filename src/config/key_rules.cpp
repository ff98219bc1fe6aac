#include "config/key_rules.hpp"
#include "config/value_parsers.hpp"

namespace cassiahub::config::internal
{

namespace
{

using namespace std::chrono_literals;

template <typename Record>
bool apply_owner(std::string_view value, Record & record)
{
    record.m_owner = value;
    return is_name(value);
}

} // namespace

std::span<key_rule<team> const> team_rules() noexcept
{
    static constexpr key_rule<team> rules[] = {
        {"key_hash", "sha256:<64 hexadecimal digits>", true,
         [](std::string_view value, team & record)
         {
             record.m_key_hash = value;
             return value.size() == 71 && value.starts_with("sha256:") &&
                    value.find_first_not_of("0123456789abcdef", 7) ==
                        std::string_view::npos;
         }},
    };
    return rules;
}

std::span<key_rule<failure_domain> const> domain_rules() noexcept
{
    static constexpr key_rule<failure_domain> rules[] = {
        {"owner", "name of a team", true, apply_owner<failure_domain>},
        {"region", "name of 1 to 64 letters, digits, - and _", true,
         [](std::string_view value, failure_domain & record)
         {
             record.m_region = value;
             return is_name(value);
         }},
        {"shards", "1 to 256", false,
         [](std::string_view value, failure_domain & record)
         {
             return parse_number(value, 1, 256, record.m_shards);
         }},
    };
    return rules;
}

std::span<key_rule<work_kind> const> kind_rules() noexcept
{
    static constexpr key_rule<work_kind> rules[] = {
        {"owner", "name of a team", true, apply_owner<work_kind>},
        {"urgency", "0 (most urgent) to 9", true,
         [](std::string_view value, work_kind & record)
         {
             return parse_number(value, 0, 9, record.m_urgency);
         }},
        {"share", "1 to 1000", true,
         [](std::string_view value, work_kind & record)
         {
             return parse_number(value, 1, 1000, record.m_share);
         }},
        {"repeatable", "yes or no", true,
         [](std::string_view value, work_kind & record)
         {
             return parse_boolean(value, record.m_repeatable);
         }},
        {"queue_limit", "1 to 1000000 tasks", false,
         [](std::string_view value, work_kind & record)
         {
             return parse_number(value, 1, 1'000'000, record.m_queue_limit);
         }},
        {"expected_run_time", "1ms to 60s", false,
         [](std::string_view value, work_kind & record)
         {
             return parse_duration(value, 1ms, 60s, record.m_expected_run_time);
         }},
    };
    return rules;
}

std::span<key_rule<tenant> const> tenant_rules() noexcept
{
    static constexpr key_rule<tenant> rules[] = {
        {"owner", "name of a team", true, apply_owner<tenant>},
        {"weight", "1 to 1000", false,
         [](std::string_view value, tenant & record)
         {
             return parse_number(value, 1, 1000, record.m_weight);
         }},
        {"max_tasks", "1 to 1000000 tasks", false,
         [](std::string_view value, tenant & record)
         {
             return parse_number(value, 1, 1'000'000, record.m_max_tasks);
         }},
    };
    return rules;
}

std::span<key_rule<upstream> const> upstream_rules() noexcept
{
    static constexpr key_rule<upstream> rules[] = {
        {"owner", "name of a team", true, apply_owner<upstream>},
        {"address", "IPv4 address:port", true,
         [](std::string_view value, upstream & record)
         {
             record.m_address = value;
             return is_socket_address(value);
         }},
        {"domain", "name of a failure domain", true,
         [](std::string_view value, upstream & record)
         {
             record.m_domain = value;
             return is_name(value);
         }},
        {"rack", "name of 1 to 64 letters, digits, - and _", false,
         [](std::string_view value, upstream & record)
         {
             record.m_rack = value;
             return is_name(value);
         }},
        {"slots", "1 to 1024", false,
         [](std::string_view value, upstream & record)
         {
             return parse_number(value, 1, 1024, record.m_slots);
         }},
        {"connections", "1 to 4096", false,
         [](std::string_view value, upstream & record)
         {
             return parse_number(value, 1, 4096, record.m_connections);
         }},
        {"millicores", "1 to 1000000", false,
         [](std::string_view value, upstream & record)
         {
             return parse_number(value, 1, 1'000'000, record.m_capacity.m_millicores);
         }},
        {"memory_mib", "1 to 16777216", false,
         [](std::string_view value, upstream & record)
         {
             return parse_number(value, 1, 16'777'216, record.m_capacity.m_memory_mib);
         }},
        {"accelerators", "0 to 64", false,
         [](std::string_view value, upstream & record)
         {
             return parse_number(value, 0, 64, record.m_capacity.m_accelerators);
         }},
    };
    return rules;
}

namespace
{

template <auto Member, std::uint32_t Low, std::uint32_t High>
bool apply_number(std::string_view value, dispatch_settings & record)
{
    return parse_number(value, Low, High, record.*Member);
}

/// Limits are in milliseconds.
template <auto Member, std::int64_t Low, std::int64_t High>
bool apply_duration(std::string_view value, dispatch_settings & record)
{
    return parse_duration(value, std::chrono::milliseconds(Low),
                          std::chrono::milliseconds(High), record.*Member);
}

bool apply_policy(std::string_view value, dispatch_settings & record)
{
    bool const baseline = value == "baseline";
    record.m_policy = baseline ? dispatch_policy::baseline : dispatch_policy::fair;
    return baseline || value == "fair";
}

bool apply_ejection(std::string_view value, dispatch_settings & record)
{
    if (value == "consecutive_failures")
    {
        record.m_ejection = ejection_policy::consecutive_failures;
        return true;
    }
    bool const none = value == "none";
    record.m_ejection = none ? ejection_policy::none : ejection_policy::success_rate;
    return none || value == "success_rate";
}

} // namespace

std::span<key_rule<dispatch_settings> const> dispatch_rules() noexcept
{
    static constexpr key_rule<dispatch_settings> rules[] = {
        {"policy", "fair or baseline", false, apply_policy},
        {"ejection", "success_rate, consecutive_failures or none", false, apply_ejection},
        {"max_attempts", "1 to 10", false,
         apply_number<&dispatch_settings::m_max_attempts, 1, 10>},
        {"retry_budget_percent", "0 to 100", false,
         apply_number<&dispatch_settings::m_retry_budget_percent, 0, 100>},
        {"retry_reserve", "0 to 1000", false,
         apply_number<&dispatch_settings::m_retry_reserve, 0, 1000>},
        {"retry_delay", "1ms to 1s", false,
         apply_duration<&dispatch_settings::m_retry_delay, 1, 1000>},
        {"hedge_budget_percent", "0 to 100", false,
         apply_number<&dispatch_settings::m_hedge_budget_percent, 0, 100>},
        {"hedge_delay_percent", "100 to 1000", false,
         apply_number<&dispatch_settings::m_hedge_delay_percent, 100, 1000>},
        {"share_window", "0ms to 60s", false,
         apply_duration<&dispatch_settings::m_share_window, 0, 60000>},
        {"ejection_window", "1s to 10min", false,
         apply_duration<&dispatch_settings::m_ejection_window, 1000, 600000>},
        {"ejection_min_results", "1 to 1000", false,
         apply_number<&dispatch_settings::m_ejection_min_results, 1, 1000>},
        {"ejection_success_percent", "1 to 100", false,
         apply_number<&dispatch_settings::m_ejection_success_percent, 1, 100>},
        {"ejection_slow_percent", "150 to 10000", false,
         apply_number<&dispatch_settings::m_ejection_slow_percent, 150, 10000>},
        {"ejection_cap_percent", "0 to 90", false,
         apply_number<&dispatch_settings::m_ejection_cap_percent, 0, 90>},
        {"ejection_cooling", "100ms to 10min", false,
         apply_duration<&dispatch_settings::m_ejection_cooling, 100, 600000>},
        {"breaker_threshold", "1 to 100", false,
         apply_number<&dispatch_settings::m_breaker_threshold, 1, 100>},
        {"breaker_open_time", "100ms to 10min", false,
         apply_duration<&dispatch_settings::m_breaker_open_time, 100, 600000>},
        {"attempt_timeout_margin", "100ms to 60s", false,
         apply_duration<&dispatch_settings::m_attempt_timeout_margin, 100, 60000>},
        {"reservation_delay", "1ms to 60s", false,
         apply_duration<&dispatch_settings::m_reservation_delay, 1, 60000>},
        {"forward_wait", "10ms to 60s", false,
         apply_duration<&dispatch_settings::m_forward_wait, 10, 60000>},
        {"resubmission_window", "10s to 1440min", false,
         apply_duration<&dispatch_settings::m_resubmission_window, 10000, 86400000>},
    };
    return rules;
}

} // namespace cassiahub::config::internal
