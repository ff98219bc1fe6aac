#include "dispatch/attempts.hpp"
#include "dispatch/jobs.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

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

} // namespace cassiahub::dispatch
