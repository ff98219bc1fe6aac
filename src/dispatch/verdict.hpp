#ifndef CASSIAHUB_SRC_DISPATCH_VERDICT_HPP
#define CASSIAHUB_SRC_DISPATCH_VERDICT_HPP

#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// \returns whether a task of a local job may start, as far as lost upstreams decide it.
crash_verdict judge_task(dispatch_state const & state, job_state const & job,
                         std::uint32_t task);

/// \returns true when \p verdict forbids a start.
bool forbids_start(crash_verdict verdict) noexcept;

/// \returns the error with which to refuse \p spec because of one of its tasks, or no
/// error.
std::error_code check_verdicts(dispatch_state const & state, job_spec const & spec);

/// Ends \p job when its task \p task may not be started.
/// \returns true when it has ended; \p job is then invalid.
bool end_if_forbidden(dispatch_state & state, job_state & job, std::uint32_t task,
                      effects & out);

} // namespace cassiahub::dispatch::internal

#endif
