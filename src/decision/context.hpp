#ifndef CASSIAHUB_SRC_DECISION_CONTEXT_HPP
#define CASSIAHUB_SRC_DECISION_CONTEXT_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/decision/action.hpp>
#include <cassiahub/decision/entry_state.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/ownership/effects.hpp>
#include <cassiahub/ownership/owner.hpp>

#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace cassiahub::decision::internal
{

/// Arguments of step(), passed to every handler.
struct step_context
{
    entry_state & m_state;
    time_point m_now;
    random_source & m_random;
    std::vector<action> & m_actions;
};

/// Time between two scans of all waiting requests and members.
constexpr duration scan_period = std::chrono::milliseconds(20);

/// Delay after which a refused caller may retry: long enough to read and claim a lease
/// row, short enough for urgent work.
constexpr duration refusal_retry_after = std::chrono::seconds(1);

// Jobs of this instance.

/// Sends \p answer to the destination \p route; does nothing if that is a caller whose
/// connection was closed.
void answer(step_context & context, answer_route const & route, job_answer answer);

/// Answers with \p error, "not run" and the delay after which to retry.
void refuse(step_context & context, answer_route const & route, std::error_code error);

/// Handles a request for a key of this domain if this instance owns the key's shard.
/// \returns false when it does not own the shard; \p spec is then unchanged.
bool handle_own_key(step_context & context, answer_route const & route,
                    key_operation operation, job_spec & spec, time_point deadline);

/// Answers callers that joined an open job and whose own deadline, earlier than the
/// job's, has passed.
void expire_callers(step_context & context);

/// Cancels the job of a caller that has disconnected, unless other callers wait for it.
/// Does nothing if jobs are recorded in the store.
void cancel_abandoned_job(step_context & context, caller_id caller);

/// Removes an open job and sends \p result along all of its answer routes.
void close_job(step_context & context, job_key const & key, job_answer const & result);

/// Closes a job that the dispatcher has finished.
void finish_job(step_context & context, dispatch::job_outcome outcome);

/// Aborts an open job on this instance's initiative. A job that was not started is
/// answered as not run with \p error, any other with outcome_unknown.
void abort_job(step_context & context, job_key const & key, std::error_code error);

/// Aborts every open job and forwarded request, so that each caller gets an answer before
/// the process exits.
void abort_all_requests(step_context & context);

/// Converts effects of the dispatcher into actions.
void apply(step_context & context, dispatch::effects effects);

/// Converts effects of shard ownership into actions.
void apply(step_context & context, ownership::effects effects);

// Routing of requests to the owner of their key.

/// Handles a request of a caller, or of a peer if \p route.m_peer is set.
void handle_request(step_context & context, answer_route const & route,
                    key_operation operation, job_spec spec);

/// Handles the answer to a forwarded request.
void receive_answer(step_context & context, instance_id const & from,
                    request_answered answered);

/// Marks every request that was forwarded to \p peer to be sent again.
void mark_requests_for_resend(step_context & context, instance_id const & peer);

/// Resends requests whose peer was lost, and answers requests past their deadline.
void advance_requests(step_context & context);

// Other instances.

/// Sends \p message if \p to is a known member; otherwise drops it.
void send(step_context & context, instance_id const & to, peer_message message);

void receive_heartbeat(step_context & context, instance_id const & from,
                       heartbeat message);
void receive_load_report(step_context & context, instance_id const & from,
                         dispatch::peer_load load);

/// Treats messages in flight to and from \p peer as lost.
void handle_disconnect(step_context & context, instance_id const & peer);

void receive_instance_list(step_context & context, instances_listed const & listed);

/// Applies a newer configuration; any other is ignored.
void change_configuration(step_context & context, configuration_changed & changed);

// Configuration documents of other instances.

/// \returns the version of the configuration in force; 0 when there is none.
std::uint64_t configuration_version(entry_state const & state) noexcept;

/// \returns true when this instance has reached the store recently.
bool has_store_contact(entry_state const & state, time_point now);

/// Compares the version in force with that of \p report, the heartbeat of \p peer. An
/// instance that reaches the store reads a newer configuration there; only when that does
/// not succeed does it ask peers, one at a time, so that the copies of a large document
/// do not fill its link.
void exchange_configuration(step_context & context, instance_id const & peer,
                            membership::member_report const & report);

/// Sends the document to \p from if it is newer than the one that \p from has.
void receive_configuration_request(step_context & context, instance_id const & from,
                                   configuration_request const & request);

/// Lets the next peer with a newer document be asked if \p peer was asked last.
void forget_configuration_request(entry_state & state, instance_id const & peer);

/// Requests the validation of a newer document that a peer has sent.
void receive_configuration(step_context & context, instance_id const & from,
                           configuration_notice & notice);

// Drained failure domains.

/// Applies the domains read from the store unless newer ones are known.
void receive_drained_domains(step_context & context, domains_drained const & drained);

/// Applies the domains told by the peer \p from if they are newer.
void receive_drained_domains(step_context & context, instance_id const & from,
                             drained_domains_notice const & notice);

/// Sends the drained domains to a peer that knows an older version.
void send_drained_domains(step_context & context, instance_id const & peer,
                          membership::member_report const & report);

/// Records a suspension of this process that ends at \p now if it may hide a change of
/// the drained domains.
void detect_missed_drains(entry_state & state, time_point now) noexcept;

/// \returns true while no task may be started because a change of the drained domains may
/// have been missed in a suspension.
bool may_miss_drains(entry_state const & state, time_point now) noexcept;

/// Detects failed members, updates the assignment of upstreams and shards, and sends due
/// heartbeats and load reports.
void advance_peers(step_context & context);

/// Sends a load report to the peers that place tasks here and were told another number of
/// free slots, if it is due.
void send_load_reports(step_context & context);

/// Adds a load report for each peer that an action since \p first_action sends a task or
/// a result to and that was told another number of free slots. It travels with that
/// message.
void append_load_reports(step_context & context, std::size_t first_action);

/// Asks some peers for capacity for each service whose tasks find none, and tells peers
/// that have asked of slots that have become free.
void advance_capacity_requests(step_context & context);

void receive_capacity_request(step_context & context, instance_id const & from,
                              std::string const & service);

// Losses of upstreams under tasks.

/// Logs losses that the dispatcher has recorded and sends them to every live member.
void report_losses(step_context & context, std::span<dispatch::task_loss const> losses);

/// Records the fate of an upstream that this instance leases and sends it to every live
/// member.
void report_fate(step_context & context, dispatch::upstream_loss const & fate);

/// Records that an incarnation of an upstream has crashed, which every member observes.
void observe_crash(step_context & context, dispatch::upstream_identity upstream);

void receive_loss(step_context & context, dispatch::upstream_loss const & loss);

/// Sends all known losses to \p peer, which may have missed some.
void send_known_losses(step_context & context, instance_id const & peer);

/// Logs which upstreams were lost under the tasks of job \p key that may not be started.
void log_forbidden_tasks(step_context & context, job_key const & key);

/// Answers a submission that did not pass dispatch::check_admission().
void refuse_submission(step_context & context, answer_route const & route,
                       job_key const & key, std::error_code error);

// Conversions between messages to the store and the types of ownership.

ownership::stored_row to_stored_row(table_row const & row);
write_store to_action(ownership::store_write write);

} // namespace cassiahub::decision::internal

#endif
