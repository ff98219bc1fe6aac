#ifndef CASSIAHUB_DISPATCH_STATE_HPP
#define CASSIAHUB_DISPATCH_STATE_HPP

#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/core/job.hpp>
#include <cassiahub/dispatch/attempt.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiahub::dispatch
{

/// Progress of one task of a job.
struct task_state
{
    std::uint32_t m_attempts = 0;
    bool m_done = false;
    std::string m_result;
};

/// A job between admission and its final answer.
struct job_state
{
    job_spec m_spec;
    fencing_token m_token;
    time_point m_deadline;
    time_point m_send_before;
    std::vector<task_state> m_tasks;
    std::size_t m_done_count = 0;
    bool m_started = false;
};

/// A task that waits for a slot.
struct queued_task
{
    job_key m_job;
    std::uint32_t m_task = 0;
};

/// An attempt that was ordered and has not been reported.
struct running_attempt
{
    job_key m_job;
    std::uint32_t m_task = 0;
    std::string m_upstream;
    resources m_demand;
    time_point m_started;
};

/// Slots and worker capacity of an upstream that this instance accounts for.
struct upstream_state
{
    config::upstream m_definition;
    std::uint32_t m_free_slots = 0;
    resources m_free;
    bool m_leaving = false;
};

/// Room that another instance has reported.
struct peer_load
{
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_queued_tasks = 0;
};

/// Another live instance to which tasks may be forwarded.
struct peer_capacity
{
    instance_id m_instance;
    std::string m_domain;
    peer_load m_load;
};

/// A task that another instance has forwarded to this one and that waits for a slot.
struct forwarded_task
{
    instance_id m_from;
    attempt_start m_start;
};

/// Everything that dispatch decisions read and write. Owned by the decision thread.
struct dispatch_state
{
    std::shared_ptr<config::fleet_configuration const> m_configuration;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_next_serial = 1;
    std::unordered_map<job_key, job_state> m_jobs;
    std::unordered_map<attempt_id, running_attempt> m_attempts;
    std::map<std::uint32_t, std::deque<queued_task>> m_queues; ///< by urgency
    std::map<std::string, upstream_state, std::less<>> m_upstreams;
    std::map<instance_id, peer_capacity> m_peers;
    std::deque<forwarded_task> m_forwarded;
    std::uint64_t m_wasted_messages = 0;
};

} // namespace cassiahub::dispatch

#endif
