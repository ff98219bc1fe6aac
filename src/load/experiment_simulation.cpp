#include "load/experiment_simulation.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <utility>

namespace cassiahub::load::internal
{

namespace
{

using namespace std::chrono_literals;

// Latencies of one direction.
constexpr duration client_latency = 3ms; ///< between a caller and an entry instance
constexpr duration other_domain_latency = 1500us;
constexpr duration same_domain_latency = 250us;

constexpr duration load_report_period = 20ms;
constexpr duration tick_period = 20ms;
constexpr duration fast_failure_time = 2ms; ///< run time of a task that fails
constexpr int straggler_factor = 10;        ///< times the usual run time
constexpr double flood_scale = 3.0;         ///< times the capacity of the fleet
constexpr time_point start_time{1000s};

/// Event of the simulation. Simultaneous events run in the order of their serials.
struct scheduled_event
{
    time_point m_at;
    std::uint64_t m_serial = 0;
    std::function<void()> m_action;
};

struct is_later_event
{
    bool operator()(scheduled_event const & left, scheduled_event const & right) const
    {
        return std::tie(left.m_at, left.m_serial) > std::tie(right.m_at, right.m_serial);
    }
};

/// Simulated entry instance.
struct entry_model
{
    instance_id m_instance;
    std::size_t m_domain = 0;
    dispatch::dispatch_state m_state;
    /// From the job key to the index of the record.
    std::map<std::string, std::size_t> m_jobs;
};

/// Simulated upstream.
struct upstream_model
{
    /// The keys are the running attempts; the values are not used.
    std::map<attempt_id, std::uint64_t> m_running;
    bool m_fails_every_task = false;
    bool m_straggles = false; ///< runs every task straggler_factor times as long
};

/// State of one run.
struct simulation
{
    scenario const & m_scenario;
    std::shared_ptr<config::fleet_configuration const> m_fleet;
    random_source m_random;
    time_point m_now = start_time;
    time_point m_end{}; ///< when jobs stop arriving
    std::uint64_t m_next_serial = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, is_later_event>
        m_events{};
    std::vector<entry_model> m_entries{};
    std::vector<upstream_model> m_upstreams{};
    std::vector<generated_job> m_jobs{};
    std::unordered_map<std::string, std::size_t> m_job_index{}; ///< by job key
    /// Number of starts by index of the job and of the task.
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint32_t> m_starts{};
    std::size_t m_unanswered = 0;
    std::uint64_t m_refused = 0; ///< jobs refused at admission
    run_result m_result{};
};

template <typename Function>
void schedule(simulation & sim, duration delay, Function run)
{
    sim.m_events.push({sim.m_now + delay, sim.m_next_serial++, std::move(run)});
}

duration latency_between(simulation const & sim, std::size_t from, std::size_t to)
{
    return sim.m_entries[from].m_domain == sim.m_entries[to].m_domain
               ? same_domain_latency
               : other_domain_latency;
}

std::size_t index_of(instance_id const & instance)
{
    return static_cast<std::size_t>(instance.m_value.back() - '0');
}

void perform_effects(simulation & sim, std::size_t entry, dispatch::effects effects);

/// Lets the dispatcher of an entry instance decide after an event. Performs the effects
/// of the event and of the decisions.
void advance_entry(simulation & sim, std::size_t entry, dispatch::effects effects)
{
    dispatch::advance(sim.m_entries[entry].m_state, sim.m_now, sim.m_random, effects);
    perform_effects(sim, entry, std::move(effects));
}

void record_violation(simulation & sim, std::string const & name)
{
    ++sim.m_result.m_violations[name];
}

bool is_common_cause_failure_active(simulation const & sim)
{
    duration const third = (sim.m_end - start_time) / 3;
    return sim.m_scenario.m_common_cause_failure && sim.m_now >= start_time + third &&
           sim.m_now < start_time + 2 * third;
}

void deliver_result(simulation & sim, std::size_t entry, dispatch::attempt_result result)
{
    schedule(sim, same_domain_latency,
             [&sim, entry, result = std::move(result)]
             {
                 dispatch::effects effects;
                 dispatch::finish_attempt(sim.m_entries[entry].m_state, result, sim.m_now,
                                          sim.m_random, effects);
                 advance_entry(sim, entry, std::move(effects));
             });
}

/// Counts a start. Records a violation when a task that must start at most once starts
/// again.
void count_start(simulation & sim, dispatch::attempt_start const & start)
{
    std::size_t const job = sim.m_job_index.at(start.m_job.m_key);
    std::uint32_t const starts = ++sim.m_starts[{job, start.m_task}];
    if (starts > 1 && !standard_workload()[sim.m_jobs[job].m_kind_index].m_repeatable)
    {
        record_violation(sim, "non_repeatable_started_twice");
    }
}

void run_task(simulation & sim, std::size_t entry, dispatch::attempt_start const & start)
{
    std::size_t const upstream_id = std::stoul(start.m_upstream_address);
    upstream_model & upstream = sim.m_upstreams[upstream_id];
    if (upstream.m_running.size() >= slots_per_upstream)
    {
        record_violation(sim, "upstream_over_committed");
        deliver_result(sim, entry,
                       {start.m_attempt, dispatch::attempt_outcome::not_run, "", false});
        return;
    }
    count_start(sim, start);
    bool const fails = upstream.m_fails_every_task || is_common_cause_failure_active(sim);
    duration run_time =
        sim.m_jobs[sim.m_job_index.at(start.m_job.m_key)].m_run_times[start.m_task];
    run_time = fails ? fast_failure_time : run_time;
    run_time *= upstream.m_straggles ? straggler_factor : 1;
    upstream.m_running.emplace(start.m_attempt, 0);
    auto const outcome =
        fails ? dispatch::attempt_outcome::failed : dispatch::attempt_outcome::succeeded;
    schedule(sim, run_time,
             [&sim, entry, upstream_id,
              result = dispatch::attempt_result{start.m_attempt, outcome, start.m_payload,
                                                false}]
             {
                 if (sim.m_upstreams[upstream_id].m_running.erase(result.m_attempt) > 0)
                 {
                     deliver_result(sim, entry, result);
                 }
             });
}

void stop_task(simulation & sim, std::size_t entry,
               dispatch::attempt_cancel const & cancel)
{
    upstream_model & upstream = sim.m_upstreams[std::stoul(cancel.m_upstream_address)];
    if (upstream.m_running.erase(cancel.m_attempt) > 0)
    {
        deliver_result(sim, entry,
                       {cancel.m_attempt, dispatch::attempt_outcome::failed, "", false});
    }
}

void send_load(simulation & sim, std::size_t from, std::size_t to)
{
    entry_model const & sender = sim.m_entries[from];
    dispatch::peer_capacity const capacity{sender.m_instance,
                                           domain_name(sender.m_domain),
                                           dispatch::current_loads(sender.m_state)};
    schedule(sim, latency_between(sim, from, to),
             [&sim, to, capacity]
             {
                 dispatch::set_peer(sim.m_entries[to].m_state, capacity);
                 advance_entry(sim, to, {});
             });
}

void send_forward(simulation & sim, std::size_t from, dispatch::task_forward forward)
{
    std::size_t const to = index_of(forward.m_to);
    schedule(sim, latency_between(sim, from, to),
             [&sim, from, to, start = std::move(forward.m_start)]
             {
                 dispatch::effects effects;
                 dispatch::accept_forwarded(sim.m_entries[to].m_state,
                                            sim.m_entries[from].m_instance, start,
                                            sim.m_now, effects);
                 advance_entry(sim, to, std::move(effects));
             });
}

void send_forward_cancel(simulation & sim, std::size_t from,
                         dispatch::forward_cancel const & cancel)
{
    std::size_t const to = index_of(cancel.m_to);
    schedule(sim, latency_between(sim, from, to),
             [&sim, to, id = cancel.m_attempt]
             {
                 dispatch::effects effects;
                 dispatch::cancel_forwarded(sim.m_entries[to].m_state, id, sim.m_now,
                                            effects);
                 advance_entry(sim, to, std::move(effects));
             });
}

void send_forward_result(simulation & sim, std::size_t from,
                         dispatch::forward_result result)
{
    std::size_t const to = index_of(result.m_to);
    send_load(sim, from, to);
    schedule(sim, latency_between(sim, from, to),
             [&sim, to, report = std::move(result.m_result)]
             {
                 dispatch::effects effects;
                 dispatch::finish_attempt(sim.m_entries[to].m_state, report, sim.m_now,
                                          sim.m_random, effects);
                 advance_entry(sim, to, std::move(effects));
             });
}

bool is_complete(generated_job const & job, job_answer const & answer)
{
    if (answer.m_results.size() != job.m_spec.m_tasks.size())
    {
        return false;
    }
    for (std::size_t task = 0; task < answer.m_results.size(); ++task)
    {
        if (answer.m_results[task] != job.m_spec.m_tasks[task].m_payload)
        {
            return false;
        }
    }
    return true;
}

void answer_job(simulation & sim, dispatch::job_outcome const & outcome)
{
    std::size_t const index = sim.m_job_index.at(outcome.m_key.m_key);
    generated_job const & job = sim.m_jobs[index];
    --sim.m_unanswered;
    if (outcome.m_answer.m_error)
    {
        if (!outcome.m_answer.m_results.empty())
        {
            record_violation(sim, "partial_answer");
        }
        return;
    }
    if (!is_complete(job, outcome.m_answer))
    {
        record_violation(sim, "partial_answer");
    }
    duration const response = sim.m_now + client_latency - job.m_arrival;
    if (response <= job.m_spec.m_time_limit + 2 * client_latency)
    {
        sim.m_result.m_jobs[index].m_response = response;
    }
}

void perform_effects(simulation & sim, std::size_t entry, dispatch::effects effects)
{
    for (dispatch::attempt_start & start : effects.m_starts)
    {
        schedule(sim, same_domain_latency,
                 [&sim, entry, start = std::move(start)]
                 { run_task(sim, entry, start); });
    }
    for (dispatch::attempt_cancel & cancel : effects.m_cancels)
    {
        schedule(sim, same_domain_latency,
                 [&sim, entry, cancel = std::move(cancel)]
                 { stop_task(sim, entry, cancel); });
    }
    for (dispatch::task_forward & forward : effects.m_forwards)
    {
        send_forward(sim, entry, std::move(forward));
    }
    for (dispatch::forward_cancel const & cancel : effects.m_forward_cancels)
    {
        send_forward_cancel(sim, entry, cancel);
    }
    for (dispatch::forward_result & result : effects.m_forward_results)
    {
        send_forward_result(sim, entry, std::move(result));
    }
    for (dispatch::job_outcome const & outcome : effects.m_finished)
    {
        answer_job(sim, outcome);
    }
}

void submit_job(simulation & sim, std::size_t index)
{
    generated_job const & job = sim.m_jobs[index];
    dispatch::dispatch_state & state = sim.m_entries[job.m_instance].m_state;
    bool const fair = sim.m_scenario.m_settings.m_policy == config::dispatch_policy::fair;
    if (std::error_code const error =
            dispatch::check_admission(state, job.m_spec, sim.m_now);
        error && fair)
    {
        dispatch::record_refusal(state, error);
        ++sim.m_refused;
        --sim.m_unanswered;
        return;
    }
    time_point const deadline = sim.m_now + job.m_spec.m_time_limit;
    dispatch::enqueue_job(state, {job.m_spec, {}, deadline, deadline}, sim.m_now);
    advance_entry(sim, job.m_instance, {});
}

void send_load_periodically(simulation & sim, std::size_t entry)
{
    for (std::size_t to = 0; to < instance_count; ++to)
    {
        if (to != entry)
        {
            send_load(sim, entry, to);
        }
    }
    schedule(sim, load_report_period,
             [&sim, entry] { send_load_periodically(sim, entry); });
}

void tick_periodically(simulation & sim, std::size_t entry)
{
    advance_entry(sim, entry, {});
    schedule(sim, tick_period, [&sim, entry] { tick_periodically(sim, entry); });
}

void make_entry_models(simulation & sim)
{
    sim.m_entries.resize(instance_count);
    for (std::size_t index = 0; index < instance_count; ++index)
    {
        entry_model & entry = sim.m_entries[index];
        entry.m_instance.m_value = "entry-" + std::to_string(index);
        entry.m_domain = index % domain_count;
        entry.m_state.m_domain = domain_name(entry.m_domain);
        entry.m_state.m_incarnation = index + 1;
        dispatch::apply_configuration(entry.m_state, sim.m_fleet, time_point());
    }
}

/// Assigns the upstreams of each domain to the instances of the domain in turn.
void assign_upstreams(simulation & sim)
{
    std::vector<std::vector<std::string>> owned(instance_count);
    for (std::size_t upstream = 0; upstream < upstream_count; ++upstream)
    {
        std::size_t const domain = upstream % domain_count;
        std::size_t const owners =
            (instance_count - domain + domain_count - 1) / domain_count;
        std::size_t const turn = (upstream / domain_count) % owners;
        owned[domain + turn * domain_count].push_back(
            sim.m_fleet->m_upstreams[upstream].m_name);
    }
    for (std::size_t entry = 0; entry < instance_count; ++entry)
    {
        dispatch::set_owned_upstreams(sim.m_entries[entry].m_state, owned[entry]);
    }
}

void make_upstream_models(simulation & sim)
{
    sim.m_upstreams.resize(upstream_count);
    for (std::size_t index = 0;
         index < upstream_count && sim.m_scenario.m_faulty_upstreams; ++index)
    {
        sim.m_upstreams[index].m_fails_every_task = index % 10 == 3;
        sim.m_upstreams[index].m_straggles = index % 20 == 7;
    }
}

void add_jobs(simulation & sim, std::vector<generated_job> jobs, bool flood)
{
    for (generated_job & job : jobs)
    {
        std::size_t const index = sim.m_jobs.size();
        duration const longest =
            *std::max_element(job.m_run_times.begin(), job.m_run_times.end());
        duration const ideal = longest + 2 * (client_latency + same_domain_latency);
        sim.m_result.m_jobs.push_back(
            {job.m_kind_index, flood, job.m_arrival, ideal, std::nullopt});
        sim.m_job_index.emplace(job.m_spec.m_key.m_key, index);
        schedule(sim, job.m_arrival + client_latency - sim.m_now,
                 [&sim, index] { submit_job(sim, index); });
        sim.m_jobs.push_back(std::move(job));
    }
    sim.m_unanswered = sim.m_jobs.size();
}

void add_workload(simulation & sim, std::uint64_t seed)
{
    std::vector<kind_workload> const & loads = standard_workload();
    for (std::size_t load = 0; load < loads.size(); ++load)
    {
        add_jobs(sim,
                 generate_jobs(load, loads[load].m_fleet_fraction, start_time, sim.m_end,
                               seed * 100 + load),
                 false);
    }
    if (sim.m_scenario.m_flooding_kind)
    {
        time_point const from = start_time + (sim.m_end - start_time) / 5;
        add_jobs(sim,
                 generate_jobs(*sim.m_scenario.m_flooding_kind, flood_scale, from,
                               sim.m_end, seed * 100 + 99),
                 true);
    }
}

void check_all_invariants(simulation & sim)
{
    for (entry_model const & entry : sim.m_entries)
    {
        for (std::string_view const fault : dispatch::check_invariants(entry.m_state))
        {
            record_violation(sim, std::string(fault));
        }
    }
}

void collect_counters(simulation & sim)
{
    run_result & result = sim.m_result;
    result.m_wasted_messages = sim.m_refused;
    result.m_wasted_by_cause["refused_jobs"] = sim.m_refused;
    for (entry_model const & entry : sim.m_entries)
    {
        dispatch::dispatch_counters const & counters = entry.m_state.m_counters;
        result.m_useful_results += counters.m_useful_results;
        result.m_wasted_messages += dispatch::wasted_messages(counters);
        result.m_retries += counters.m_retries;
        result.m_hedges += counters.m_hedges;
        result.m_forwards += counters.m_forwards;
        result.m_ejections += counters.m_ejections;
        result.m_wasted_by_cause["refused_results"] += counters.m_refused_results;
        result.m_wasted_by_cause["failed_results"] += counters.m_failed_results;
        result.m_wasted_by_cause["duplicate_results"] += counters.m_duplicate_results;
        result.m_wasted_by_cause["late_results"] += counters.m_late_results;
    }
}

void run_events(simulation & sim, std::uint32_t check_period)
{
    while (sim.m_unanswered > 0)
    {
        scheduled_event const next = sim.m_events.top();
        sim.m_events.pop();
        sim.m_now = next.m_at;
        next.m_action();
        if (++sim.m_result.m_events % check_period == 0)
        {
            check_all_invariants(sim);
        }
    }
    check_all_invariants(sim);
}

} // namespace

run_result run_scenario(scenario const & simulated, std::uint32_t seconds,
                        std::uint64_t seed, std::uint32_t check_period)
{
    config::fleet_configuration fleet = make_fleet();
    fleet.m_dispatch = simulated.m_settings;
    simulation sim{simulated,
                   std::make_shared<config::fleet_configuration>(std::move(fleet)),
                   random_source(seed)};
    sim.m_end = start_time + std::chrono::seconds(seconds);
    make_entry_models(sim);
    assign_upstreams(sim);
    make_upstream_models(sim);
    add_workload(sim, seed);
    for (std::size_t entry = 0; entry < instance_count; ++entry)
    {
        duration const phase = load_report_period * entry / instance_count;
        schedule(sim, phase, [&sim, entry] { send_load_periodically(sim, entry); });
        schedule(sim, phase, [&sim, entry] { tick_periodically(sim, entry); });
    }
    run_events(sim, check_period);
    collect_counters(sim);
    return std::move(sim.m_result);
}

} // namespace cassiahub::load::internal
