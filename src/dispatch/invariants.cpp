#include "dispatch/invariants.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <algorithm>

namespace cassiahub::dispatch
{

namespace internal
{

/// Slots and resources of one upstream in use, recomputed from the running attempts.
struct recomputed_usage
{
    std::uint32_t m_running = 0;
    std::uint32_t m_suspects = 0;
    resources m_used;
};

void add_if_violated(violation_names & violations, bool violated, std::string_view name)
{
    if (violated &&
        std::find(violations.begin(), violations.end(), name) == violations.end())
    {
        violations.push_back(name);
    }
}

void check_upstreams(dispatch_state const & state, violation_names & violations)
{
    std::vector<recomputed_usage> counted(state.m_upstreams.size());
    for (auto const & [id, attempt] : state.m_attempts)
    {
        if (attempt.m_upstream != no_upstream)
        {
            ++counted[attempt.m_upstream].m_running;
            counted[attempt.m_upstream].m_suspects += attempt.m_suspected ? 1 : 0;
            add_resources(counted[attempt.m_upstream].m_used, attempt.m_demand);
        }
    }
    std::vector<std::uint32_t> offered(state.m_pools.size());
    for (std::size_t id = 0; id < counted.size(); ++id)
    {
        upstream_state const & upstream = state.m_upstreams[id];
        for (std::size_t pool_id = 0; pool_id < state.m_pools.size(); ++pool_id)
        {
            capacity_index const & index = state.m_pools[pool_id].m_free_capacity;
            std::uint32_t const slots =
                id < index.m_leaves ? index.m_nodes[index.m_leaves + id].m_slots : 0;
            offered[pool_id] += slots;
            add_if_violated(violations, slots > 0 && upstream.m_pool != pool_id,
                            "upstream_offered_to_its_service");
            add_if_violated(violations, slots > 0 && upstream.m_domain_drained,
                            "drained_upstream_not_offered");
        }
        add_if_violated(violations,
                        upstream.m_running != counted[id].m_running ||
                            upstream.m_suspects != counted[id].m_suspects ||
                            upstream.m_used != counted[id].m_used,
                        "slots_accounted");
        add_if_violated(violations,
                        upstream.m_owned &&
                            upstream.m_running > upstream.m_definition.m_slots,
                        "upstream_over_committed");
    }
    for (std::size_t pool_id = 0; pool_id < state.m_pools.size(); ++pool_id)
    {
        add_if_violated(violations,
                        offered[pool_id] != state.m_pools[pool_id].m_offered_slots,
                        "offered_slots_counted");
    }
}

bool is_attached(dispatch_state const & state, attempt_id const & id,
                 running_attempt const & attempt)
{
    auto const job = state.m_jobs.find(attempt.m_job);
    if (job == state.m_jobs.end())
    {
        return false;
    }
    job_key const & key = job->second.m_spec.m_key;
    auto const & running = job->second.m_tasks[attempt.m_task.m_task].m_running;
    return attempt.m_task.m_tenant == key.m_tenant && attempt.m_task.m_job == key.m_key &&
           (running[0] == id || running[1] == id);
}

void check_crashes(dispatch_state const & state, violation_names & violations)
{
    crash_history const & history = state.m_crashes;
    std::size_t losses = 0;
    for (auto const & [task, entry] : history.m_tasks)
    {
        losses += entry.m_upstreams.size();
        add_if_violated(violations,
                        entry.m_upstreams.empty() ||
                            !history.m_by_time.contains({entry.m_last_loss, task}),
                        "suspect_has_loss");
    }
    for (auto const & [upstream, tasks] : history.m_by_upstream)
    {
        losses -= tasks.size();
    }
    add_if_violated(violations,
                    losses != 0 || history.m_by_time.size() != history.m_tasks.size(),
                    "losses_counted");
}

void check_attempts(dispatch_state const & state, violation_names & violations)
{
    for (auto const & [id, attempt] : state.m_attempts)
    {
        bool const wanted = attempt.m_from.m_value.empty() && !attempt.m_cancelled;
        add_if_violated(violations, wanted != is_attached(state, id, attempt),
                        "attempt_has_job");
        bool const placed =
            (attempt.m_upstream == no_upstream) != attempt.m_to.m_value.empty();
        add_if_violated(violations, !placed, "attempt_has_one_place");
        add_if_violated(violations,
                        !wanted &&
                            !state.m_timers.contains(
                                {attempt.m_timeout, timer_kind::attempt_timeout, id}),
                        "attempt_has_timeout");
    }
}

void check_tasks(dispatch_state const & state, job_state const & job,
                 violation_names & violations)
{
    config::work_kind const & kind = state.m_kinds[job.m_kind].m_definition;
    bool const repeatable = kind.m_repeatable || kind.m_restartable;
    std::size_t done = 0;
    std::size_t running = 0;
    for (task_state const & task : job.m_tasks)
    {
        done += task.m_done ? 1 : 0;
        running += task.m_running[0].m_serial != 0 ? 1 : 0;
        running += task.m_running[1].m_serial != 0 ? 1 : 0;
        add_if_violated(violations, !repeatable && task.m_attempts - task.m_not_run > 1,
                        "non_repeatable_task_once");
        add_if_violated(violations, task.m_done && is_running(task), "done_task_rests");
    }
    add_if_violated(violations, done != job.m_done_count, "done_tasks_counted");
    add_if_violated(violations, done == job.m_tasks.size(), "complete_job_answered");
    add_if_violated(violations, running != job.m_running_count, "running_tasks_counted");
}

void check_jobs(dispatch_state const & state, violation_names & violations)
{
    std::size_t queued_total = state.m_forwarded.size();
    std::size_t unfinished = 0;
    for (auto const & [serial, job] : state.m_jobs)
    {
        queued_total += queued_tasks(job);
        unfinished += job.m_tasks.size() - job.m_done_count;
        auto const listed = state.m_job_index.find(job.m_spec.m_key);
        add_if_violated(violations,
                        listed == state.m_job_index.end() || listed->second != serial,
                        "job_has_serial");
        add_if_violated(violations,
                        !state.m_timers.contains(
                            {job.m_deadline, timer_kind::job_deadline, {0, serial}}),
                        "job_has_deadline");
        check_tasks(state, job, violations);
    }
    for (tenant_state const & tenant : state.m_tenants)
    {
        unfinished -= tenant.m_open_tasks;
    }
    add_if_violated(violations, queued_total != state.m_queued_tasks, "queue_counted");
    add_if_violated(violations, unfinished != 0, "open_tasks_counted");
}

void check_queue(dispatch_state const & state, violation_names & violations)
{
    std::size_t queued = 0;
    std::vector<std::size_t> pool_queued(state.m_pools.size());
    std::vector<std::uint64_t> share(state.m_pools.size());
    for (std::size_t id = 0; id < state.m_kinds.size(); ++id)
    {
        std::uint32_t const pool = state.m_kinds[id].m_pool;
        kind_queue const & queue = state.m_pools[pool].m_queue.m_kinds[id];
        queued += state.m_kinds[id].m_queued_tasks;
        pool_queued[pool] += state.m_kinds[id].m_queued_tasks;
        std::size_t items = 0;
        for (auto const & [tenant, entry] : queue.m_tenants)
        {
            items += entry.m_items.size();
        }
        share[pool] += items > 0 ? queue.m_share : 0;
        add_if_violated(violations, items != queue.m_item_count, "queue_items_counted");
    }
    add_if_violated(violations, queued != state.m_queued_tasks, "kind_queues_counted");
    for (std::size_t id = 0; id < state.m_pools.size(); ++id)
    {
        service_pool const & pool = state.m_pools[id];
        std::uint64_t const reserved_for = pool.m_reservation.m_job;
        add_if_violated(violations,
                        reserved_for != 0 && !state.m_jobs.contains(reserved_for),
                        "reservation_has_job");
        add_if_violated(violations, pool_queued[id] != pool.m_queued_tasks,
                        "pool_queues_counted");
        add_if_violated(violations, share[id] != pool.m_queue.m_active_share,
                        "active_share_counted");
    }
}

} // namespace internal

std::vector<std::string_view> check_invariants(dispatch_state const & state)
{
    std::vector<std::string_view> violations;
    internal::check_elements(state, violations);
    internal::check_pools(state, violations);
    internal::check_upstreams(state, violations);
    internal::check_attempts(state, violations);
    internal::check_jobs(state, violations);
    internal::check_queue(state, violations);
    internal::check_crashes(state, violations);
    return violations;
}

} // namespace cassiahub::dispatch
