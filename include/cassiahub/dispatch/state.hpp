#ifndef CASSIAHUB_DISPATCH_STATE_HPP
#define CASSIAHUB_DISPATCH_STATE_HPP

#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/core/job.hpp>
#include <cassiahub/dispatch/attempt.hpp>
#include <cassiahub/dispatch/budget.hpp>
#include <cassiahub/dispatch/counters.hpp>
#include <cassiahub/dispatch/crash_history.hpp>
#include <cassiahub/dispatch/health.hpp>
#include <cassiahub/dispatch/run_time.hpp>
#include <cassiahub/dispatch/service_pool.hpp>
#include <cassiahub/dispatch/timer.hpp>
#include <cassiahub/interference/occupancy.hpp>
#include <cassiahub/interference/state.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cassiahub::dispatch
{

/// Progress of one task of a job.
struct task_state
{
    std::uint32_t m_attempts = 0;
    std::uint32_t m_not_run = 0;  ///< attempts that provably never started
    std::uint32_t m_failures = 0; ///< attempts that ran and failed
    std::uint32_t m_declined = 0; ///< forwards returned as not run; not in m_attempts
    std::uint32_t m_last_upstream = no_upstream;
    /// Running attempts: the primary and a hedge, in any order; a serial of 0 means none.
    std::array<attempt_id, 2> m_running;
    bool m_done = false;
    bool m_hedged = false; ///< a hedge was started
    std::string m_result;
};

/// \returns true while an attempt of \p task runs.
inline bool is_running(task_state const & task) noexcept
{
    return task.m_running[0].m_serial != 0 || task.m_running[1].m_serial != 0;
}

/// A job between admission and its final answer.
struct job_state
{
    job_spec m_spec;
    fencing_token m_token;
    time_point m_deadline;
    time_point m_send_before;
    std::vector<task_state> m_tasks;
    std::size_t m_done_count = 0;
    std::uint64_t m_serial = 0; ///< identifier on this instance, in order of arrival
    std::uint32_t m_kind = 0;
    std::uint32_t m_tenant = 0;
    std::uint32_t m_next_task = 0;       ///< first task that was never started
    std::deque<std::uint32_t> m_retries; ///< tasks that are ready for another attempt
    /// Tasks in a retry delay, each with the end of its delay.
    std::map<std::uint32_t, time_point> m_delayed;
    std::uint32_t m_running_count = 0; ///< running attempts of all tasks
    duration m_expected_run{0}; ///< of the longest task; set if there is an objective
    time_point m_on_time_until; ///< latest start that meets the objective, or zero
    time_point m_late_until;    ///< latest start for an answer that is still useful
    bool m_late = false;        ///< still queued after m_on_time_until
    /// Time since which the next task of the job has found no capacity, or zero.
    time_point m_blocked_since;
    bool m_ran = false;          ///< some attempt is known to have run
    bool m_may_have_run = false; ///< the outcome of some attempt is unknown
};

/// \returns the number of tasks of \p job that are ready to start and not running.
inline std::size_t queued_tasks(job_state const & job) noexcept
{
    return job.m_tasks.size() - job.m_next_task + job.m_retries.size();
}

/// An attempt that was started or forwarded and whose result has not arrived.
struct running_attempt
{
    std::uint64_t m_job = 0; ///< serial; 0 if a peer forwarded the task
    task_identity m_task;
    std::uint32_t m_kind = 0;
    std::uint32_t m_upstream = no_upstream; ///< no_upstream if forwarded to a peer
    instance_id m_to;                       ///< peer to which it was forwarded, or empty
    instance_id m_from; ///< peer that forwarded it to this instance, or empty
    resources m_demand;
    time_point m_started;
    time_point m_timeout;
    /// Time of the current entry of this attempt in dispatch_state::m_hedges. Entries of
    /// it with another time are ignored.
    time_point m_hedge_at;
    double m_charge = 0;             ///< slot-seconds charged to the kind at the start
    double m_slots = 1;              ///< slots whose resources the task uses
    duration m_declared_run_time{0}; ///< of the task; 0: not declared or not known
    bool m_hedge_deferred = false;   ///< the second delay of a straggler has begun
    bool m_probe = false;
    bool m_suspected = false; ///< its upstream takes no other task until it ends
    bool m_cancelled = false; ///< its result is not needed; it still occupies its slot
};

/// A task that the baseline policy has assigned to an upstream, or will assign to one.
struct assigned_task
{
    std::uint64_t m_job = 0; ///< serial
    std::uint32_t m_task = 0;
};

/// Allocation and health of an upstream that this instance owns, or that still runs
/// attempts of this instance. The default value is that of an unused element of
/// dispatch_state::m_upstreams.
struct upstream_state
{
    config::upstream m_definition;
    std::uint32_t m_pool = no_pool; ///< pool of the upstream's service
    std::uint32_t m_running = 0;
    std::uint32_t m_withheld = 0; ///< free slots withheld after a fast failure
    std::uint32_t m_suspects = 0; ///< running attempts of suspected tasks
    resources m_used;             ///< sum of the demands of the running attempts
    bool m_owned = false;
    bool m_leaving = false;        ///< shutting down
    bool m_domain_drained = false; ///< in dispatch_state::m_drained_domains
    std::uint32_t m_fitting = 0;   ///< contribution to service_pool::m_fitting_tasks
    /// Contribution to service_pool::m_total_task_capacity.
    std::uint32_t m_task_capacity = 0;
    bool m_available = true; ///< false while it is unreachable
    upstream_health m_health;
    interference::occupancy m_occupants;  ///< running attempts by kind
    std::deque<assigned_task> m_assigned; ///< baseline policy: in order of their starts
};

/// Load of the upstreams of one service that an instance reports to its peers.
struct peer_load
{
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_queued_tasks = 0;
    /// Maximum over the upstreams of the free processors, memory and accelerators, each
    /// on its own; all zero if not reported.
    resources m_largest_free{};
    std::string m_service{};
};

/// Another live instance to which tasks may be forwarded.
struct peer_capacity
{
    instance_id m_instance;
    std::string m_domain;
    /// Last reported load, by service; a service that is missing has no upstream there.
    std::vector<peer_load> m_loads;
    bool m_accepts_tasks = true; ///< false while it is shutting down
};

/// Load of another live instance and the tasks exchanged with it.
struct peer_state
{
    peer_capacity m_capacity; ///< last report; free slots less tasks forwarded since
    std::set<attempt_id> m_forwarded; ///< attempts that the peer runs for this instance
    std::set<attempt_id> m_accepted;  ///< attempts of the peer that are queued here
    /// Earliest time to forward a task to the peer while it is busy.
    time_point m_next_busy_forward;
};

/// A queued task that another instance forwarded to this one.
struct forwarded_task
{
    instance_id m_from;
    attempt_start m_start;
    std::uint64_t m_serial = 0;
    std::uint32_t m_kind = 0;
    std::uint32_t m_tenant = 0;
};

/// Settings and statistics of one kind.
struct kind_state
{
    config::work_kind m_definition;
    run_time_estimate m_run_time;
    std::size_t m_queued_tasks = 0; ///< of local jobs and received from peers
    std::uint32_t m_pool = 0;       ///< pool of the kind's service
    /// Number of the kind in dispatch_state::m_interference.
    std::uint8_t m_tracked = interference::untracked_kind;
    /// Moving average of the run time divided by the declared one.
    double m_declared_ratio = 1;
};

/// Settings and quota use of one tenant.
struct tenant_state
{
    config::tenant m_definition;
    std::size_t m_open_tasks = 0; ///< unfinished tasks of local jobs
};

/// Complete state of the dispatcher. Owned by the decision thread.
struct dispatch_state
{
    std::shared_ptr<config::fleet_configuration const> m_configuration;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_next_serial = 1;
    /// Failure domain of this instance; if empty, every peer counts as local.
    std::string m_domain;

    std::unordered_map<std::uint64_t, job_state> m_jobs; ///< by job_state::m_serial
    std::unordered_map<job_key, std::uint64_t> m_job_index;
    std::unordered_map<attempt_id, running_attempt> m_attempts;
    timer_set m_timers;
    hedge_queue m_hedges;

    std::vector<kind_state> m_kinds;
    std::unordered_map<std::string, std::uint32_t> m_kind_index;
    std::vector<tenant_state> m_tenants;
    std::unordered_map<std::string, std::uint32_t> m_tenant_index;
    std::size_t m_queued_tasks = 0; ///< total of kind_state::m_queued_tasks

    /// Pools of the services that a kind, an upstream or a peer has named, by index. A
    /// deque, because references to a pool outlive the addition of others.
    std::deque<service_pool> m_pools;
    std::map<std::string, std::uint32_t, std::less<>> m_pool_index; ///< by service

    /// Failure domains whose upstreams get no new attempts.
    std::set<std::string, std::less<>> m_drained_domains;
    /// Queued tasks have to be checked by refuse_stranded().
    bool m_may_be_stranded = false;

    std::vector<upstream_state> m_upstreams;
    std::map<std::string, std::uint32_t, std::less<>> m_upstream_index;
    /// Indexes of the unused elements of m_upstreams.
    std::vector<std::uint32_t> m_free_upstream_indexes;
    std::vector<assigned_task> m_unassigned; ///< baseline policy: without an upstream
    std::map<instance_id, peer_state> m_peers;
    std::unordered_map<attempt_id, forwarded_task> m_forwarded;
    /// Recently finished tasks of peers; duplicate forwards of them are ignored.
    std::unordered_set<attempt_id> m_finished_forwarded;

    /// Losses of upstreams under tasks, here and at other instances.
    crash_history m_crashes;

    /// Kinds that slow each other down on a shared upstream.
    interference::interference_state m_interference;
    std::size_t m_pairs_apart = 0; ///< pairs of m_interference that are kept apart
    time_point m_next_pair_update;

    attempt_budget m_retry_budget;
    attempt_budget m_hedge_budget;
    dispatch_counters m_counters;
};

} // namespace cassiahub::dispatch

#endif
