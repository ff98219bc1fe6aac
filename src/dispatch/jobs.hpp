#ifndef CASSIAHUB_DISPATCH_JOBS_HPP
#define CASSIAHUB_DISPATCH_JOBS_HPP

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// \returns the job with key \p key, or nullptr.
job_state * find_job(dispatch_state & state, job_key const & key);

/// \returns the index of the kind or tenant named \p name. An unknown one is added with
/// default settings, because a peer with a newer configuration may forward its tasks.
/// \param service of a kind that is added
std::uint32_t kind_index(dispatch_state & state, std::string const & name,
                         std::string_view service);
std::uint32_t tenant_index(dispatch_state & state, std::string const & name);

/// Adds \p change to the number of queued tasks, in total, of \p kind and of its pool.
void adjust_queued_count(dispatch_state & state, std::uint32_t kind,
                         std::ptrdiff_t change);

/// Removes and returns the task of \p job to start next.
/// \pre queued_tasks(job) > 0
std::uint32_t dequeue_task(dispatch_state & state, job_state & job);

/// Queues a task for another attempt.
void requeue_task(dispatch_state & state, job_state & job, std::uint32_t task,
                  random_source & random);

/// Ends a job with its final answer: dequeues its queued tasks, cancels its running
/// attempts and removes the job from the state.
void finish_job(dispatch_state & state, job_state & job, job_answer answer,
                effects & out);

job_answer failed_answer(job_state const & job, job_errc error);

/// \pre every task is done
job_answer complete_answer(job_state & job);

} // namespace cassiahub::dispatch::internal

#endif
