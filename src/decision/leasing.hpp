#ifndef CASSIAHUB_SRC_DECISION_LEASING_HPP
#define CASSIAHUB_SRC_DECISION_LEASING_HPP

#include "decision/context.hpp"

#include <cassiahub/lease/effects.hpp>

namespace cassiahub::decision::internal
{

// Jobs without a record in the store, on upstreams that register themselves and run
// tasks under leases (entry_identity::m_leases_upstreams).

/// Queues a job, or refuses it as not run.
void submit_unrecorded(step_context & context, answer_route const & route,
                       job_spec & spec, time_point deadline);

/// Handles a request by the configured route of its path. When no route matches, refuses
/// it with unknown_kind, or with configuration_unconfirmed if the route may be newer than
/// the copy of the configuration.
void handle_routed(step_context & context, routed_request & request);

/// Logs the outcome and the times of a finished job.
void log_job_end(step_context & context, job_key const & key, open_job const & job,
                 job_answer const & result);

/// Starts the run of an attempt on an upstream that this instance owns.
void start_run(step_context & context, dispatch::attempt_start start);

/// Stops the run of an attempt.
void stop_run(step_context & context, attempt_id const & attempt);

/// \returns the generation of the next start of a task. Follows the store's clock, so
/// that it increases across all instances.
std::uint64_t next_generation(step_context & context);

/// \returns the store's clock at \p now in ms, or 0 when it is not known.
std::int64_t fleet_clock(leasing_state const & leasing, time_point now) noexcept;

/// Performs the effects of the lease sessions.
void apply(step_context & context, lease::effects effects);

/// \returns true when a kind of work may run on upstreams of \p service. An entry of
/// another writer may name any service.
bool is_used_service(leasing_state const & leasing, std::string_view service);

/// Removes upstreams whose registration has been gone for unregistered_grace_period.
void remove_unregistered_upstreams(step_context & context);

void receive_upstreams(step_context & context, upstreams_discovered & discovered);

/// Applies the base configuration extended by the registered upstreams.
void compose_configuration(step_context & context);

// Draining upstreams that peers report: they may have read a registration that has not
// reached this instance yet.

/// \returns the upstreams held by \p peer that drain by the registrations that this
/// instance has read.
std::vector<dispatch::upstream_identity>
find_draining_upstreams(entry_state const & state, instance_id const & peer);

/// Stops starts on \p upstreams until their own registrations say that they drain, or
/// until the reports expire.
void receive_draining_upstreams(step_context & context, instance_id const & from,
                                std::span<dispatch::upstream_identity const> upstreams);

/// Ends the effect of reports that were not repeated.
void expire_drain_reports(step_context & context);

/// \returns true while a report about the registered incarnation of \p upstream counts.
bool is_reported_draining(step_context const & context,
                          discovered_upstream const & upstream);

/// \returns true when the registered incarnation of \p upstream was ever reported: its
/// end is then no crash.
bool was_reported_draining(leasing_state const & leasing,
                           discovered_upstream const & upstream);
void receive_clock(step_context & context, std::int64_t milliseconds);
void receive_reply(step_context & context, lease::upstream_reply const & reply);

/// Applies a newer base configuration; any other is ignored.
void change_base_configuration(step_context & context, configuration_changed & changed);

/// Assigns the upstreams to instances when that is due, and advances the lease sessions.
void advance_leases(step_context & context);

/// Makes the next event assign the upstreams.
void schedule_upstream_assignment(step_context & context);

} // namespace cassiahub::decision::internal

#endif
