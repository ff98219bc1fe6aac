#ifndef CASSIAHUB_DISPATCH_EFFECTS_HPP
#define CASSIAHUB_DISPATCH_EFFECTS_HPP

#include <cassiahub/core/job.hpp>
#include <cassiahub/dispatch/attempt.hpp>
#include <cassiahub/dispatch/crash_history.hpp>
#include <cassiahub/interference/state.hpp>

#include <vector>

namespace cassiahub::dispatch
{

/// Final answer of a job.
struct job_outcome
{
    job_key m_key;
    job_answer m_answer;
};

/// Order to forward a task to another instance, which runs it on one of its upstreams.
struct task_forward
{
    instance_id m_to;
    attempt_start m_start;
};

/// Order to cancel a task that was forwarded to another instance.
struct forward_cancel
{
    instance_id m_to;
    attempt_id m_attempt;
};

/// Result to return to the instance that forwarded the task.
struct forward_result
{
    instance_id m_to;
    attempt_result m_result;
};

/// Loss of an upstream under a task that this instance ran.
struct task_loss
{
    upstream_loss m_loss;
    instance_id m_from; ///< instance that forwarded the task, or empty
};

/// Start or end of keeping a pair of kinds apart.
struct pair_report
{
    std::string m_kind;
    std::string m_neighbour; ///< kind that slows m_kind down
    interference::pair_change m_change;
};

/// Actions for the caller to perform after an event, in order within each list.
struct effects
{
    std::vector<attempt_start> m_starts;
    std::vector<attempt_cancel> m_cancels;
    std::vector<task_forward> m_forwards;
    std::vector<forward_cancel> m_forward_cancels;
    /// Losses of upstreams, to be sent to every live instance before m_forward_results.
    std::vector<task_loss> m_losses;
    std::vector<forward_result> m_forward_results;
    std::vector<job_outcome> m_finished;
    std::vector<pair_report> m_pair_changes;
};

} // namespace cassiahub::dispatch

#endif
