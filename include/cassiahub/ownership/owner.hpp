#ifndef CASSIAHUB_OWNERSHIP_OWNER_HPP
#define CASSIAHUB_OWNERSHIP_OWNER_HPP

#include <cassiahub/ownership/effects.hpp>
#include <cassiahub/ownership/state.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::ownership
{

// The functions here read and write only their arguments. One thread at a time may use a
// state.

/// \returns the home domain of a key for which the caller named none.
/// \param domains names of the configured domains, sorted and not empty.
std::string_view home_domain(std::span<std::string const> domains,
                             std::string_view tenant, std::string_view key);

/// \returns a hash of the job's kind and tasks, never 0. Equal submissions have equal
/// hashes.
std::uint64_t hash_job(job_spec const & spec);

/// \returns the shard of \p key among \p shard_count shards of its home domain.
/// \pre \p shard_count > 0
std::uint32_t shard_of(job_key const & key, std::size_t shard_count);

/// Sets the number of shards of the domain and the resubmission window: the time for
/// which finished keys are kept. The first call fixes the number of shards; later changes
/// of it are ignored.
void configure(ownership_state & state, std::uint32_t shard_count, duration window);

/// Sets the live peers of the domain and the shards that this instance should own.
/// \param peers live members of the domain that are not leaving, without this instance.
/// \param preferred shards that this instance should own, sorted.
void set_peers_and_preferred_shards(ownership_state & state,
                                    std::vector<instance_id> peers,
                                    std::span<std::uint32_t const> preferred,
                                    time_point now, effects & out);

/// State of a job key as its shard's owner reports it.
enum class key_status
{
    not_owner, ///< this instance does not serve the key's shard
    not_known, ///< never admitted, no longer kept, or certainly not run
    waiting,   ///< admitted, and not finished
    answered   ///< the job has its final answer
};

/// Result of find_key().
struct key_lookup
{
    key_status m_status = key_status::not_owner;
    job_answer m_answer; ///< set when m_status is key_status::answered
};

/// Looks up \p key.
/// \param job_hash hash of the submitted job: when the key belongs to another job, the
/// answer is key_reused. 0 matches any job.
key_lookup find_key(ownership_state const & state, job_key const & key,
                    std::uint64_t job_hash);

/// A submission that has passed the dispatcher's admission control.
struct admission_request
{
    job_key m_key;
    std::uint64_t m_job_hash = 0;
    bool m_repeatable = false;
    time_point m_deadline;
};

/// Admits a job. A later call adds it to effects::m_startable or effects::m_refused.
/// \pre find_key() returned key_status::not_known.
/// \returns the error with which to refuse the job at once, or no error.
std::error_code admit_job(ownership_state & state, admission_request const & request);

/// Stores the final answer to a job. The key of a job that did not run is discarded, so
/// that it can be submitted again, unless the job was cancelled.
void finish_job(ownership_state & state, job_key const & key, job_answer const & answer,
                time_point now);

/// \returns the time until which an attempt of \p key may be sent, or nothing when no
/// attempt may be sent.
std::optional<time_point> send_deadline(ownership_state const & state,
                                        job_key const & key, fencing_token const & token,
                                        time_point now);

/// Result of a store request.
enum class store_result
{
    done,
    conflict,   ///< a row did not have its expected version; nothing was written
    unavailable ///< no usable reply; a write may still take effect
};

/// One row of a reply of the store.
struct stored_row
{
    std::string m_name;
    std::uint64_t m_version = 0;
    std::string m_value;
};

/// Processes the reply to a store_read or store_write.
void receive_store_reply(ownership_state & state, std::uint64_t request,
                         store_result result, std::span<stored_row const> rows,
                         time_point now, effects & out);

/// Stores keys that another instance has admitted without a stored record.
/// \param sender_epoch epoch under which the sender holds the shard; 0: not known.
/// \returns true when the notice may be acknowledged. False when this instance claims or
/// owns the shard or has observed a later epoch: the sender does not start the jobs while
/// the acknowledgement is missing.
bool receive_notice(ownership_state & state, std::uint32_t shard,
                    std::uint64_t sender_epoch, std::span<job_key const> keys,
                    time_point now, effects & out);

/// Processes the acknowledgement of an outgoing_notice.
void receive_acknowledgement(ownership_state & state, instance_id const & from,
                             std::uint64_t request, effects & out);

/// Sends \p peer, which has just become live, every known key without a stored record.
void send_unrecorded_keys(ownership_state & state, instance_id const & peer,
                          effects & out);

/// Detects that this instance was suspended. Leases that expired during the suspension
/// are not used before they are renewed. Must be called before every other change.
void detect_suspension(ownership_state & state, time_point now);

/// Processes the report of a heartbeat that another instance owns \p shard under
/// \p epoch.
void observe_peer_lease(ownership_state & state, std::uint32_t shard, std::uint64_t epoch,
                        effects & out);

/// Starts to release every shard. No new job is admitted.
void begin_drain(ownership_state & state, time_point now);

/// \returns true when every shard is released, or its lease has expired while the store
/// is unavailable. While this instance has unrecorded keys and no live peer, the result
/// stays false for unrecorded_key_wait.
bool is_drain_complete(ownership_state const & state, time_point now) noexcept;

/// \returns true when the store has replied recently.
bool has_store_contact(ownership_state const & state, time_point now) noexcept;

/// Renews, claims and releases leases, writes records, and discards expired records and
/// answers. Must be called at least every 100 ms.
void advance(ownership_state & state, time_point now, effects & out);

/// \returns the names of the invariants that \p state violates; empty when all hold.
std::vector<std::string_view> check_invariants(ownership_state const & state);

} // namespace cassiahub::ownership

#endif
