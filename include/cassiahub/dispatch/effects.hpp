#ifndef CASSIAHUB_DISPATCH_EFFECTS_HPP
#define CASSIAHUB_DISPATCH_EFFECTS_HPP

#include <cassiahub/core/job.hpp>
#include <cassiahub/dispatch/attempt.hpp>

#include <vector>

namespace cassiahub::dispatch
{

/// A job that has reached its final answer.
struct job_outcome
{
    job_key m_key;
    job_answer m_answer;
};

/// A task that another instance of the fleet is asked to run on one of its upstreams.
struct task_forward
{
    instance_id m_to;
    attempt_start m_start;
};

/// Cancels a task that was forwarded.
struct forward_cancel
{
    instance_id m_to;
    attempt_id m_attempt;
};

/// Result of a task that another instance forwarded to this one.
struct forward_result
{
    instance_id m_to;
    attempt_result m_result;
};

/// What the dispatcher wants done after one event, in order within each list.
struct effects
{
    std::vector<attempt_start> m_starts;
    std::vector<attempt_cancel> m_cancels;
    std::vector<task_forward> m_forwards;
    std::vector<forward_cancel> m_forward_cancels;
    std::vector<forward_result> m_forward_results;
    std::vector<job_outcome> m_finished;
};

} // namespace cassiahub::dispatch

#endif
