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

/// Checks only the syntax of offered_to. No record stores the value: check_edit() reads
/// it from the section's text.
template <typename Record>
bool check_offered_to(std::string_view value, Record & /*record*/)
{
    return is_name(value);
}

constexpr std::string_view allowed_team_name = "name of a team";
constexpr std::string_view owner_summary = "team that may edit the section";
constexpr std::string_view offered_to_summary =
    "team that may make itself the owner by an edit of the section";

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
         "", "salted hash of the team's key; printed by cassiahubctl config key-hash"},
        {"owner", allowed_team_name, false, apply_owner<team>, administrator_team,
         owner_summary},
    };
    return rules;
}

std::span<key_rule<failure_domain> const> domain_rules() noexcept
{
    static constexpr key_rule<failure_domain> rules[] = {
        {"owner", allowed_team_name, true, apply_owner<failure_domain>, "",
         owner_summary},
        {"offered_to", allowed_team_name, false, check_offered_to<failure_domain>,
         "nobody", offered_to_summary},
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
         "8", "shards of the job keys in the domain; cannot change later"},
    };
    return rules;
}

std::span<key_rule<work_kind> const> kind_rules() noexcept
{
    static constexpr key_rule<work_kind> rules[] = {
        {"owner", allowed_team_name, true, apply_owner<work_kind>, "", owner_summary},
        {"offered_to", allowed_team_name, false, check_offered_to<work_kind>, "nobody",
         offered_to_summary},
        {"urgency", "0 (most urgent) to 9", true,
         [](std::string_view value, work_kind & record)
         { return parse_number(value, 0, 9, record.m_urgency); },
         "", "priority of the kind while it uses no more than its share of the fleet"},
        {"share", "1 to 1000", true,
         [](std::string_view value, work_kind & record)
         { return parse_number(value, 1, 1000, record.m_share); },
         "", "weight of the kind relative to the other kinds"},
        {"repeatable", "yes or no", true,
         [](std::string_view value, work_kind & record)
         { return parse_boolean(value, record.m_repeatable); },
         "", "whether a task may be attempted again after an unknown outcome"},
        {"queue_limit", "1 to 1000000 tasks", false,
         [](std::string_view value, work_kind & record)
         { return parse_number(value, 1, 1'000'000, record.m_queue_limit); },
         "20000", "most queued tasks of the kind on each instance; more are refused"},
        {"expected_run_time", "1ms to 60s", false,
         [](std::string_view value, work_kind & record)
         { return parse_duration(value, 1ms, 60s, record.m_expected_run_time); },
         "300ms", "run time assumed until enough tasks of the kind have run"},
    };
    return rules;
}

std::span<key_rule<tenant> const> tenant_rules() noexcept
{
    static constexpr key_rule<tenant> rules[] = {
        {"owner", allowed_team_name, true, apply_owner<tenant>, "", owner_summary},
        {"offered_to", allowed_team_name, false, check_offered_to<tenant>, "nobody",
         offered_to_summary},
        {"weight", "1 to 1000", false,
         [](std::string_view value, tenant & record)
         { return parse_number(value, 1, 1000, record.m_weight); },
         "1", "weight of the tenant within each kind"},
        {"max_tasks", "1 to 1000000 tasks", false,
         [](std::string_view value, tenant & record)
         { return parse_number(value, 1, 1'000'000, record.m_max_tasks); },
         "10000", "most queued and running tasks of the tenant on each instance"},
    };
    return rules;
}

std::span<key_rule<upstream> const> upstream_rules() noexcept
{
    static constexpr key_rule<upstream> rules[] = {
        {"owner", allowed_team_name, true, apply_owner<upstream>, "", owner_summary},
        {"offered_to", allowed_team_name, false, check_offered_to<upstream>, "nobody",
         offered_to_summary},
        {"address", "IPv4 address:port", true,
         [](std::string_view value, upstream & record)
         {
             record.m_address = value;
             return is_socket_address(value);
         },
         "", "address at which the upstream accepts tasks; unique in the document"},
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
         "8",
         "tasks that the upstream runs at the same time; at most the value of "
         "connections"},
        {"connections", "1 to 4096", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 1, 4096, record.m_connections); },
         "64", "connections that the upstream accepts"},
        {"millicores", "1 to 1000000", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 1, 1'000'000, record.m_capacity.m_millicores); },
         "16000", "processor capacity of the worker, in thousandths of a core"},
        {"memory_mib", "1 to 16777216", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 1, 16'777'216, record.m_capacity.m_memory_mib); },
         "32768", "memory of the worker in MiB"},
        {"accelerators", "0 to 64", false,
         [](std::string_view value, upstream & record)
         { return parse_number(value, 0, 64, record.m_capacity.m_accelerators); },
         "0", "number of accelerators of the worker"},
        {"draining", "yes or no", false,
         [](std::string_view value, upstream & record)
         { return parse_boolean(value, record.m_draining); },
         "no", "yes: the upstream gets no new tasks; set by cassiahubctl drain"},
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

/// \tparam Low smallest value in milliseconds.
/// \tparam High largest value in milliseconds.
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
         "how tasks are ordered and assigned to upstreams; baseline is for comparison "
         "only"},
        {"ejection", "success_rate, consecutive_failures or none", false, apply_ejection,
         "success_rate", "how unhealthy upstreams are detected; they get no tasks"},
        {"max_attempts", "1 to 10", false,
         apply_number<&dispatch_settings::m_max_attempts, 1, 10>, "3",
         "most attempts of one repeatable task, including the first"},
        {"retry_budget_percent", "0 to 100", false,
         apply_number<&dispatch_settings::m_retry_budget_percent, 0, 100>, "10",
         "retries allowed for each 100 first attempts"},
        {"retry_reserve", "0 to 1000", false,
         apply_number<&dispatch_settings::m_retry_reserve, 0, 1000>, "50",
         "initial and largest balance of the retry budget, in retries"},
        {"retry_delay", "1ms to 1s", false,
         apply_duration<&dispatch_settings::m_retry_delay, 1, 1000>, "10ms",
         "longest delay before the third attempt of a task; doubled for "
         "each further attempt, to at most 64 times this value; no delay before "
         "the second attempt"},
        {"hedge_budget_percent", "0 to 100", false,
         apply_number<&dispatch_settings::m_hedge_budget_percent, 0, 100>, "1",
         "hedges (duplicate attempts of slow tasks) allowed for each 100 first attempts; "
         "0 disables hedging"},
        {"hedge_delay_percent", "100 to 1000", false,
         apply_number<&dispatch_settings::m_hedge_delay_percent, 100, 1000>, "200",
         "run time after which a repeatable task is hedged, in percent of the 95th "
         "percentile of the run times of its kind"},
        {"share_window", "0ms to 60s", false,
         apply_duration<&dispatch_settings::m_share_window, 0, 60000>, "1s",
         "a kind may use in one burst at most its share of the fleet over this period"},
        {"ejection_window", "1s to 10min", false,
         apply_duration<&dispatch_settings::m_ejection_window, 1000, 600000>, "10s",
         "window over which the success rate of an upstream is computed"},
        {"ejection_min_results", "1 to 1000", false,
         apply_number<&dispatch_settings::m_ejection_min_results, 1, 1000>, "5",
         "results that the window must hold before an upstream may be ejected"},
        {"ejection_success_percent", "1 to 100", false,
         apply_number<&dispatch_settings::m_ejection_success_percent, 1, 100>, "50",
         "success rate below which an upstream is ejected, in percent"},
        {"ejection_slow_percent", "150 to 10000", false,
         apply_number<&dispatch_settings::m_ejection_slow_percent, 150, 10000>, "300",
         "average run time above which an upstream with ejection_min_results results is "
         "ejected, in percent of the mean run time of the kind"},
        {"ejection_cap_percent", "0 to 90", false,
         apply_number<&dispatch_settings::m_ejection_cap_percent, 0, 90>, "40",
         "largest part of the upstreams that an instance may eject, in percent"},
        {"ejection_cooling", "100ms to 10min", false,
         apply_duration<&dispatch_settings::m_ejection_cooling, 100, 600000>, "10s",
         "time before an ejected upstream is probed; doubled for each consecutive "
         "ejection, to at most 8 times this value"},
        {"breaker_threshold", "1 to 100", false,
         apply_number<&dispatch_settings::m_breaker_threshold, 1, 100>, "5",
         "consecutive failures of an upstream that open its circuit breaker; used when "
         "ejection is consecutive_failures"},
        {"breaker_open_time", "100ms to 10min", false,
         apply_duration<&dispatch_settings::m_breaker_open_time, 100, 600000>, "30s",
         "time that the circuit breaker of an upstream stays open"},
        {"attempt_timeout_margin", "100ms to 60s", false,
         apply_duration<&dispatch_settings::m_attempt_timeout_margin, 100, 60000>, "5s",
         "how long after its deadline an attempt without a result releases its slot"},
        {"reservation_delay", "1ms to 60s", false,
         apply_duration<&dispatch_settings::m_reservation_delay, 1, 60000>, "100ms",
         "time that a task that fits on no upstream waits before an upstream is "
         "reserved for it"},
        {"forward_wait", "10ms to 60s", false,
         apply_duration<&dispatch_settings::m_forward_wait, 10, 60000>, "500ms",
         "time that a forwarded task may wait for a slot at the peer before the peer "
         "returns it"},
        {"resubmission_window", "10s to 1440min", false,
         apply_duration<&dispatch_settings::m_resubmission_window, 10000, 86400000>,
         "10min", "time for which a job's idempotency key and response are kept"},
        {"interference", "off, observe or avoid", false,
         [](std::string_view value, dispatch_settings & record)
         { return parse_interference_mode(value, record.m_interference.m_mode); },
         "observe",
         "what is done about kinds that slow each other down on a shared upstream"},
        {"keep_apart", "pairs of kinds as in a+b, c+d", false,
         [](std::string_view value, dispatch_settings & record)
         { return parse_kind_pairs(value, record.m_interference.m_keep_apart); },
         "none", "pairs that are kept apart whatever the evidence says"},
        {"never_apart", "pairs of kinds as in a+b, c+d", false,
         [](std::string_view value, dispatch_settings & record)
         { return parse_kind_pairs(value, record.m_interference.m_never_apart); },
         "none", "pairs that are never kept apart"},
    };
    return rules;
}

} // namespace cassiahub::config::internal
