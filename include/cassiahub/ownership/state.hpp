#ifndef CASSIAHUB_OWNERSHIP_STATE_HPP
#define CASSIAHUB_OWNERSHIP_STATE_HPP

#include <cassiahub/core/job.hpp>
#include <cassiahub/ownership/table_rows.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiahub::ownership
{

/// Length of a shard lease.
constexpr duration lease_time = std::chrono::seconds(6);
/// A renewal is due this long after the last committed renewal was sent.
constexpr duration renewal_period = std::chrono::seconds(2);
/// Bound on the rate error of CLOCK_BOOTTIME between two instances.
constexpr int clock_rate_error_percent = 1;
/// The holder stops using a lease this long before another instance may consider it
/// expired.
constexpr duration expiry_margin = std::chrono::milliseconds(500);
/// Time between two reads of the domain's lease rows.
constexpr duration lease_read_period = std::chrono::seconds(1);
/// Time between two reads while the store does not reply.
constexpr duration store_probe_period = std::chrono::milliseconds(250);
/// Minimum time between two writes to the store.
constexpr duration shortest_write_interval = std::chrono::milliseconds(10);
/// Time in which one write token accrues: 20 writes a second per instance on average.
/// Nine instances stay below the several hundred writes a second that the platform
/// offers to all its clients.
constexpr duration write_token_period = std::chrono::milliseconds(50);
/// Credit of the write token bucket: after an idle time, this many tokens may be spent
/// at the shortest write interval.
constexpr duration write_burst = 10 * write_token_period;
/// Maximum number of record rows in one write.
constexpr std::size_t max_rows_per_write = 1024;
/// Age of a write in flight after which repeatable jobs may start once other instances
/// have acknowledged their keys, without waiting for the write.
constexpr duration slow_write_threshold = std::chrono::seconds(1);
/// Age at which a store request without a reply counts as failed.
constexpr duration store_request_timeout = std::chrono::seconds(10);
/// Time between two transmissions of a notice that is not acknowledged.
constexpr duration notice_resend_period = std::chrono::milliseconds(500);
/// Time limit for sending an attempt of a repeatable job whose lease has expired and
/// cannot be renewed.
constexpr duration unrecorded_send_limit = std::chrono::seconds(1);
/// Time after which a shard that another member should own is released, provided that it
/// has no open job. With shorter times, shards would move back and forth while members
/// join and leave.
constexpr duration handover_delay = std::chrono::seconds(5);
/// Time after which a shard that another member should own admits no new job, so that
/// its open jobs drain.
constexpr duration forced_handover_delay = std::chrono::seconds(15);
/// Time for which a draining instance without live peers waits for the store or a peer
/// before it discards unrecorded keys. The platform's stop timeout is longer.
constexpr duration unrecorded_key_wait = std::chrono::seconds(10);
/// Bytes of complete answers that are cached for resubmitted jobs.
constexpr std::size_t answer_memory_limit = std::size_t(64) << 20;
/// Gap between two calls that shows that this instance was suspended. Lease rows observed
/// before the gap then have to be observed again.
constexpr duration suspension_gap = std::chrono::milliseconds(500);

/// State of one job key in its shard.
enum class record_phase
{
    pending,          ///< waits for a committed write or an acknowledged notice
    admitted,         ///< may start in this epoch
    finished,         ///< has its final answer
    earlier_admitted, ///< admitted under an earlier epoch and not known to be finished
    obsolete          ///< not run, or past the resubmission window: delete the row
};

/// The owner's entry for one job key.
struct record
{
    record_phase m_phase = record_phase::pending;
    std::uint64_t m_job_hash = 0; ///< 0: not known
    std::uint64_t m_epoch = 0;
    bool m_repeatable = false;
    time_point m_deadline;
    time_point m_window_start;    ///< start of the resubmission window
    std::uint32_t m_revision = 0; ///< counts changes of the row's value
    bool m_dirty = false;         ///< the stored row may differ; see shard_state::m_dirty
    bool m_row_may_exist = false; ///< a write that contains the row was sent
    bool m_announced = false;     ///< the key was sent to other instances
    int m_error = 0;              ///< error code of a finished job
    run_state m_ran = run_state::unknown;
    bool m_answer_cached = false; ///< m_answer holds the complete answer
    job_answer m_answer;
};

/// Progress of this instance in owning a shard.
enum class shard_phase
{
    idle,     ///< not owned
    claiming, ///< a claim is in flight, or its outcome is unknown
    loading,  ///< owned; the records of earlier owners are being read
    serving   ///< owned; the records are loaded
};

/// One key shard of the domain of this instance.
struct shard_state
{
    shard_phase m_phase = shard_phase::idle;

    // The lease row as last read or written.
    std::uint64_t m_row_version = 0; ///< 0: no row
    lease_value m_lease;
    bool m_observed = false; ///< read since the last store outage or suspension
    /// Time at which m_row_version was first read since the last store outage or
    /// suspension.
    time_point m_unchanged_since;

    // Meaningful only while the shard is owned.
    std::uint64_t m_epoch = 0;
    time_point m_valid_until; ///< end of the lease for its holder, less expiry_margin
    time_point m_renewed_at;  ///< when the last committed renewal was sent
    /// The lease expired before its last renewal was confirmed, or while this instance
    /// was suspended, so another instance may have owned the shard meanwhile. No job
    /// starts before the lease is renewed.
    bool m_unconfirmed = false;
    bool m_releasing = false; ///< admits no new job
    /// Earliest release. Before then a peer, for instance one that was suspended, may
    /// still send attempts of a failed job. A released shard may be claimed at once, so
    /// an earlier release would let a new owner start the shard's jobs while those
    /// attempts may still arrive.
    time_point m_release_not_before;
    bool m_release_sent = false; ///< a release was sent and no later write has committed
    std::uint64_t m_load_request = 0; ///< read of the records in flight; 0: none
    time_point m_load_sent_at;
    std::unordered_map<job_key, record> m_records;
    std::vector<job_key> m_dirty;   ///< keys of dirty records, in order of change
    std::vector<job_key> m_pending; ///< may contain keys that are no longer pending
    std::size_t m_open_count = 0;   ///< records that are pending or admitted
    /// Start of the resubmission window of each key, oldest first.
    std::deque<std::pair<time_point, job_key>> m_expiry;

    // Desired assignment.
    bool m_preferred = false;       ///< this instance should own the shard
    time_point m_unpreferred_since; ///< when m_preferred last became false
};

/// What a write does to the lease rows of its shards.
enum class write_purpose
{
    claim,   ///< takes unowned shards
    release, ///< releases one owned shard
    record   ///< renews leases and writes records
};

/// One shard of a write and the records of the shard that the write contains.
struct write_part
{
    std::uint32_t m_shard = 0;
    std::uint64_t m_epoch = 0;
    /// Key and revision of each record.
    std::vector<std::pair<job_key, std::uint32_t>> m_records;
};

/// The one write that may be in flight.
struct pending_write
{
    std::uint64_t m_request = 0;
    write_purpose m_purpose = write_purpose::record;
    time_point m_sent_at;
    std::vector<write_part> m_parts;
};

/// A notice in flight: keys that are sent to other instances because the store does not
/// record them in time.
struct pending_notice
{
    std::uint32_t m_shard = 0;
    std::uint64_t m_epoch = 0;
    std::vector<job_key> m_keys;
    /// Live peers that have not acknowledged the notice. It is complete when none is
    /// left.
    std::set<instance_id> m_unacknowledged;
    /// True when at least one peer has acknowledged the notice. Decides on completion
    /// whether its jobs may start or are refused.
    bool m_acknowledged = false;
    time_point m_sent_at;
};

/// A key that another instance has admitted without a record.
struct announced_key
{
    std::uint32_t m_shard = 0;
    time_point m_received_at;
};

/// State of the ownership module. Used by the decision thread only.
struct ownership_state
{
    instance_id m_self;
    std::uint64_t m_incarnation = 0;
    std::string m_domain;
    duration m_resubmission_window = std::chrono::minutes(10);
    std::vector<shard_state> m_shards;
    std::vector<instance_id> m_peers; ///< live members of the domain, not leaving
    bool m_draining = false;
    time_point m_drain_began;

    // Requests to the store.
    std::uint64_t m_next_request = 1;
    std::optional<pending_write> m_write;
    std::uint64_t m_lease_request = 0; ///< read of the lease rows in flight; 0: none
    time_point m_lease_sent_at;
    time_point m_next_lease_read;
    bool m_read_needed = true; ///< writes wait until the lease rows are read
    bool m_store_down = false; ///< the last reply was store_result::unavailable
    time_point m_last_contact; ///< last reply other than store_result::unavailable
    time_point m_last_write;
    time_point m_next_write_token; ///< token bucket, kept as the theoretical arrival time
    time_point m_next_scan;
    time_point m_last_call;

    std::unordered_map<std::uint64_t, pending_notice> m_notices; ///< by request number
    /// Keys received in notices of other owners.
    std::unordered_map<job_key, announced_key> m_announced_keys;
    std::deque<std::pair<time_point, job_key>> m_announced_key_expiry;

    std::size_t m_answer_bytes = 0; ///< total size of the cached answers
    /// Keys of the cached answers with the size of each answer in bytes, oldest first.
    std::deque<std::pair<job_key, std::size_t>> m_answers;
};

} // namespace cassiahub::ownership

#endif
