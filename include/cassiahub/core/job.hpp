#ifndef CASSIAHUB_CORE_JOB_HPP
#define CASSIAHUB_CORE_JOB_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/resources.hpp>
#include <cassiahub/core/time.hpp>

#include <cstddef>
#include <string>
#include <system_error>
#include <vector>

namespace cassiahub
{

/// Largest number of tasks in one job.
constexpr std::size_t max_tasks_per_job = 230;

/// One task as the caller submitted it.
struct task_spec
{
    std::string m_payload;
    resources m_demand;
    duration m_declared_run_time{0}; ///< expected run time; 0: not declared
};

/// One job as the caller submitted it.
struct job_spec
{
    job_key m_key;
    std::string m_kind;       ///< name of a work kind of the configuration
    duration m_time_limit{0}; ///< time from submission to the final answer
    std::vector<task_spec> m_tasks;
};

/// Whether any task of a failed or refused job ran.
enum class run_state
{
    no,
    yes,
    unknown
};

/// Final answer to one job. On success m_results holds one result for each task, in
/// submission order; on an error it is empty.
struct job_answer
{
    std::error_code m_error;
    run_state m_ran = run_state::no;
    duration m_retry_after{0}; ///< delay before a resubmission; 0: no suggestion
    std::vector<std::string> m_results;
};

} // namespace cassiahub

#endif
