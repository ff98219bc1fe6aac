#ifndef CASSIAHUB_LOAD_LOAD_PLAN_HPP
#define CASSIAHUB_LOAD_LOAD_PLAN_HPP

#include <cassiahub/config/error.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::load
{

/// One outcome of a weighted choice.
template <typename Value>
struct weighted
{
    Value m_value;
    double m_weight = 1;
};

/// Run times between two bounds; the logarithm is drawn evenly.
struct run_time_range
{
    duration m_low{0};
    duration m_high{0};
};

/// Jobs of one kind.
struct kind_load
{
    std::string m_name;
    double m_rate = 1; ///< jobs a second
    duration m_deadline = std::chrono::seconds(5);
    bool m_repeatable = false;
    std::vector<weighted<std::uint32_t>> m_task_counts{{1, 1}};
    std::vector<weighted<run_time_range>> m_run_times;
    std::vector<weighted<std::string>> m_tenants;
};

/// A time during which one kind arrives at a multiple of its rate.
struct flood
{
    std::string m_name;
    std::string m_kind;
    double m_factor = 1;
    duration m_start{0};
    duration m_length{0};
};

/// Faults that are put to a stand-in at one moment.
struct scheduled_fault
{
    std::string m_name;
    duration m_at{0};
    std::string m_address; ///< "ip:port"
    std::string m_path = "/faults";
    std::string m_query;
    std::string m_body;
};

/// Everything that one run sends.
struct load_plan
{
    std::uint64_t m_seed = 1;
    duration m_length = std::chrono::seconds(60);
    std::vector<std::string> m_targets;   ///< entry instances
    std::vector<std::string> m_upstreams; ///< one address of each upstream process
    std::uint32_t m_senders = 200;
    double m_resubmit_percent = 0;
    duration m_resubmit_delay = std::chrono::milliseconds(300);
    duration m_round_trip = std::chrono::milliseconds(1); ///< part of the ideal
    duration m_progress_period = std::chrono::seconds(10);
    std::vector<kind_load> m_kinds;
    std::vector<flood> m_floods;
    std::vector<scheduled_fault> m_faults; ///< by time
};

/// Checks the plan \p text: sections [load], [kind.NAME], [flood.NAME], [fault.NAME].
/// \param faults receives every fault found.
/// \returns the plan, or nothing when there was a fault. Thread-safe.
std::optional<load_plan> parse_load_plan(std::string_view text,
                                         std::vector<config::config_fault> & faults);

/// \returns busy slots that the plan asks for on average, without floods.
double offered_slots(load_plan const & plan);

} // namespace cassiahub::load

#endif
