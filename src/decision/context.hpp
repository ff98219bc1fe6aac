#ifndef CASSIAHUB_SRC_DECISION_CONTEXT_HPP
#define CASSIAHUB_SRC_DECISION_CONTEXT_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/decision/action.hpp>
#include <cassiahub/decision/entry_state.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/ownership/effects.hpp>
#include <cassiahub/ownership/owner.hpp>

#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace cassiahub::decision::internal
{

/// Arguments of step() that every handler needs.
struct step_context
{
    entry_state & m_state;
    time_point m_now;
    random_source & m_random;
    std::vector<action> & m_actions;
};

/// Period of the work that looks at every waiting request or member.
constexpr duration scan_period = std::chrono::milliseconds(20);

/// Wait that a refused caller is asked for: long enough for a lease row to be read and
/// claimed, short enough for urgent work.
constexpr duration refusal_retry_after = std::chrono::seconds(1);

// Jobs of this instance.

/// Sends \p answer to whoever waits at \p route. A caller that is gone gets nothing.
void answer(step_context & context, answer_route const & route, job_answer answer);

/// Answers that the request was not run and may be sent again later.
void refuse(step_context & context, answer_route const & route, std::error_code error);

/// Handles a request whose home is this domain and whose shard this instance owns.
/// \returns false when it does not own the shard; \p spec is then unchanged.
bool handle_own_key(step_context & context, answer_route const & route,
                    key_operation operation, job_spec & spec, time_point deadline);

/// Answers callers that joined a job and whose own deadline has passed before the job's.
void expire_callers(step_context & context);

/// Ends the unrecorded job of a caller that has left, unless others wait for it too.
void abandon_unrecorded(step_context & context, caller_token caller);

/// Answers everyone who waits for the job and closes it.
void close_job(step_context & context, job_key const & key, job_answer const & result);

/// Takes in the end of a job in the dispatcher and closes it.
void finish_job(step_context & context, dispatch::job_outcome outcome);

/// Ends an open job for a reason of this instance's own. What was not started is
/// answered as not run with \p error, everything else as outcome_unknown.
void abort_job(step_context & context, job_key const & key, std::error_code error);

/// Ends every job and every request that waits for another instance, so that each caller
/// gets an answer before the process ends.
void end_all_requests(step_context & context);

/// Turns what the dispatcher wants into actions.
void apply(step_context & context, dispatch::effects effects);

/// Turns what ownership wants into actions.
void apply(step_context & context, ownership::effects effects);

// Requests and their way to the owner.

/// Handles a request of a caller, or of a peer (\p route.m_peer is then set).
void handle_request(step_context & context, answer_route const & route,
                    key_operation operation, job_spec spec);

/// Takes in the answer to a request that was forwarded.
void receive_answer(step_context & context, instance_id const & from,
                    request_answered answered);

/// Prepares to send again every request that waits for \p peer.
void recover_requests(step_context & context, instance_id const & peer);

/// Sends lost requests again and ends those past their deadline.
void advance_requests(step_context & context);

// Other instances.

/// Sends \p message when \p to is known.
void send(step_context & context, instance_id const & to, peer_message message);

void receive_heartbeat(step_context & context, instance_id const & from,
                       heartbeat message);
void receive_load(step_context & context, instance_id const & from,
                  dispatch::peer_load load);

/// Gives up what was on its way to or from \p peer.
void lose_connection(step_context & context, instance_id const & peer);

void receive_list(step_context & context, instances_listed const & listed);

/// Puts a newer configuration in force; an older one is ignored.
void change_configuration(step_context & context, configuration_changed & changed);

void receive_configuration(step_context & context, configuration_notice & notice);

/// Detects failed members, sends what is due and shares out upstreams and shards.
void advance_peers(step_context & context);

// Store.

ownership::stored_row to_stored_row(table_row const & row);
write_store to_action(ownership::store_write write);

} // namespace cassiahub::decision::internal

#endif
