#ifndef CASSIAHUB_DECISION_ENTRY_STATE_HPP
#define CASSIAHUB_DECISION_ENTRY_STATE_HPP

#include <cassiahub/decision/event.hpp>
#include <cassiahub/dispatch/state.hpp>
#include <cassiahub/lease/state.hpp>
#include <cassiahub/membership/state.hpp>
#include <cassiahub/ownership/state.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cassiahub::decision
{

/// What an entry instance knows of itself from its settings.
struct entry_identity
{
    instance_id m_instance;
    std::string m_domain;
    std::string m_peer_address;
    std::uint64_t m_incarnation = 0; ///< drawn at random when the process starts
    /// Upstreams register themselves and run tasks under leases; jobs are not recorded.
    bool m_leases_upstreams = false;
};

/// Where the answer to a job goes: a local caller, or the instance that forwarded it.
struct answer_route
{
    caller_token m_caller = 0;
    instance_id m_peer; ///< empty for a local caller
    peer_request m_request = 0;
    /// The request was sent before to an instance that was lost, so an answer that says
    /// "not run" does not speak for that instance.
    bool m_uncertain = false;
};

/// A job that is being run, with everyone who waits for its answer.
struct open_job
{
    std::string m_kind;
    std::string m_request_id; ///< of the caller that submitted it first
    time_point m_submitted;
    time_point m_first_start; ///< zero before the first start
    std::uint32_t m_starts = 0;
    std::vector<answer_route> m_waiting;
    std::uint64_t m_job_hash = 0;
    time_point m_deadline;
    job_spec m_spec;         ///< until the job is queued in the dispatcher
    fencing_token m_token;   ///< once queued
    bool m_queued = false;   ///< the dispatcher has it
    bool m_started = false;  ///< an attempt was ordered
    std::error_code m_abort; ///< why the instance itself ends the job
};

/// A request that another instance is asked to answer.
struct forwarded_request
{
    answer_route m_route;
    key_operation m_operation = key_operation::submit;
    job_spec m_spec;
    time_point m_deadline;
    instance_id m_to; ///< empty: lost, to be sent again
    time_point m_retry_at;
};

/// Leases on upstreams that register themselves.
struct leasing_state
{
    lease::lease_state m_sessions;
    /// Configuration without upstreams.
    std::shared_ptr<config::fleet_configuration const> m_base;
    std::map<std::string, discovered_upstream, std::less<>> m_upstreams;
    /// Upstreams that are registered no longer, since when.
    std::map<std::string, time_point, std::less<>> m_missing;
    std::vector<std::string> m_owned; ///< that this instance should own, sorted
    time_point m_next_sharing;
    std::int64_t m_fleet_clock_ms = 0; ///< at m_fleet_clock_at; 0: not known
    time_point m_fleet_clock_at;
    std::uint64_t m_last_generation = 0;
};

/// Everything that the decision thread owns.
struct entry_state
{
    entry_identity m_identity;
    dispatch::dispatch_state m_dispatch;
    membership::membership_state m_membership;
    ownership::ownership_state m_ownership;
    leasing_state m_leasing;
    time_point m_now; ///< of the last step

    std::unordered_map<job_key, open_job> m_open_jobs;
    std::unordered_set<caller_token> m_callers; ///< wait for an answer
    /// Callers that joined an open job whose deadline is later than their own.
    std::multimap<time_point, std::pair<job_key, caller_token>> m_early_deadlines;
    std::unordered_map<peer_request, forwarded_request> m_forwarded;
    peer_request m_next_request = 0;
    bool m_draining = false;

    std::string m_document; ///< text of the configuration in force
    std::map<instance_id, time_point> m_next_notice; ///< of the configuration, by peer
    std::uint64_t m_checked_version = 0; ///< newest version given out for checking
    time_point m_checked_at;

    // What follows from the view of the members; computed again when it changes.
    std::vector<std::string> m_accountants; ///< share the upstreams of the domain
    std::vector<std::string> m_claimants;   ///< share the key shards of the domain
    bool m_view_known = false;
    std::set<std::string> m_leaving_upstreams;
    std::set<std::string> m_listed_upstreams;

    time_point m_next_scan;
    time_point m_next_load_report;
    std::uint32_t m_reported_slots = 0;
};

} // namespace cassiahub::decision

#endif
