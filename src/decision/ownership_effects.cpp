#include "decision/context.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/ownership/owner.hpp>

#include <string>
#include <utility>
#include <vector>

namespace cassiahub::decision::internal
{

/// Queues a job in the dispatcher once ownership permits it to start.
void queue_job(step_context & context, ownership::startable_job const & startable)
{
    entry_state & state = context.m_state;
    auto const found = state.m_open_jobs.find(startable.m_key);
    if (found == state.m_open_jobs.end())
    {
        return;
    }
    open_job & job = found->second;
    std::error_code error =
        dispatch::check_admission(state.m_dispatch, job.m_spec, context.m_now);
    if (!error && job.m_deadline <= context.m_now)
    {
        error = job_errc::deadline_exceeded;
    }
    if (error)
    {
        finish_job(context,
                   {startable.m_key, {error, run_state::no, refusal_retry_after, {}}});
        return;
    }
    job.m_queued = true;
    job.m_token = startable.m_token;
    dispatch::enqueue_job(
        state.m_dispatch,
        {std::move(job.m_spec), startable.m_token, job.m_deadline, job.m_deadline},
        context.m_now);
}

/// Aborts the queued jobs of a lost shard that were not started. Started jobs continue
/// until they are answered.
void abort_unstarted_jobs(step_context & context, std::uint32_t shard)
{
    entry_state & state = context.m_state;
    std::vector<job_key> waiting;
    for (auto const & [key, job] : state.m_open_jobs)
    {
        if (job.m_queued && !job.m_started &&
            ownership::shard_of(key, state.m_ownership.m_shards.size()) == shard)
        {
            waiting.push_back(key);
        }
    }
    for (job_key const & key : waiting)
    {
        abort_job(context, key, job_errc::lease_lapsed);
    }
}

/// \returns the log code of \p change.
std::string_view code_of(ownership::shard_change change) noexcept
{
    switch (change)
    {
    case ownership::shard_change::claimed:
        return "shard_claimed";
    case ownership::shard_change::serving:
        return "shard_serving";
    case ownership::shard_change::released:
        return "shard_released";
    case ownership::shard_change::lost:
        return "shard_lost";
    }
    return "shard_changed";
}

void apply(step_context & context, ownership::effects effects)
{
    entry_state & state = context.m_state;
    for (ownership::store_write & write : effects.m_writes)
    {
        context.m_actions.emplace_back(to_action(std::move(write)));
    }
    for (ownership::store_read & read : effects.m_reads)
    {
        context.m_actions.emplace_back(
            read_store{read.m_request, std::move(read.m_prefix)});
    }
    for (ownership::outgoing_notice & notice : effects.m_notices)
    {
        send(context, notice.m_to,
             key_notice{notice.m_request, notice.m_shard, std::move(notice.m_keys)});
    }
    for (ownership::refused_job const & refused : effects.m_refused)
    {
        close_job(context, refused.m_key,
                  {refused.m_error, refused.m_ran, refusal_retry_after, {}});
    }
    for (ownership::shard_event const & event : effects.m_shard_events)
    {
        context.m_actions.emplace_back(
            log_event{code_of(event.m_change),
                      state.m_identity.m_domain + "/" + std::to_string(event.m_shard),
                      {}});
        if (event.m_change == ownership::shard_change::lost)
        {
            abort_unstarted_jobs(context, event.m_shard);
        }
        else if (event.m_change == ownership::shard_change::serving)
        {
            // The heartbeat is sent at once: a previous owner that cannot reach the store
            // finds out from it that it has lost the shard.
            state.m_next_scan = context.m_now;
            state.m_membership.m_next_domain_heartbeat = context.m_now;
        }
    }
    for (ownership::startable_job const & startable : effects.m_startable)
    {
        queue_job(context, startable);
    }
}

} // namespace cassiahub::decision::internal
