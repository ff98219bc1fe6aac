#ifndef CASSIAHUB_DISPATCH_STATE_HPP
#define CASSIAHUB_DISPATCH_STATE_HPP

#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/core/job.hpp>
#include <cassiahub/dispatch/attempt.hpp>
#include <cassiahub/dispatch/budget.hpp>
#include <cassiahub/dispatch/capacity_index.hpp>
#include <cassiahub/dispatch/counters.hpp>
#include <cassiahub/dispatch/fair_queue.hpp>
#include <cassiahub/dispatch/health.hpp>
#include <cassiahub/dispatch/run_time.hpp>
#include <cassiahub/dispatch/timer.hpp>

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

/// Index of an upstream that is none.
constexpr std::uint32_t no_upstream = 0xffff'ffff;

/// Progress of one task of a job.
struct task_state
{
    std::uint32_t m_attempts = 0;
    std::uint32_t m_not_run = 0;  ///< attempts that provably never started
    std::uint32_t m_failures = 0; ///< attempts that ran and failed
    std::uint32_t m_declined = 0; ///< forwards that came back not run; no attempts
    std::uint32_t m_last_upstream = no_upstream;
    /// Running attempts, the hedge among them; a serial of 0 means none.
    std::array<attempt_id, 2> m_running;
    bool m_done = false;
    bool m_hedged = false;
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
    std::uint64_t m_serial = 0; ///< order of arrival
    std::uint32_t m_kind = 0;
    std::uint32_t m_tenant = 0;
    std::uint32_t m_next_task = 0;       ///< first task that was never started
    std::deque<std::uint32_t> m_retries; ///< tasks that are ready for another attempt
    std::map<std::uint32_t, time_point> m_delayed; ///< tasks that wait before another
    std::uint32_t m_running_count = 0;             ///< running attempts of every task
    time_point m_on_time_until;  ///< last start for an answer on time, or zero
    time_point m_late_until;     ///< last start for an answer that is still of use
    bool m_late = false;         ///< waits although m_on_time_until has passed
    time_point m_blocked_since;  ///< when its next task first found no room, or zero
    bool m_ran = false;          ///< some attempt is known to have run
    bool m_may_have_run = false; ///< the outcome of some attempt is unknown
};

/// \returns the number of tasks of \p job that wait for a slot.
inline std::size_t waiting_tasks(job_state const & job) noexcept
{
    return job.m_tasks.size() - job.m_next_task + job.m_retries.size();
}

/// An attempt that was ordered and has not been reported.
struct running_attempt
{
    std::uint64_t m_job = 0; ///< serial; 0 when a peer has forwarded the task
    std::uint32_t m_task = 0;
    std::uint32_t m_kind = 0;
    std::uint32_t m_upstream = no_upstream; ///< none when it was forwarded
    instance_id m_to;                       ///< peer that it was forwarded to, or empty
    instance_id m_from;                     ///< peer that has forwarded it, or empty
    resources m_demand;
    time_point m_started;
    time_point m_timeout;
    time_point m_hedge_at; ///< time of the valid entry in m_hedges
    double m_charge = 0;   ///< slot-seconds charged to the kind
    double m_slots = 1;    ///< slots whose resources the task takes
    bool m_hedge_deferred = false;
    bool m_probe = false;
    bool m_cancelled = false; ///< nobody waits for its result; it keeps its slot
};

/// Slots and worker capacity of an upstream that this instance accounts for.
struct upstream_state
{
    config::upstream m_definition;
    std::uint32_t m_running = 0;
    std::uint32_t m_held = 0; ///< free slots that are not offered after a fast failure
    resources m_used;
    bool m_owned = true;
    bool m_leaving = false;
    std::uint32_t m_fitting = 0; ///< part of m_fitting_tasks
    std::uint32_t m_whole = 0;   ///< part of m_whole_tasks
    bool m_available = true;     ///< false while it does not reply
    upstream_health m_health;
    std::deque<std::pair<std::uint64_t, std::uint32_t>>
        m_bound; ///< baseline: (job, task)
};

/// An upstream that is kept for one job whose next task needs much room.
struct reservation
{
    std::uint64_t m_job = 0; ///< serial; 0 when nothing is reserved
    std::uint32_t m_upstream = no_upstream;
    resources m_demand;
};

/// Room that another instance has reported.
struct peer_load
{
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_queued_tasks = 0;
    /// Largest free processors, memory and accelerators, each the maximum over the
    /// upstreams; all zero when the report does not say.
    resources m_largest_free{};
};

/// Another live instance to which tasks may be forwarded.
struct peer_capacity
{
    instance_id m_instance;
    std::string m_domain;
    peer_load m_load;
    bool m_takes_work = true; ///< false while it stops
};

/// What is known of another live instance.
struct peer_state
{
    peer_capacity m_capacity;         ///< free slots less what was forwarded since
    std::set<attempt_id> m_forwarded; ///< attempts that the peer runs for this instance
    std::set<attempt_id> m_accepted;  ///< attempts of the peer that wait here
    time_point m_next_spill;          ///< see pick_busy_peer()
};

/// A task that another instance has forwarded to this one and that waits for a slot.
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
    std::size_t m_queued_tasks = 0; ///< local and forwarded tasks that wait
};

/// Demand of the tasks that arrive, averaged.
struct typical_demand
{
    double m_millicores = 0;
    double m_memory_mib = 0;
    double m_accelerators = 0;
    double m_counted_millicores = 0; ///< with which the room was counted last
};

/// Settings and use of one tenant.
struct tenant_state
{
    config::tenant m_definition;
    std::size_t m_open_tasks = 0; ///< tasks of local jobs that are not done
};

/// Everything that dispatch decisions read and write. Owned by the decision thread.
struct dispatch_state
{
    std::shared_ptr<config::fleet_configuration const> m_configuration;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_next_serial = 1;
    /// Failure domain of this instance; empty: every peer counts as local.
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
    fair_queue m_queue;
    std::size_t m_queued_tasks = 0;

    std::vector<upstream_state> m_upstreams;
    std::map<std::string, std::uint32_t, std::less<>> m_upstream_index;
    std::vector<std::uint32_t> m_unused_upstreams;
    capacity_index m_room;
    capacity_index m_whole_room; ///< room that usable upstreams would have when empty
    reservation m_reservation;
    typical_demand m_typical_demand;
    std::uint32_t m_fitting_tasks = 0; ///< of typical demand that fit into m_room
    std::uint32_t m_whole_tasks = 0; ///< that would fit into usable upstreams when empty
    std::set<std::uint64_t> m_late_jobs; ///< serials of jobs with m_late
    std::uint32_t m_offered_slots = 0;   ///< sum of the slots in m_room
    std::uint32_t m_owned_slots = 0;
    std::uint32_t m_owned_count = 0;
    std::uint32_t m_ejected_count = 0;       ///< ejected or probing
    std::set<std::uint32_t> m_probe_targets; ///< probing upstreams without an attempt
    result_window m_all_results;
    std::vector<resources> m_largest_capacities; ///< no other capacity exceeds them

    std::map<instance_id, peer_state> m_peers;
    /// Peers with free slots: (other domain, hash of the instance, instance).
    std::set<std::tuple<bool, std::size_t, instance_id>> m_peer_order;
    std::unordered_map<attempt_id, forwarded_task> m_forwarded;
    std::unordered_set<attempt_id> m_finished_forwarded;

    attempt_budget m_retry_budget;
    attempt_budget m_hedge_budget;
    dispatch_counters m_counters;
};

} // namespace cassiahub::dispatch

#endif
