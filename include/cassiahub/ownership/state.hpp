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

constexpr duration lease_time = std::chrono::seconds(6);
constexpr duration renewal_period = std::chrono::seconds(2);
/// Bound on the rate error of CLOCK_BOOTTIME between two instances.
constexpr int clock_rate_error_percent = 1;
/// The holder stops acting this long before its lease could end for others.
constexpr duration expiry_margin = std::chrono::milliseconds(500);
/// Time between two reads of the domain's lease rows.
constexpr duration lease_read_period = std::chrono::seconds(1);
/// Time between two reads while the store does not answer.
constexpr duration store_probe_period = std::chrono::milliseconds(250);
constexpr duration shortest_write_interval = std::chrono::milliseconds(10);
/// Writes per second of one instance in the long run. Nine instances stay below the
/// several hundred writes a second that the platform offers to everyone.
constexpr duration write_token_period = std::chrono::milliseconds(50);
/// Writes that may follow each other at the shortest interval after a quiet time.
constexpr duration write_burst = 10 * write_token_period;
constexpr std::size_t max_rows_per_write = 1024;
/// Age of a write in flight from which repeatable jobs no longer wait for it.
constexpr duration slow_write = std::chrono::seconds(1);
/// Age from which a store request without an answer counts as failed.
constexpr duration store_request_timeout = std::chrono::seconds(10);
constexpr duration notice_resend_period = std::chrono::milliseconds(500);
/// Length of a start that is allowed while the lease cannot be renewed.
constexpr duration unrecorded_start_time = std::chrono::seconds(1);
/// Time after which a shard that another member should own is given up when it has no
/// open job. Shorter times move shards back and forth while members come and go.
constexpr duration handover_delay = std::chrono::seconds(5);
/// Time after which such a shard takes no new job, so that it becomes free of open jobs.
constexpr duration handover_limit = std::chrono::seconds(15);
/// Time for which a planned stop waits for the store or for another instance when it is
/// the only one that knows of unrecorded keys. The platform's stop timeout is longer.
constexpr duration unrecorded_key_wait = std::chrono::seconds(10);
/// Results kept in memory for resubmissions.
constexpr std::size_t answer_memory_limit = std::size_t(64) << 20;
/// Gap between two calls after which this instance was suspended; what it saw of the
/// lease rows before is then not counted.
constexpr duration suspension_gap = std::chrono::milliseconds(500);

/// Progress of one job key in its shard.
enum class record_phase
{
    pending,          ///< waits for a committed write or for acknowledged notices
    admitted,         ///< cleared to start in this epoch
    finished,         ///< has its final answer
    earlier_admitted, ///< admitted under an earlier epoch and not known to be finished
    obsolete          ///< not run, or older than the window: the row is to be deleted
};

/// What the owner knows of one job key.
struct record
{
    record_phase m_phase = record_phase::pending;
    std::uint64_t m_job_hash = 0; ///< 0: not known
    std::uint64_t m_epoch = 0;
    bool m_repeatable = false;
    time_point m_deadline;
    time_point m_settled_at;      ///< start of the resubmission window
    std::uint32_t m_revision = 0; ///< counts changes of the row's value
    bool m_dirty = false;         ///< the row may differ; listed in m_dirty of the shard
    bool m_row_possible = false;  ///< a write that contains the row was sent
    bool m_noticed = false;       ///< other instances were told of the key
    int m_error = 0;              ///< of a finished job
    run_state m_ran = run_state::unknown;
    bool m_has_answer = false; ///< the whole answer is still in memory
    job_answer m_answer;
};

enum class shard_phase
{
    idle,     ///< not owned
    claiming, ///< a claim is in flight, or its fate is not known
    loading,  ///< owned; the records of earlier owners are being read
    serving   ///< owned, records known
};

/// One key shard of the instance's own domain.
struct shard_state
{
    shard_phase m_phase = shard_phase::idle;

    // The lease row as last seen or written.
    std::uint64_t m_row_version = 0; ///< 0: no row
    lease_value m_lease;
    bool m_observed = false;
    time_point m_unchanged_since;

    // While owned.
    std::uint64_t m_epoch = 0;
    time_point m_valid_until; ///< own limit, margin included
    time_point m_renewed_at;
    /// The lease lapsed while this instance was suspended, so another one may have owned
    /// the shard meanwhile. Nothing starts before the lease is renewed.
    bool m_unconfirmed = false;
    bool m_releasing = false; ///< takes no new job
    /// Until then attempts of a job that failed may still be sent, for instance by a peer
    /// that was suspended; the next owner could claim a released shard before.
    time_point m_quiet_after;
    bool m_release_sent = false; ///< a release was sent and no later write committed
    std::uint64_t m_load_request = 0;
    time_point m_load_sent_at;
    std::unordered_map<job_key, record> m_records;
    std::vector<job_key> m_dirty;   ///< in order of change
    std::vector<job_key> m_pending; ///< may contain keys that are not pending any more
    std::size_t m_open_count = 0;   ///< records that are pending or admitted
    std::deque<std::pair<time_point, job_key>> m_expiry;

    // Wishes of the surroundings.
    bool m_preferred = false; ///< this instance should own the shard
    time_point m_unpreferred_since;
};

enum class write_purpose
{
    claim,
    release,
    record
};

/// A shard in a write, with the records that the write contains.
struct write_part
{
    std::uint32_t m_shard = 0;
    std::uint64_t m_epoch = 0;
    std::vector<std::pair<job_key, std::uint32_t>> m_records; ///< with their revisions
};

/// The one write that may be in flight.
struct pending_write
{
    std::uint64_t m_request = 0;
    write_purpose m_purpose = write_purpose::record;
    time_point m_sent_at;
    std::vector<write_part> m_parts;
};

/// Keys that were sent to other instances because the store cannot record them.
struct pending_notice
{
    std::uint32_t m_shard = 0;
    std::uint64_t m_epoch = 0;
    std::vector<job_key> m_keys;
    std::set<instance_id> m_waiting;
    bool m_acknowledged = false; ///< by at least one instance
    time_point m_sent_at;
};

/// A key that another instance has admitted without a record.
struct noticed_key
{
    std::uint32_t m_shard = 0;
    time_point m_received_at;
};

/// Everything that ownership decisions read and write. Owned by the decision thread.
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

    // Store exchange.
    std::uint64_t m_next_request = 1;
    std::optional<pending_write> m_write;
    std::uint64_t m_lease_request = 0; ///< read of the lease rows in flight; 0: none
    time_point m_lease_sent_at;
    time_point m_next_lease_read;
    bool m_read_needed = true; ///< no write before the lease rows were read
    bool m_store_down = false; ///< the last answer was store_outcome::unavailable
    time_point m_last_contact;
    time_point m_last_write;
    time_point m_next_write_token; ///< token bucket as a theoretical arrival time
    time_point m_next_scan;
    time_point m_last_call;

    std::unordered_map<std::uint64_t, pending_notice> m_notices; ///< by request
    std::unordered_map<job_key, noticed_key> m_noticed;
    std::deque<std::pair<time_point, job_key>> m_noticed_expiry;

    std::size_t m_answer_bytes = 0;
    std::deque<std::pair<job_key, std::size_t>> m_answers; ///< oldest first
};

} // namespace cassiahub::ownership

#endif
