#include "dispatch/attempts.hpp"
#include "dispatch/baseline.hpp"
#include "dispatch/ejection.hpp"
#include "dispatch/forwarding.hpp"
#include "dispatch/hedging.hpp"
#include "dispatch/jobs.hpp"
#include "dispatch/neighbours.hpp"
#include "dispatch/retry.hpp"
#include "dispatch/service_pools.hpp"
#include "dispatch/upstreams.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cassiahub::dispatch
{

namespace internal
{

/// Longest time for which a slot is withheld after a fast failure.
constexpr duration max_withhold_time = std::chrono::seconds(1);

attempt_start make_attempt_start(dispatch_state const & state, job_state const & job,
                                 std::uint32_t task, attempt_id id)
{
    attempt_start start;
    start.m_attempt = id;
    start.m_job = job.m_spec.m_key;
    start.m_task = task;
    start.m_earlier_attempts =
        job.m_tasks[task].m_attempts + job.m_tasks[task].m_declined;
    start.m_kind = job.m_spec.m_kind;
    start.m_service = pool_of(state, job.m_kind).m_service;
    start.m_payload = job.m_spec.m_tasks[task].m_payload;
    start.m_demand = job.m_spec.m_tasks[task].m_demand;
    start.m_token = job.m_token;
    start.m_deadline = job.m_deadline;
    start.m_send_before = job.m_send_before;
    return start;
}

running_attempt make_running_attempt(dispatch_state const & state,
                                     attempt_start const & start, std::uint32_t kind,
                                     time_point now)
{
    running_attempt attempt;
    attempt.m_task = {start.m_job.m_tenant, start.m_job.m_key, start.m_task};
    attempt.m_kind = kind;
    attempt.m_suspected =
        judge_task(state.m_crashes, attempt.m_task.m_tenant, attempt.m_task.m_job,
                   attempt.m_task.m_task) != crash_verdict::unsuspected;
    attempt.m_demand = start.m_demand;
    attempt.m_started = now;
    attempt.m_timeout = std::max(start.m_deadline, now) +
                        state.m_configuration->m_dispatch.m_attempt_timeout_margin;
    return attempt;
}

/// \returns the number of slots whose share of the upstream's resources \p demand uses,
/// at least one. A task that needs a whole upstream leaves no resources for the other
/// slots of that upstream, so it is charged for all of them.
double occupied_slots(config::upstream const & upstream, resources const & demand)
{
    auto const part = [](std::uint32_t wanted, std::uint32_t offered)
    {
        return offered == 0 ? 0.0 : double(wanted) / double(offered);
    };
    double const largest =
        std::max({part(demand.m_millicores, upstream.m_capacity.m_millicores),
                  part(demand.m_memory_mib, upstream.m_capacity.m_memory_mib),
                  part(demand.m_accelerators, upstream.m_capacity.m_accelerators)});
    return std::max(1.0, largest * upstream.m_slots);
}

void charge_attempt(dispatch_state & state, running_attempt & attempt,
                    std::uint32_t tenant)
{
    kind_state const & kind = state.m_kinds[attempt.m_kind];
    attempt.m_charge =
        attempt.m_slots *
        mean_seconds(kind.m_run_time, kind.m_definition.m_expected_run_time);
    // Under the baseline policy tasks do not pass through the fair queue.
    fair_queue & queue = pool_of(state, attempt.m_kind).m_queue;
    if (queue.m_kinds[attempt.m_kind].m_tenants.contains(tenant))
    {
        charge_service(queue, attempt.m_kind, tenant, attempt.m_charge);
    }
}

/// Charges the service to the queue, occupies a slot and emits the start order.
void start_on_upstream(dispatch_state & state, attempt_start start,
                       running_attempt & attempt, std::uint32_t tenant,
                       std::uint32_t upstream_id, effects & out)
{
    upstream_state & upstream = state.m_upstreams[upstream_id];
    attempt.m_upstream = upstream_id;
    attempt.m_slots = occupied_slots(upstream.m_definition, attempt.m_demand);
    charge_attempt(state, attempt, tenant);
    attempt.m_probe = upstream.m_health.m_phase == health_phase::probing;
    upstream.m_health.m_probe_running |= attempt.m_probe;
    occupy_slot(state, upstream_id, attempt);
    begin_run(state, start.m_attempt, attempt);
    start.m_upstream = upstream.m_definition.m_name;
    start.m_upstream_address = upstream.m_definition.m_address;
    out.m_starts.push_back(std::move(start));
}

void register_attempt(dispatch_state & state, attempt_id const & id,
                      running_attempt attempt)
{
    // The deadline timer of a local job covers its attempts until they are cancelled.
    if (attempt.m_job == 0)
    {
        state.m_timers.insert({attempt.m_timeout, timer_kind::attempt_timeout, id});
    }
    state.m_attempts.emplace(id, std::move(attempt));
}

void count_attempt(dispatch_state & state, job_state & job, std::uint32_t task,
                   attempt_role role)
{
    config::dispatch_settings const & settings = state.m_configuration->m_dispatch;
    task_state & entry = job.m_tasks[task];
    if (entry.m_attempts + entry.m_declined == 0)
    {
        ++state.m_counters.m_first_attempts;
        earn(state.m_retry_budget, settings.m_retry_budget_percent,
             settings.m_retry_reserve);
        earn(state.m_hedge_budget, settings.m_hedge_budget_percent, hedge_reserve);
    }
    else
    {
        ++(role == attempt_role::hedge ? state.m_counters.m_hedges
                                       : state.m_counters.m_retries);
    }
    ++entry.m_attempts;
}

void attach_attempt(job_state & job, std::uint32_t task, attempt_id const & id)
{
    auto & running = job.m_tasks[task].m_running;
    BOOST_ASSERT(running[0].m_serial == 0 || running[1].m_serial == 0);
    running[running[0].m_serial == 0 ? 0 : 1] = id;
    ++job.m_running_count;
}

void detach_attempt(job_state & job, std::uint32_t task, attempt_id const & id)
{
    auto & running = job.m_tasks[task].m_running;
    running[running[0] == id ? 0 : 1] = {};
    --job.m_running_count;
}

void start_attempt(dispatch_state & state, job_state & job, std::uint32_t task,
                   attempt_target const & target, attempt_role role, time_point now,
                   effects & out)
{
    attempt_id const id{state.m_incarnation, state.m_next_serial++};
    attempt_start start = make_attempt_start(state, job, task, id);
    running_attempt attempt = make_running_attempt(state, start, job.m_kind, now);
    attempt.m_job = job.m_serial;
    attempt.m_declared_run_time = job.m_spec.m_tasks[task].m_declared_run_time;
    count_attempt(state, job, task, role);
    attach_attempt(job, task, id);
    if (target.m_peer.m_value.empty())
    {
        job.m_tasks[task].m_last_upstream = target.m_upstream;
        start_on_upstream(state, std::move(start), attempt, job.m_tenant,
                          target.m_upstream, out);
    }
    else
    {
        attempt.m_to = target.m_peer;
        start.m_send_before = std::min(
            start.m_send_before, now + state.m_configuration->m_dispatch.m_forward_wait);
        charge_attempt(state, attempt, job.m_tenant);
        forward_attempt(state, target.m_peer, std::move(start), out);
    }
    schedule_hedge(state, job, attempt, id, now);
    register_attempt(state, id, std::move(attempt));
}

void start_forwarded(dispatch_state & state, forwarded_task task, std::uint32_t upstream,
                     time_point now, effects & out)
{
    attempt_id const id = task.m_start.m_attempt;
    running_attempt attempt = make_running_attempt(state, task.m_start, task.m_kind, now);
    attempt.m_from = task.m_from;
    start_on_upstream(state, std::move(task.m_start), attempt, task.m_tenant, upstream,
                      out);
    register_attempt(state, id, std::move(attempt));
}

void cancel_attempt(dispatch_state & state, attempt_id const & id, effects & out)
{
    running_attempt & attempt = state.m_attempts.at(id);
    if (attempt.m_cancelled)
    {
        return;
    }
    attempt.m_cancelled = true;
    state.m_timers.insert({attempt.m_timeout, timer_kind::attempt_timeout, id});
    if (!attempt.m_to.m_value.empty())
    {
        out.m_forward_cancels.push_back({attempt.m_to, id});
    }
    else
    {
        out.m_cancels.push_back(
            {id, state.m_upstreams[attempt.m_upstream].m_definition.m_address});
    }
}

void cancel_attempts_of(dispatch_state & state, job_state & job, std::uint32_t task,
                        effects & out)
{
    for (attempt_id & id : job.m_tasks[task].m_running)
    {
        if (id.m_serial != 0)
        {
            cancel_attempt(state, id, out);
            id = {};
            --job.m_running_count;
        }
    }
}

/// Updates the run time estimate of the kind and the health of the upstream from a
/// finished attempt.
/// \param explained slowdown that the neighbours of the attempt explain.
void update_estimates(dispatch_state & state, running_attempt const & attempt,
                      attempt_outcome outcome, double explained, time_point now)
{
    kind_state & kind = state.m_kinds[attempt.m_kind];
    double const mean =
        mean_seconds(kind.m_run_time, kind.m_definition.m_expected_run_time);
    duration const elapsed = now - attempt.m_started;
    double const seconds = std::chrono::duration<double>(elapsed).count();
    bool const succeeded = outcome == attempt_outcome::succeeded;
    if (succeeded)
    {
        observe_run_time(kind.m_run_time, elapsed, now);
    }
    if (!attempt.m_cancelled || succeeded)
    {
        record_observation(
            state, attempt.m_upstream,
            {succeeded, attempt.m_probe, seconds / std::max(mean, 0.001) / explained},
            now);
    }
    // An upstream that fails fast has free slots sooner and would attract more tasks, so
    // the slot is withheld until a successful run would have ended.
    duration const withhold_time = std::min(
        max_withhold_time,
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(mean)));
    if (!succeeded && !attempt.m_cancelled && elapsed < withhold_time &&
        !is_baseline(state))
    {
        withhold_slot(state, attempt.m_upstream, attempt.m_started + withhold_time);
    }
}

void release_upstream(dispatch_state & state, running_attempt const & attempt,
                      attempt_result const & result, time_point now)
{
    upstream_state & upstream = state.m_upstreams[attempt.m_upstream];
    if (attempt.m_probe)
    {
        upstream.m_health.m_probe_running = false;
    }
    upstream.m_leaving |= result.m_upstream_leaving;
    double const explained = end_run(state, result.m_attempt, attempt,
                                     result.m_outcome == attempt_outcome::succeeded, now);
    update_estimates(state, attempt, result.m_outcome, explained, now);
    double const actual = std::chrono::duration<double>(now - attempt.m_started).count();
    correct_charge(pool_of(state, attempt.m_kind).m_queue, attempt.m_kind,
                   actual * attempt.m_slots - attempt.m_charge);
    vacate_slot(state, attempt.m_upstream, attempt);
}

/// Counts the result of a cancelled attempt. An attempt that was cancelled before it ran
/// wasted no message.
void count_late_result(dispatch_state & state, attempt_outcome outcome)
{
    if (outcome != attempt_outcome::not_run)
    {
        ++state.m_counters.m_late_results;
    }
}

running_attempt remove_attempt(dispatch_state & state, attempt_id const & id)
{
    auto const found = state.m_attempts.find(id);
    running_attempt attempt = std::move(found->second);
    state.m_attempts.erase(found);
    if (attempt.m_job == 0 || attempt.m_cancelled)
    {
        state.m_timers.erase({attempt.m_timeout, timer_kind::attempt_timeout, id});
    }
    return attempt;
}

void complete_task(dispatch_state & state, job_state & job, std::uint32_t task,
                   std::string payload, effects & out)
{
    ++state.m_counters.m_useful_results;
    task_state & entry = job.m_tasks[task];
    entry.m_done = true;
    entry.m_result = std::move(payload);
    job.m_ran = true;
    cancel_attempts_of(state, job, task, out);
    --state.m_tenants[job.m_tenant].m_open_tasks;
    if (++job.m_done_count == job.m_tasks.size())
    {
        finish_job(state, job, complete_answer(job), out);
    }
}

void apply_result_to_job(dispatch_state & state, running_attempt const & attempt,
                         attempt_result result, time_point now, random_source & random,
                         effects & out)
{
    job_state & job = state.m_jobs.at(attempt.m_job);
    std::uint32_t const task = attempt.m_task.m_task;
    detach_attempt(job, task, result.m_attempt);
    if (result.m_outcome == attempt_outcome::succeeded)
    {
        complete_task(state, job, task, std::move(result.m_payload), out);
    }
    else if (result.m_outcome == attempt_outcome::not_run &&
             !attempt.m_to.m_value.empty())
    {
        handle_declined(state, job, task, now, random);
    }
    else
    {
        handle_unsuccessful(state, job, task, result, now, random, out);
    }
}

void time_out_attempt(dispatch_state & state, attempt_id const & id, time_point now,
                      random_source & random, effects & out)
{
    running_attempt const & attempt = state.m_attempts.at(id);
    if (!attempt.m_from.m_value.empty() && !attempt.m_cancelled)
    {
        // The attempt of a local job is cancelled when the job ends.
        cancel_attempt(state, id, out);
    }
    if (attempt.m_upstream != no_upstream && attempt.m_cancelled)
    {
        // The upstream did not reply to the cancellation either. end_attempt() ignores
        // failures of cancelled attempts, so the failure is recorded here.
        record_observation(state, attempt.m_upstream, {false, attempt.m_probe, 1}, now);
    }
    end_attempt(state, {id, attempt_outcome::unknown, "", false}, now, random, out);
}

/// Records the loss of the upstream under an attempt, cancelled or not.
void record_own_loss(dispatch_state & state, running_attempt const & attempt,
                     attempt_result const & result, time_point now, effects & out)
{
    upstream_state const & upstream = state.m_upstreams[attempt.m_upstream];
    bool const leaves_as_planned = upstream.m_leaving || upstream.m_definition.m_draining;
    if (!result.m_upstream_lost || leaves_as_planned)
    {
        return;
    }
    // An upstream that reports no start time may crash several times under one name.
    std::uint64_t const incarnation = result.m_upstream_incarnation != 0
                                          ? result.m_upstream_incarnation
                                          : std::hash<attempt_id>()(result.m_attempt);
    upstream_loss loss{{upstream.m_definition.m_name, incarnation},
                       upstream_fate::unknown,
                       {attempt.m_task},
                       {}};
    record_loss(state.m_crashes, loss, now);
    ++state.m_counters.m_losses;
    out.m_losses.push_back({std::move(loss), attempt.m_from});
}

void end_attempt(dispatch_state & state, attempt_result result, time_point now,
                 random_source & random, effects & out)
{
    running_attempt const attempt = remove_attempt(state, result.m_attempt);
    if (attempt.m_upstream != no_upstream)
    {
        record_own_loss(state, attempt, result, now, out);
        release_upstream(state, attempt, result, now);
    }
    if (!attempt.m_from.m_value.empty())
    {
        record_finished_forwarded(state, result.m_attempt, attempt.m_timeout);
        out.m_forward_results.push_back({attempt.m_from, std::move(result)});
        return;
    }
    if (!attempt.m_to.m_value.empty())
    {
        remove_peer_attempt(state, attempt.m_to, result.m_attempt);
    }
    if (attempt.m_cancelled)
    {
        count_late_result(state, result.m_outcome);
        return;
    }
    apply_result_to_job(state, attempt, std::move(result), now, random, out);
}

} // namespace internal

void finish_attempt(dispatch_state & state, attempt_result result, time_point now,
                    random_source & random, effects & out)
{
    if (!state.m_attempts.contains(result.m_attempt))
    {
        ++state.m_counters.m_duplicate_results;
        return;
    }
    internal::end_attempt(state, std::move(result), now, random, out);
}

} // namespace cassiahub::dispatch
