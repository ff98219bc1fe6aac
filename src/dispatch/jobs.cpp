#include "dispatch/attempts.hpp"
#include "dispatch/baseline.hpp"
#include "dispatch/jobs.hpp"
#include "dispatch/objective.hpp"
#include "dispatch/reservation.hpp"
#include "dispatch/service_pools.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <boost/assert.hpp>

#include <utility>

namespace cassiahub::dispatch
{

namespace internal
{

job_state * find_job(dispatch_state & state, job_key const & key)
{
    auto const found = state.m_job_index.find(key);
    return found == state.m_job_index.end() ? nullptr : &state.m_jobs.at(found->second);
}

std::uint32_t kind_index(dispatch_state & state, std::string const & name,
                         std::string_view service)
{
    auto const next = static_cast<std::uint32_t>(state.m_kinds.size());
    auto const [entry, added] = state.m_kind_index.try_emplace(name, next);
    if (added)
    {
        kind_state & kind = state.m_kinds.emplace_back();
        kind.m_definition.m_service = service;
        kind.m_pool = pool_index(state, service);
        set_kind(pool_of(state, next).m_queue, next, kind.m_definition.m_share,
                 kind.m_definition.m_urgency);
    }
    return entry->second;
}

std::uint32_t tenant_index(dispatch_state & state, std::string const & name)
{
    auto const next = static_cast<std::uint32_t>(state.m_tenants.size());
    auto const [entry, added] = state.m_tenant_index.try_emplace(name, next);
    if (added)
    {
        state.m_tenants.emplace_back();
    }
    return entry->second;
}

void adjust_queued_count(dispatch_state & state, std::uint32_t kind,
                         std::ptrdiff_t change)
{
    state.m_queued_tasks += static_cast<std::size_t>(change);
    state.m_kinds[kind].m_queued_tasks += static_cast<std::size_t>(change);
    pool_of(state, kind).m_queued_tasks += static_cast<std::size_t>(change);
}

void insert_job_item(dispatch_state & state, job_state const & job)
{
    std::uint32_t const weight = state.m_tenants[job.m_tenant].m_definition.m_weight;
    insert_item(pool_of(state, job.m_kind).m_queue, job.m_kind, job.m_tenant, weight,
                {true, job.m_serial}, {});
}

std::uint32_t dequeue_task(dispatch_state & state, job_state & job)
{
    BOOST_ASSERT(queued_tasks(job) > 0);
    std::uint32_t task = job.m_next_task;
    if (job.m_retries.empty())
    {
        ++job.m_next_task;
    }
    else
    {
        task = job.m_retries.front();
        job.m_retries.pop_front();
    }
    adjust_queued_count(state, job.m_kind, -1);
    job.m_blocked_since = {};
    if (queued_tasks(job) == 0 && !is_baseline(state))
    {
        remove_item(pool_of(state, job.m_kind).m_queue, job.m_kind, job.m_tenant,
                    {true, job.m_serial});
        drop_reservation(state, job);
    }
    return task;
}

void requeue_task(dispatch_state & state, job_state & job, std::uint32_t task,
                  random_source & random)
{
    if (is_baseline(state))
    {
        assign_task(state, job, task, random);
        return;
    }
    if (queued_tasks(job) == 0)
    {
        insert_job_item(state, job);
    }
    job.m_retries.push_back(task);
    adjust_queued_count(state, job.m_kind, 1);
}

void dequeue_all_tasks(dispatch_state & state, job_state & job)
{
    std::size_t const queued = queued_tasks(job);
    if (queued > 0 && !is_baseline(state))
    {
        remove_item(pool_of(state, job.m_kind).m_queue, job.m_kind, job.m_tenant,
                    {true, job.m_serial});
        adjust_queued_count(state, job.m_kind, -static_cast<std::ptrdiff_t>(queued));
    }
    for (auto const & [task, due] : job.m_delayed)
    {
        state.m_timers.erase({due, timer_kind::retry_due, {task, job.m_serial}});
    }
}

void finish_job(dispatch_state & state, job_state & job, job_answer answer, effects & out)
{
    job_key const key = job.m_spec.m_key;
    dequeue_all_tasks(state, job);
    drop_reservation(state, job);
    for (std::uint32_t task = 0; task < job.m_tasks.size() && job.m_running_count > 0;
         ++task)
    {
        cancel_attempts_of(state, job, task, out);
    }
    cancel_objective_timers(state, job);
    state.m_timers.erase({job.m_deadline, timer_kind::job_deadline, {0, job.m_serial}});
    state.m_tenants[job.m_tenant].m_open_tasks -= job.m_tasks.size() - job.m_done_count;
    if (answer.m_error)
    {
        record_refusal(state, answer.m_error);
    }
    out.m_finished.push_back({key, std::move(answer)});
    state.m_job_index.erase(key);
    state.m_jobs.erase(job.m_serial);
}

job_answer failed_answer(job_state const & job, job_errc error)
{
    run_state ran = run_state::no;
    if (job.m_ran)
    {
        ran = run_state::yes;
    }
    else if (job.m_may_have_run || job.m_running_count > 0)
    {
        ran = run_state::unknown;
    }
    return {error, ran, {}, {}};
}

job_answer complete_answer(job_state & job)
{
    BOOST_ASSERT(job.m_done_count == job.m_tasks.size());
    job_answer answer;
    answer.m_ran = run_state::yes;
    answer.m_results.reserve(job.m_tasks.size());
    for (task_state & task : job.m_tasks)
    {
        answer.m_results.push_back(std::move(task.m_result));
    }
    return answer;
}

job_state make_job(dispatch_state & state, admitted_job job)
{
    job_state entry;
    entry.m_tasks.resize(job.m_spec.m_tasks.size());
    entry.m_kind = state.m_kind_index.at(job.m_spec.m_kind);
    entry.m_tenant = tenant_index(state, job.m_spec.m_key.m_tenant);
    entry.m_spec = std::move(job.m_spec);
    entry.m_token = std::move(job.m_token);
    entry.m_deadline = job.m_deadline;
    entry.m_send_before = job.m_send_before;
    entry.m_serial = state.m_next_serial++;
    return entry;
}

} // namespace internal

void enqueue_job(dispatch_state & state, admitted_job admitted, time_point now)
{
    BOOST_ASSERT(!state.m_job_index.contains(admitted.m_spec.m_key));
    BOOST_ASSERT(!admitted.m_spec.m_tasks.empty());
    job_state made = internal::make_job(state, std::move(admitted));
    std::uint64_t const serial = made.m_serial;
    job_state & job = state.m_jobs.emplace(serial, std::move(made)).first->second;
    state.m_job_index.emplace(job.m_spec.m_key, serial);
    state.m_timers.insert({job.m_deadline, timer_kind::job_deadline, {0, job.m_serial}});
    internal::set_objective(state, job, now);
    internal::update_typical_demand(state, state.m_kinds[job.m_kind].m_pool, job.m_spec);
    state.m_tenants[job.m_tenant].m_open_tasks += job.m_tasks.size();
    if (internal::is_baseline(state))
    {
        internal::assign_job(state, job);
        return;
    }
    internal::adjust_queued_count(state, job.m_kind,
                                  static_cast<std::ptrdiff_t>(job.m_tasks.size()));
    internal::insert_job_item(state, job);
}

void extend_send_before(dispatch_state & state, job_key const & key,
                        time_point send_before)
{
    if (job_state * const job = internal::find_job(state, key))
    {
        job->m_send_before = send_before;
    }
}

} // namespace cassiahub::dispatch
