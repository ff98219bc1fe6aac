#include "dispatch/attempts.hpp"
#include "dispatch/jobs.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <algorithm>

namespace cassiahub::dispatch
{

void cancel_job(dispatch_state & state, job_key const & key, time_point, effects & out)
{
    if (job_state * const job = internal::find_job(state, key))
    {
        internal::finish_job(state, *job,
                             internal::failed_answer(*job, job_errc::cancelled), out);
    }
}

bool has_unfinished_attempts(dispatch_state const & state, std::string_view key)
{
    return std::any_of(state.m_attempts.begin(), state.m_attempts.end(),
                       [key](auto const & entry) {
                           return entry.second.m_cancelled &&
                                  entry.second.m_task.m_job == key;
                       }) ||
           std::any_of(state.m_forwarded.begin(), state.m_forwarded.end(),
                       [key](auto const & entry)
                       { return entry.second.m_start.m_job.m_key == key; });
}

} // namespace cassiahub::dispatch
