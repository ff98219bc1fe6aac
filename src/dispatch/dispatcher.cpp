#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace cassiahub::dispatch
{

namespace internal
{

void finish_job(dispatch_state & state, job_key const & key, job_answer answer,
                effects & out)
{
    for (auto attempt = state.m_attempts.begin(); attempt != state.m_attempts.end();)
    {
        if (attempt->second.m_job != key)
        {
            ++attempt;
            continue;
        }
        auto const upstream = state.m_upstreams.find(attempt->second.m_upstream);
        if (upstream != state.m_upstreams.end())
        {
            out.m_cancels.push_back(
                {attempt->first, upstream->second.m_definition.m_address});
            ++upstream->second.m_free_slots;
            release(upstream->second.m_free, attempt->second.m_demand);
        }
        attempt = state.m_attempts.erase(attempt);
    }
    out.m_finished.push_back({key, std::move(answer)});
    state.m_jobs.erase(key);
}

job_answer failed_answer(job_state const & job, job_errc error)
{
    return {error, job.m_started ? run_state::unknown : run_state::no, {}, {}};
}

job_answer whole_answer(job_state & job)
{
    job_answer answer;
    answer.m_ran = run_state::yes;
    for (task_state & task : job.m_tasks)
    {
        answer.m_results.push_back(std::move(task.m_result));
    }
    return answer;
}

upstream_state * pick_upstream(dispatch_state & state, resources const & demand)
{
    upstream_state * best = nullptr;
    for (auto & [name, candidate] : state.m_upstreams)
    {
        bool const usable = !candidate.m_leaving && candidate.m_free_slots > 0 &&
                            fits(demand, candidate.m_free);
        if (usable && (best == nullptr || candidate.m_free_slots > best->m_free_slots))
        {
            best = &candidate;
        }
    }
    return best;
}

void start_task(dispatch_state & state, queued_task const & queued, job_state & job,
                upstream_state & target, time_point now, effects & out)
{
    task_spec const & task = job.m_spec.m_tasks[queued.m_task];
    attempt_id const id{state.m_incarnation, state.m_next_serial++};
    --target.m_free_slots;
    reserve(target.m_free, task.m_demand);
    job.m_started = true;
    ++job.m_tasks[queued.m_task].m_attempts;
    state.m_attempts.emplace(id, running_attempt{queued.m_job, queued.m_task,
                                                 target.m_definition.m_name,
                                                 task.m_demand, now});
    out.m_starts.push_back({id, queued.m_job, queued.m_task, job.m_spec.m_kind,
                            task.m_payload, task.m_demand, target.m_definition.m_name,
                            target.m_definition.m_address, job.m_token, job.m_deadline,
                            job.m_send_before});
}

/// Starts tasks of one queue until it is empty or nothing has room.
void drain_queue(dispatch_state & state, std::deque<queued_task> & queue, time_point now,
                 effects & out)
{
    while (!queue.empty())
    {
        auto const job = state.m_jobs.find(queue.front().m_job);
        if (job == state.m_jobs.end())
        {
            queue.pop_front();
            continue;
        }
        task_spec const & task = job->second.m_spec.m_tasks[queue.front().m_task];
        upstream_state * const target = pick_upstream(state, task.m_demand);
        if (target == nullptr)
        {
            return;
        }
        start_task(state, queue.front(), job->second, *target, now, out);
        queue.pop_front();
    }
}

void expire_jobs(dispatch_state & state, time_point now, effects & out)
{
    std::vector<job_key> expired;
    for (auto const & [key, job] : state.m_jobs)
    {
        if (job.m_deadline <= now)
        {
            expired.push_back(key);
        }
    }
    for (job_key const & key : expired)
    {
        finish_job(state, key,
                   failed_answer(state.m_jobs.at(key), job_errc::deadline_exceeded), out);
    }
}

bool fits_somewhere(config::fleet_configuration const & configuration,
                    resources const & demand)
{
    return std::any_of(configuration.m_upstreams.begin(), configuration.m_upstreams.end(),
                       [&demand](config::upstream const & candidate)
                       { return fits(demand, candidate.m_capacity); });
}

} // namespace internal

void apply_configuration(dispatch_state & state,
                         std::shared_ptr<config::fleet_configuration const> configuration)
{
    state.m_configuration = std::move(configuration);
}

void set_owned_upstreams(dispatch_state & state, std::span<std::string const> names)
{
    std::erase_if(state.m_upstreams,
                  [names](auto const & entry) {
                      return !std::binary_search(names.begin(), names.end(), entry.first);
                  });
    for (config::upstream const & definition : state.m_configuration->m_upstreams)
    {
        if (std::binary_search(names.begin(), names.end(), definition.m_name))
        {
            state.m_upstreams.try_emplace(definition.m_name,
                                          upstream_state{definition, definition.m_slots,
                                                         definition.m_capacity, false});
        }
    }
}

void set_upstream_leaving(dispatch_state & state, std::string_view upstream, bool leaving)
{
    auto const found = state.m_upstreams.find(upstream);
    if (found != state.m_upstreams.end())
    {
        found->second.m_leaving = leaving;
    }
}

std::error_code check_admission(dispatch_state const & state, job_spec const & spec,
                                time_point)
{
    if (!state.m_configuration)
    {
        return job_errc::no_configuration;
    }
    config::fleet_configuration const & configuration = *state.m_configuration;
    if (config::find_tenant(configuration, spec.m_key.m_tenant) == nullptr)
    {
        return job_errc::unknown_tenant;
    }
    if (config::find_kind(configuration, spec.m_kind) == nullptr)
    {
        return job_errc::unknown_kind;
    }
    if (spec.m_tasks.empty() || spec.m_tasks.size() > max_tasks_per_job)
    {
        return job_errc::too_many_tasks;
    }
    for (task_spec const & task : spec.m_tasks)
    {
        if (!internal::fits_somewhere(configuration, task.m_demand))
        {
            return job_errc::never_fits;
        }
    }
    return {};
}

void enqueue_job(dispatch_state & state, admitted_job job, time_point)
{
    BOOST_ASSERT(!state.m_jobs.contains(job.m_spec.m_key));
    job_key const key = job.m_spec.m_key;
    config::work_kind const * const kind =
        config::find_kind(*state.m_configuration, job.m_spec.m_kind);
    BOOST_ASSERT(kind != nullptr);
    std::size_t const count = job.m_spec.m_tasks.size();
    job_state entry;
    entry.m_spec = std::move(job.m_spec);
    entry.m_token = std::move(job.m_token);
    entry.m_deadline = job.m_deadline;
    entry.m_send_before = job.m_send_before;
    entry.m_tasks.resize(count);
    state.m_jobs.emplace(key, std::move(entry));
    for (std::uint32_t task = 0; task < count; ++task)
    {
        state.m_queues[kind->m_urgency].push_back({key, task});
    }
}

void cancel_job(dispatch_state & state, job_key const & key, time_point, effects & out)
{
    auto const job = state.m_jobs.find(key);
    if (job != state.m_jobs.end())
    {
        internal::finish_job(
            state, key, internal::failed_answer(job->second, job_errc::cancelled), out);
    }
}

void finish_attempt(dispatch_state & state, attempt_result result, time_point,
                    random_source &, effects & out)
{
    auto const attempt = state.m_attempts.find(result.m_attempt);
    if (attempt == state.m_attempts.end())
    {
        ++state.m_wasted_messages;
        return;
    }
    running_attempt const finished = std::move(attempt->second);
    state.m_attempts.erase(attempt);
    auto const upstream = state.m_upstreams.find(finished.m_upstream);
    if (upstream != state.m_upstreams.end())
    {
        ++upstream->second.m_free_slots;
        release(upstream->second.m_free, finished.m_demand);
        upstream->second.m_leaving |= result.m_upstream_leaving;
    }
    job_key const key = finished.m_job;
    job_state & job = state.m_jobs.at(key);
    if (result.m_outcome != attempt_outcome::succeeded)
    {
        job_errc const error = result.m_outcome == attempt_outcome::unknown
                                   ? job_errc::outcome_unknown
                                   : job_errc::task_failed;
        internal::finish_job(state, key, internal::failed_answer(job, error), out);
        return;
    }
    task_state & task = job.m_tasks[finished.m_task];
    task.m_done = true;
    task.m_result = std::move(result.m_payload);
    if (++job.m_done_count == job.m_tasks.size())
    {
        internal::finish_job(state, key, internal::whole_answer(job), out);
    }
}

void advance(dispatch_state & state, time_point now, random_source &, effects & out)
{
    internal::expire_jobs(state, now, out);
    for (auto & [urgency, queue] : state.m_queues)
    {
        internal::drain_queue(state, queue, now, out);
    }
}

void set_peer(dispatch_state & state, peer_capacity peer)
{
    instance_id const id = peer.m_instance;
    state.m_peers.insert_or_assign(id, std::move(peer));
}

void remove_peer(dispatch_state & state, instance_id const & instance, time_point,
                 random_source &, effects &)
{
    state.m_peers.erase(instance);
}

void accept_forwarded(dispatch_state & state, instance_id const & from,
                      attempt_start task, time_point)
{
    state.m_forwarded.push_back({from, std::move(task)});
}

void cancel_forwarded(dispatch_state & state, attempt_id const & attempt, time_point,
                      effects & out)
{
    std::erase_if(
        state.m_forwarded,
        [&attempt, &out](forwarded_task const & task)
        {
            bool const matches = task.m_start.m_attempt == attempt;
            if (matches)
            {
                out.m_forward_results.push_back(
                    {task.m_from, {attempt, attempt_outcome::not_run, "", false}});
            }
            return matches;
        });
}

peer_load current_load(dispatch_state const & state)
{
    peer_load load;
    for (auto const & [name, upstream] : state.m_upstreams)
    {
        load.m_free_slots += upstream.m_leaving ? 0 : upstream.m_free_slots;
    }
    for (auto const & [urgency, queue] : state.m_queues)
    {
        load.m_queued_tasks += static_cast<std::uint32_t>(queue.size());
    }
    return load;
}

std::vector<std::string_view> check_invariants(dispatch_state const & state)
{
    std::vector<std::string_view> broken;
    for (auto const & [name, upstream] : state.m_upstreams)
    {
        if (upstream.m_free_slots > upstream.m_definition.m_slots)
        {
            broken.emplace_back("slots_freed_twice");
        }
    }
    for (auto const & [id, attempt] : state.m_attempts)
    {
        if (!state.m_jobs.contains(attempt.m_job))
        {
            broken.emplace_back("attempt_without_job");
        }
    }
    return broken;
}

} // namespace cassiahub::dispatch
