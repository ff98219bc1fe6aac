#ifndef CASSIAHUB_DECISION_ENTRY_STATE_HPP
#define CASSIAHUB_DECISION_ENTRY_STATE_HPP

#include <cassiahub/decision/event.hpp>
#include <cassiahub/dispatch/state.hpp>
#include <cassiahub/lease/state.hpp>
#include <cassiahub/membership/state.hpp>
#include <cassiahub/ownership/state.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cassiahub::decision
{

/// Identity of an entry instance: from its settings, except for m_incarnation.
struct entry_identity
{
    instance_id m_instance;
    std::string m_domain;            ///< failure domain
    std::string m_peer_address;      ///< "ip:port" for messages of peers
    std::uint64_t m_incarnation = 0; ///< random, distinguishes runs of the process
    /// True when upstreams register themselves and run tasks under leases. Jobs are then
    /// not recorded in the store.
    bool m_leases_upstreams = false;
};

/// Destination of an answer: a local caller, or the instance that forwarded the request.
struct answer_route
{
    caller_id m_caller = 0;
    instance_id m_peer;                ///< empty for a local caller
    peer_request_number m_request = 0; ///< of the forwarded request
    /// True when the request was sent to an instance before and the connection to it was
    /// lost. That instance may have run the job, even if a later answer says "not run".
    bool m_may_have_run = false;
};

/// A job that was accepted and is not answered yet, with the destinations of its answer.
struct open_job
{
    std::string m_kind;
    std::string m_request_id; ///< of the first caller that submitted it, for the log
    time_point m_submitted;
    time_point m_first_start;   ///< zero before the first start
    std::uint32_t m_starts = 0; ///< attempts started
    std::vector<answer_route> m_answer_routes;
    std::uint64_t m_job_hash = 0; ///< detects reuse of the key for a different job
    time_point m_deadline;
    job_spec m_spec;               ///< moved to the dispatcher when the job is queued
    fencing_token m_token;         ///< valid when m_queued
    bool m_queued = false;         ///< passed to the dispatcher
    bool m_started = false;        ///< an attempt was started or forwarded
    std::error_code m_abort_error; ///< set when this instance aborts the job
};

/// A request that was forwarded to another instance and is not answered yet.
struct forwarded_request
{
    answer_route m_route;
    key_operation m_operation = key_operation::submit;
    job_spec m_spec;
    time_point m_deadline;
    instance_id m_to;      ///< receiver; empty: the request must be sent again
    time_point m_retry_at; ///< earliest time to send it again
};

/// Report of a peer that an upstream is draining.
struct drain_report
{
    std::uint64_t m_incarnation = 0; ///< of the upstream
    /// Zero: it has expired.
    time_point m_expires_at;
};

/// Leases on upstreams that register themselves (entry_identity::m_leases_upstreams).
struct leasing_state
{
    lease::lease_state m_sessions;
    /// Configuration as published, without the registered upstreams.
    std::shared_ptr<config::fleet_configuration const> m_base_configuration;
    time_point m_configuration_confirmed_at; ///< configuration_confirmed::m_asked_at
    /// Services that the kinds of work name.
    std::set<std::string, std::less<>> m_services;
    std::map<std::string, discovered_upstream, std::less<>> m_upstreams; ///< by name
    /// Upstreams that drain by the registrations that peers have read, by name.
    std::map<std::string, drain_report, std::less<>> m_drain_reports;
    /// Upstreams whose registration is gone, with the time at which that was seen.
    std::map<std::string, time_point, std::less<>> m_unregistered_since;
    std::vector<std::string> m_owned; ///< upstreams assigned to this instance, sorted
    time_point m_next_assignment;
    /// Last reading of the fleet clock, which is the clock of the store.
    std::int64_t m_fleet_clock_ms = 0;   ///< 0: not known
    time_point m_fleet_clock_at;         ///< local time of m_fleet_clock_ms
    std::uint64_t m_last_generation = 0; ///< generation of the last start of a task
};

/// A peer that has asked for capacity and was not told of any yet.
struct waiting_peer
{
    instance_id m_instance;
    time_point m_until; ///< its tasks have found another place or given up by then
};

/// Requests for capacity of one service, sent and received.
struct capacity_requests
{
    time_point m_next; ///< earliest time of the next request of this instance
    std::deque<waiting_peer> m_waiting;
};

/// Failure domains that an operator has drained, as known to this instance.
struct drain_state
{
    std::set<std::string, std::less<>> m_domains;
    std::uint64_t m_version = 0; ///< of the store that m_domains reflects; 0: not known
    /// Earliest time of the next drained_domains_notice to a peer with an older version.
    std::map<instance_id, time_point> m_next_notice;
    time_point m_confirmed_at; ///< domains_drained::m_asked_at of the last event
    time_point m_resumed_at;   ///< end of the last suspension that may hide a change
};

/// Requests to peers for the document of a newer configuration.
struct configuration_requests
{
    time_point m_next;   ///< earliest time of the next request; zero: none is newer
    instance_id m_asked; ///< peer that was asked last
    std::uint32_t m_doublings = 0; ///< of the time until the next request
};

/// Whole state of the decision thread; no other thread accesses it.
struct entry_state
{
    entry_identity m_identity;
    dispatch::dispatch_state m_dispatch;
    membership::membership_state m_membership;
    ownership::ownership_state m_ownership;
    leasing_state m_leasing;
    time_point m_now; ///< time of the last step

    std::unordered_map<job_key, open_job> m_open_jobs;
    std::unordered_set<caller_id> m_callers; ///< local callers without an answer yet
    /// Deadlines of callers that joined an open job with a later deadline than theirs.
    std::multimap<time_point, std::pair<job_key, caller_id>> m_caller_deadlines;
    std::unordered_map<peer_request_number, forwarded_request> m_forwarded;
    peer_request_number m_next_request = 0;
    bool m_draining = false;
    drain_state m_drains;

    std::string m_document; ///< text of the configuration in force
    configuration_requests m_configuration_requests;
    /// Earliest time of the next configuration_notice to a peer.
    std::map<instance_id, time_point> m_next_configuration_notice;
    std::uint64_t m_last_checked_version = 0; ///< version of the last check_document
    time_point m_last_check_at;
    std::uint64_t m_documents_sent = 0;      ///< configuration notices to peers
    std::uint64_t m_document_bytes_sent = 0; ///< their documents
    std::uint64_t m_documents_received = 0;  ///< configuration notices from peers

    // Derived from the live members; computed again when they change.
    std::vector<std::string> m_upstream_candidates; ///< may own upstreams of the domain
    std::vector<std::string> m_shard_candidates;    ///< may own shards of the domain
    bool m_assignments_valid = false; ///< false: assign again even without a change

    std::set<std::string> m_leaving_upstreams; ///< as in the last instance list
    std::set<std::string> m_listed_upstreams;  ///< in the last instance list

    /// Earliest time of the next summary of interference to each peer.
    std::map<instance_id, time_point> m_next_summary;

    time_point m_next_scan;
    time_point m_next_load_report;
    /// Free slots by service, when reports were last due and in the last heartbeat or
    /// load report to each peer.
    std::map<std::string, std::uint32_t> m_last_reported_slots;
    std::map<instance_id, std::map<std::string, std::uint32_t>> m_reported_slots;
    std::map<std::string, capacity_requests> m_capacity_requests; ///< by service
    std::uint64_t m_capacity_requests_sent = 0;
};

} // namespace cassiahub::decision

#endif
