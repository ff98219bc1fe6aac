#include "config/key_rules.hpp"
#include "config/value_parsers.hpp"

#include <cassiahub/config/team_key.hpp>

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

/// Checks the key only: an offer matters to edits, which read it from the text.
template <typename Record>
bool apply_offer(std::string_view value, Record & /*record*/)
{
    return is_name(value);
}

constexpr std::string_view team_name = "name of a team";
constexpr std::string_view owner_summary = "team that may edit the section";
constexpr std::string_view offer_summary =
    "team that may take the section over by an edit that names itself as owner";

} // namespace

std::span<key_rule<team> const> team_rules() noexcept
{
    static constexpr key_rule<team> rules[] = {
        {"key_hash", "sha256:<16 to 64 hexadecimal digits of salt>:<64 digits>", true,
         [](std::string_view value, team & record)
         {
             record.m_key_hash = value;
             return is_key_hash(value);
         },
         "", "salted hash of the team's key; written by cassiahubctl config key-hash"},
        {"owner", team_name, false, apply_owner<team>, administrators, owner_summary},
    };
    return rules;
}

std::span<key_rule<failure_domain> const> domain_rules() noexcept
{
    static constexpr key_rule<failure_domain> rules[] = {
        {"owner", team_name, true, apply_owner<failure_domain>, "", owner_summary},
        {"offered_to", team_name, false, apply_offer<failure_domain>, "nobody",
         offer_summary},
        {"region", "name of 1 to 64 letters, digits, - and _", true,
         [](std::string_view value, failure_domain & record)
         {
             record.m_region = value;
             return is_name(value);
         },
         "", "region that contains the failure domain"},
        {"shards", "1 to 256", false,
         [](std::string_view value, failure_domain & record)
         { return parse_number(value, 1, 256, record.m_shards); },
         "8", "key shards of the domain; fixed for the life of the domain"},
    };
    return rules;
}

std::span<key_rule<work_kind> const> kind_rules() noexcept
{
    static constexpr key_rule<work_kind> rules[] = {
        {"owner", team_name, true, apply_owner<work_kind>, "", owner_summary},
        {"offered_to", team_name, false, apply_offer<work_kind>, "nobody", offer_summary},
        {"urgency", "0 (most urgent) to 9", true,
         [](std::string_view value, work_kind & record)
         { return parse_number(value, 0, 9, record.m_urgency); },
         "", "order of the kind while it is inside its share of the fleet"},
        {"share", "1 to 1000", true,
         [](std::string_view value, work_kind & record)
         { return parse_number(value, 1, 1000, record.m_share); },
         "", "weight of the kind's part of the fleet"},
        {"repeatable", "yes or no", true,
         [](std::string_view value, work_kind & record)
         { return parse_boolean(value, record.m_repeatable); },
         "", "whether a task may be attempted again after an unknown outcome"},
        {"queue_limit", "1 to 1000000 tasks", false,
         [](std::string_view value, work_kind & record)
         { return parse_number(value, 1, 1'000'000, record.m_queue_limit); },
         "20000", "queued tasks of the kind on each instance; more are refused"},
        {"expected_run_time", "1ms to 60s", false,
         [](std::string_view value, work_kind & record)
         { return parse_duration(value, 1ms, 60s, record.m_expected_run_time); },
         "300ms", "run time assumed until enough tasks were observed"},
    };
    return rules;
}

std::span<key_rule<tenant> const> tenant_rules() noexcept
{
    static constexpr key_rule<tenant> rules[] = {
        {"owner", team_name, true, apply_owner<tenant>, "", owner_summary},
        {"offered_to", team_name, false, apply_offer<tenant>, "nobody", offer_summary},
        {"weight", "1 to 1000", false,
         [](std::string_view value, tenant & record)
         { return parse_number(value, 1, 1000, record.m_weight); },
         "1", "weight of the tenant inside each kind"},
        {"max_tasks", "1 to 1000000 tasks", false,
         [](std::string_view value, tenant & record)
         { return parse_number(value, 1, 1'000'000, record.m_max_tasks); },
         "10000", "queued and running tasks of the tenant on each instance"},
    };
    return rules;
}

std::span<key_rule<upstream> const> upstream_rules() noexcept
{
    static constexpr key_rule<upstream> rules[] = {
        {"owner", team_name, true, apply_owner<upstream>, "", owner_summary},
        {"offered_to", team_name, false, apply_offer<upstream>, "nobody", offer_summary},
        {"address", "IPv4 address:port", true,
         [](std::string_view value, upstream & record)
         {
             record.m_address = value;
             return is_socket_address(value);
         },
         "", "where the upstream accepts tasks; unique in the document"},
        {"domain", "name of a failure domain", true,
         [](std::string_view value, upstream & record)
         {
             record.m_domain = value;
             return is_name(value);
         },
         "", "failure domain of the upstream"},
        {"rack", "name of 1 to 64 letters, digits, - and _", false,
         [](std::string_view value, upstream & record)
         {
             record.m_rack = value;
             return is_name(value);
         },
         "none", "rack of the worker behind the upstream"},
        {"slots", "1 to 1024", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 1, 1024, record.m_slots); },
         "8", "tasks that the upstream runs at once; at most its connections"},
        {"connections", "1 to 4096", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 1, 4096, record.m_connections); },
         "64", "connections that the upstream accepts"},
        {"millicores", "1 to 1000000", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 1, 1'000'000, record.m_capacity.m_millicores); },
         "16000", "processors of the worker, in thousandths of a core"},
        {"memory_mib", "1 to 16777216", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 1, 16'777'216, record.m_capacity.m_memory_mib); },
         "32768", "memory of the worker in MiB"},
        {"accelerators", "0 to 64", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 0, 64, record.m_capacity.m_accelerators); },
         "0", "accelerators of the worker"},
        {"draining", "yes or no", false,
         [](std::string_view value, upstream & record)
         { return parse_boolean(value, record.m_draining); },
         "no", "yes: the upstream receives no new work; set by cassiahubctl drain"},
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
        {"policy", "fair or baseline", false, apply_policy, "fair",
         "order and placement of tasks; baseline is for comparison only"},
        {"ejection", "success_rate, consecutive_failures or none", false, apply_ejection,
         "success_rate", "how upstreams that fail everything are kept from getting work"},
        {"max_attempts", "1 to 10", false,
         apply_number<&dispatch_settings::m_max_attempts, 1, 10>, "3",
         "attempts of one repeatable task, the first included"},
        {"retry_budget_percent", "0 to 100", false,
         apply_number<&dispatch_settings::m_retry_budget_percent, 0, 100>, "10",
         "retries allowed for each 100 first attempts"},
        {"retry_reserve", "0 to 1000", false,
         apply_number<&dispatch_settings::m_retry_reserve, 0, 1000>, "50",
         "retries that may be made before the percentage limits them"},
        {"retry_delay", "1ms to 1s", false,
         apply_duration<&dispatch_settings::m_retry_delay, 1, 1000>, "10ms",
         "longest wait before the third attempt of a task that did not run"},
        {"hedge_budget_percent", "0 to 100", false,
         apply_number<&dispatch_settings::m_hedge_budget_percent, 0, 100>, "1",
         "hedges allowed for each 100 first attempts; 0 turns hedging off"},
        {"hedge_delay_percent", "100 to 1000", false,
         apply_number<&dispatch_settings::m_hedge_delay_percent, 100, 1000>, "200",
         "run time, in percent of the 95th percentile of the kind, after which a "
         "repeatable task is hedged"},
        {"share_window", "0ms to 60s", false,
         apply_duration<&dispatch_settings::m_share_window, 0, 60000>, "1s",
         "period over which a kind may use its share in a burst"},
        {"ejection_window", "1s to 10min", false,
         apply_duration<&dispatch_settings::m_ejection_window, 1000, 600000>, "10s",
         "period over which the success rate of an upstream is taken"},
        {"ejection_min_results", "1 to 1000", false,
         apply_number<&dispatch_settings::m_ejection_min_results, 1, 1000>, "5",
         "results in the window below which an upstream is not judged"},
        {"ejection_success_percent", "1 to 100", false,
         apply_number<&dispatch_settings::m_ejection_success_percent, 1, 100>, "50",
         "success rate below which an upstream is ejected"},
        {"ejection_slow_percent", "150 to 10000", false,
         apply_number<&dispatch_settings::m_ejection_slow_percent, 150, 10000>, "300",
         "run time, in percent of the usual, above which an upstream is ejected"},
        {"ejection_cap_percent", "0 to 90", false,
         apply_number<&dispatch_settings::m_ejection_cap_percent, 0, 90>, "40",
         "largest ejected part of the upstreams of an instance"},
        {"ejection_cooling", "100ms to 10min", false,
         apply_duration<&dispatch_settings::m_ejection_cooling, 100, 600000>, "10s",
         "time before an ejected upstream is probed; doubled for each ejection in a row, "
         "up to eight times"},
        {"breaker_threshold", "1 to 100", false,
         apply_number<&dispatch_settings::m_breaker_threshold, 1, 100>, "5",
         "consecutive failures that open the circuit breaker"},
        {"breaker_open_time", "100ms to 10min", false,
         apply_duration<&dispatch_settings::m_breaker_open_time, 100, 600000>, "30s",
         "time for which the circuit breaker stays open"},
        {"attempt_timeout_margin", "100ms to 60s", false,
         apply_duration<&dispatch_settings::m_attempt_timeout_margin, 100, 60000>, "5s",
         "time after its deadline at which an attempt without a result frees its slot"},
        {"reservation_delay", "1ms to 60s", false,
         apply_duration<&dispatch_settings::m_reservation_delay, 1, 60000>, "100ms",
         "time for which a task must have found no room before an upstream is reserved"},
        {"forward_wait", "10ms to 60s", false,
         apply_duration<&dispatch_settings::m_forward_wait, 10, 60000>, "500ms",
         "time that a forwarded task may wait for a slot before it is handed back"},
        {"resubmission_window", "10s to 1440min", false,
         apply_duration<&dispatch_settings::m_resubmission_window, 10000, 86400000>,
         "10min", "time for which a job's key and answer are remembered"},
    };
    return rules;
}

} // namespace cassiahub::config::internal
