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

/// One value of a random choice, drawn in proportion to its weight.
template <typename Value>
struct weighted
{
    Value m_value;
    double m_weight = 1;
};

/// Log-uniform distribution of run times between two bounds.
struct run_time_range
{
    duration m_low{0};
    duration m_high{0};
};

/// Load of one kind of work.
struct kind_load
{
    std::string m_name;
    double m_rate = 1;                             ///< jobs a second
    duration m_deadline = std::chrono::seconds(5); ///< counted from the arrival
    bool m_repeatable = false; ///< a task may be started more than once
    std::vector<weighted<std::uint32_t>> m_task_counts{{1, 1}};
    std::vector<weighted<run_time_range>> m_run_times;
    std::vector<weighted<std::string>> m_tenants;
};

/// Interval during which jobs of one kind arrive at a multiple of their usual rate.
struct flood
{
    std::string m_name;
    std::string m_kind;  ///< name of the kind
    double m_factor = 1; ///< multiplies the usual rate
    duration m_start{0}; ///< since the start of the run
    duration m_length{0};
};

/// Faults that a stand-in receives with an HTTP PUT at one time of the run.
struct scheduled_fault
{
    std::string m_name;
    duration m_at{0};      ///< since the start of the run
    std::string m_address; ///< "ip:port"
    std::string m_path = "/faults";
    std::string m_query;
    std::string m_body; ///< JSON object
};

/// Load and faults of one run. The upstream stand-ins are the test programs
/// (cassiahub-upstream-standin) that play the upstreams.
struct load_plan
{
    std::uint64_t m_seed = 1;
    duration m_length = std::chrono::seconds(60);
    std::vector<std::string> m_targets; ///< addresses of entry instances
    /// One address of each process that runs upstream stand-ins.
    std::vector<std::string> m_upstreams;
    std::uint32_t m_senders = 200; ///< threads; each has at most one open request
    double m_resubmit_percent = 0; ///< share of the jobs that are submitted twice
    /// From the first submission to the resubmission.
    duration m_resubmit_delay = std::chrono::milliseconds(300);
    /// Network time that the ideal latency includes.
    duration m_round_trip_time = std::chrono::milliseconds(1);
    duration m_progress_period = std::chrono::seconds(10);
    std::vector<kind_load> m_kinds;
    std::vector<flood> m_floods;
    std::vector<scheduled_fault> m_faults; ///< sorted by time
};

/// Parses and checks a plan in INI format: sections [load], [kind.NAME], [flood.NAME],
/// [fault.NAME].
/// \param faults receives every fault of \p text.
/// \returns the plan, or nothing when \p text has a fault. Thread-safe.
std::optional<load_plan> parse_load_plan(std::string_view text,
                                         std::vector<config::config_error> & faults);

/// \returns the mean number of upstream slots that the planned load occupies, without
/// floods.
double offered_slots(load_plan const & plan);

} // namespace cassiahub::load

#endif
