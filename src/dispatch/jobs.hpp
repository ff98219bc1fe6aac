#ifndef CASSIAHUB_DISPATCH_JOBS_HPP
#define CASSIAHUB_DISPATCH_JOBS_HPP

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// \returns the job called \p key, or nullptr.
job_state * find_job(dispatch_state & state, job_key const & key);

/// \returns the index of the kind or tenant called \p name, which is added with default
/// settings when it is new: a peer may forward work of a newer configuration.
std::uint32_t kind_index(dispatch_state & state, std::string const & name);
std::uint32_t tenant_index(dispatch_state & state, std::string const & name);

/// Adds \p change to the counts of waiting tasks.
void count_waiting(dispatch_state & state, std::uint32_t kind, std::ptrdiff_t change);

/// Removes and returns the task of \p job to start next.
/// \pre waiting_tasks(job) > 0
std::uint32_t take_waiting_task(dispatch_state & state, job_state & job);

/// Puts a task back that is to be attempted again.
void make_task_ready(dispatch_state & state, job_state & job, std::uint32_t task,
                     random_source & random);

/// Gives the final answer of a job: frees what waits, cancels what runs, forgets it.
void finish_job(dispatch_state & state, job_state & job, job_answer answer,
                effects & out);

job_answer failed_answer(job_state const & job, job_errc error);

/// \pre every task is done
job_answer complete_answer(job_state & job);

} // namespace cassiahub::dispatch::internal

#endif
