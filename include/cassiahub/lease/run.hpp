#ifndef CASSIAHUB_LEASE_RUN_HPP
#define CASSIAHUB_LEASE_RUN_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace cassiahub::lease
{

/// Names a task for every instance and upstream.
struct task_name
{
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;
    auto operator<=>(task_name const &) const = default;
};

/// One start of a task. Of two starts of a task the later has the higher generation.
struct run_name
{
    task_name m_task;
    std::uint64_t m_generation = 0;
    auto operator<=>(run_name const &) const = default;
};

/// How a run ended.
enum class end_cause
{
    succeeded,
    failed,  ///< by its own fault or the upstream's
    stopped, ///< on request
    lapsed,  ///< its lease expired
    broken   ///< a run that it depends on ended
};

/// A run that an upstream reports as running.
struct listed_run
{
    run_name m_run;
    std::uint32_t m_percent = 0; ///< of its work
};

/// A run that an upstream reports as ended. Numbers grow within one incarnation.
struct listed_end
{
    std::uint64_t m_number = 0;
    run_name m_run;
    end_cause m_cause = end_cause::failed;
};

} // namespace cassiahub::lease

#endif
