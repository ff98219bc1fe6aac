#ifndef CASSIAHUB_LEASE_RUN_HPP
#define CASSIAHUB_LEASE_RUN_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace cassiahub::lease
{

/// Identifies a task across all instances and upstreams.
struct task_name
{
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;
    auto operator<=>(task_name const &) const = default;
};

/// Identifies one start of a task. Each later start of the task has a higher generation.
struct run_name
{
    task_name m_task;
    std::uint64_t m_generation = 0;
    auto operator<=>(run_name const &) const = default;
};

/// Reason for which a run ended.
enum class end_cause
{
    succeeded,
    failed,  ///< because of an error of the task or the upstream
    stopped, ///< on request
    expired, ///< the lease expired
    broken   ///< interrupted, because a run on which it depends has ended
};

/// A run that an upstream reports as running.
struct listed_run
{
    run_name m_run;
    std::uint32_t m_percent = 0; ///< progress
};

/// A run that an upstream reports as ended. The numbers increase within one incarnation
/// of the upstream.
struct listed_end
{
    std::uint64_t m_number = 0;
    run_name m_run;
    end_cause m_cause = end_cause::failed;
};

} // namespace cassiahub::lease

#endif
