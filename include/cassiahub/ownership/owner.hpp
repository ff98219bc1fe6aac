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

// Every function here is pure: it reads and writes only its arguments, and one thread
// at a time may use a state.

/// \returns the domain that is home to a key for which the caller named none.
/// \param domains names of the configured domains, sorted and not empty.
std::string_view home_domain(std::span<std::string const> domains,
                             std::string_view tenant, std::string_view key);

/// \returns a hash of what the job consists of, never 0. Equal submissions are equal.
std::uint64_t hash_job(job_spec const & spec);

/// \returns the shard of \p key among \p shard_count shards of its home domain.
/// \pre \p shard_count > 0
std::uint32_t shard_of(job_key const & key, std::size_t shard_count);

/// Sets the number of shards of the domain and the time for which keys are remembered.
/// The number of shards is fixed for the life of a domain; later changes are ignored.
void configure(ownership_state & state, std::uint32_t shard_count, duration window);

/// Says who is live in the domain and which shards this instance should own.
/// \param peers live members of the domain that are not leaving, without this instance.
/// \param preferred shards that this instance should own, sorted.
void set_surroundings(ownership_state & state, std::vector<instance_id> peers,
                      std::span<std::uint32_t const> preferred, time_point now,
                      effects & out);

/// What the shard's owner knows of a job key.
enum class key_status
{
    not_owner, ///< this instance cannot tell
    not_known, ///< never admitted, or provably not run
    waiting,   ///< admitted, and not finished
    answered   ///< the answer is known
};

struct key_lookup
{
    key_status m_status = key_status::not_owner;
    job_answer m_answer; ///< of an answered key
};

/// Looks \p key up. \param job_hash 0: any job; otherwise a different job of the same key
/// is answered with key_reused.
key_lookup find_key(ownership_state const & state, job_key const & key,
                    std::uint64_t job_hash);

/// A submission that passed the dispatcher's admission.
struct admission_request
{
    job_key m_key;
    std::uint64_t m_job_hash = 0;
    bool m_repeatable = false;
    time_point m_deadline;
};

/// Admits a job; it is later either cleared or refused through the effects.
/// \pre find_key() returned key_status::not_known.
/// \returns the error with which to refuse the job at once, or no error.
std::error_code admit_job(ownership_state & state, admission_request const & request);

/// Notes the final answer to a job. A job that did not run is forgotten, so that it may
/// be submitted again, unless it was cancelled.
void finish_job(ownership_state & state, job_key const & key, job_answer const & answer,
                time_point now);

/// \returns the last time at which an attempt of \p key may be sent, or nothing when no
/// attempt may be started any more.
std::optional<time_point> start_limit(ownership_state const & state, job_key const & key,
                                      fencing_token const & token, time_point now);

enum class store_result
{
    done,
    conflict,
    unavailable
};

struct stored_row
{
    std::string m_name;
    std::uint64_t m_version = 0;
    std::string m_value;
};

/// Takes in the answer to a store_read or store_write.
void receive_store_answer(ownership_state & state, std::uint64_t request,
                          store_result result, std::span<stored_row const> rows,
                          time_point now, effects & out);

/// Keeps keys that another instance has admitted without a record.
/// \param sender_epoch epoch under which the sender holds the shard, 0: not known.
/// \returns true when the notice may be acknowledged. It is not when this instance owns
/// the shard or has seen a later epoch, so that the sender starts nothing more.
bool receive_notice(ownership_state & state, std::uint32_t shard,
                    std::uint64_t sender_epoch, std::span<job_key const> keys,
                    time_point now, effects & out);

/// Takes in the acknowledgement of a notice_order.
void receive_acknowledgement(ownership_state & state, instance_id const & from,
                             std::uint64_t request, effects & out);

/// Tells \p peer, which has just become live, every key that has no record.
void inform_peer(ownership_state & state, instance_id const & peer, effects & out);

/// Must be called before every other change: notices an own suspension. Leases that
/// lapsed meanwhile are not acted on before they are renewed.
void observe_time(ownership_state & state, time_point now);

/// Learns from a heartbeat that another instance owns \p shard under \p epoch.
void observe_holding(ownership_state & state, std::uint32_t shard, std::uint64_t epoch,
                     effects & out);

/// Begins to give up every shard; no new job is admitted.
void begin_drain(ownership_state & state, time_point now);

/// \returns true when no shard is owned any more, or none can be given up because the
/// store is away and every lease has lapsed. For some time it is false while nobody else
/// knows of unrecorded keys.
bool is_released(ownership_state const & state, time_point now) noexcept;

/// \returns true when the store has answered recently.
bool has_store_contact(ownership_state const & state, time_point now) noexcept;

/// Renews, claims and releases leases, writes records, and drops what is too old. Must be
/// called at least every 100 ms.
void advance(ownership_state & state, time_point now, effects & out);

/// \returns the names of the invariants that \p state breaks; empty when it is sound.
std::vector<std::string_view> check_invariants(ownership_state const & state);

} // namespace cassiahub::ownership

#endif
