#ifndef CASSIAHUB_SRC_DECISION_LEASING_HPP
#define CASSIAHUB_SRC_DECISION_LEASING_HPP

#include "decision/context.hpp"

#include <cassiahub/lease/effects.hpp>

namespace cassiahub::decision::internal
{

// Jobs that are not recorded, on upstreams that register themselves and run tasks under
// leases (entry_identity::m_leases_upstreams).

/// Queues a job of a caller, or refuses it as not run.
void submit_unrecorded(step_context & context, answer_route const & route,
                       job_spec & spec, time_point deadline);

/// Handles a request that has a route, or refuses it as of an unknown kind.
void handle_routed(step_context & context, routed_request & request);

/// Logs the end of a job.
void log_end(step_context & context, job_key const & key, open_job const & job,
             job_answer const & result);

/// Orders the run of an attempt on an upstream that this instance owns.
void start_run(step_context & context, dispatch::attempt_start start);

/// Stops the run of an attempt.
void stop_run(step_context & context, attempt_id const & attempt);

/// \returns a number that grows with every start of a task by any instance.
std::uint64_t next_generation(step_context & context);

/// \returns the store's clock now in ms, or 0 when it is not known.
std::int64_t fleet_clock(leasing_state const & leasing, time_point now) noexcept;

void receive_upstreams(step_context & context, upstreams_discovered & discovered);
void receive_clock(step_context & context, std::int64_t milliseconds);
void receive_reply(step_context & context, lease::upstream_reply const & reply);

/// Puts a newer configuration in force; an older one is ignored.
void change_base_configuration(step_context & context, configuration_changed & changed);

/// Shares out the upstreams and advances the sessions.
void advance_leases(step_context & context);

/// Shares out the upstreams with the next event.
void share_upstreams_soon(step_context & context);

} // namespace cassiahub::decision::internal

#endif
