#ifndef CASSIAHUB_SRC_OWNERSHIP_SHARD_RECORDS_HPP
#define CASSIAHUB_SRC_OWNERSHIP_SHARD_RECORDS_HPP

#include <cassiahub/ownership/effects.hpp>
#include <cassiahub/ownership/owner.hpp>
#include <cassiahub/ownership/state.hpp>

#include <system_error>
#include <vector>

namespace cassiahub::ownership::internal
{

/// \returns true when repeatable jobs may start after an acknowledged notice instead of a
/// committed write, because the store is unavailable or slow.
bool is_store_bypassed(ownership_state const & state, time_point now) noexcept;

/// \returns true when this instance has claimed \p shard and not observed its loss. The
/// lease may have expired.
bool is_owned(shard_state const & shard) noexcept;

/// \returns the shard of \p key when this instance serves it, else nullptr.
shard_state * find_serving_shard(ownership_state & state, job_key const & key);
shard_state const * find_serving_shard(ownership_state const & state,
                                       job_key const & key);

/// Changes the phase and updates the number of open records.
void set_phase(shard_state & shard, record & entry, record_phase phase) noexcept;

/// Marks the record for the next write.
void mark_dirty(shard_state & shard, job_key const & key, record & entry);

/// Starts the resubmission window of a record.
void begin_resubmission_window(shard_state & shard, job_key const & key, record & entry,
                               time_point now);

/// Removes a key: at once when no row can exist, else after the row is deleted.
void discard(ownership_state & state, shard_state & shard, job_key const & key);

/// Removes the record and its cached answer.
void erase_record(ownership_state & state, shard_state & shard, job_key const & key);

/// Refuses a pending job as not run.
void refuse_pending(ownership_state & state, shard_state & shard, job_key const & key,
                    std::error_code error, effects & out);

/// Allows a pending job to start.
void allow_start(ownership_state const & state, std::uint32_t index, job_key const & key,
                 record & entry, effects & out);

/// Discards the state of an owned shard. Pending jobs are refused as not run.
void drop_shard(ownership_state & state, std::uint32_t index, shard_change change,
                effects & out);

/// Discards records, announced keys and answers that are past the resubmission window,
/// and refuses pending jobs past their deadline.
void expire_records(ownership_state & state, time_point now, effects & out);

/// Sends notices for pending jobs while the store is bypassed, and resends notices that
/// are not acknowledged.
void advance_notices(ownership_state & state, time_point now, effects & out);

/// Completes every notice whose set m_unacknowledged is empty. Its pending jobs may start
/// if at least one peer has acknowledged it; otherwise they are refused.
void complete_notices(ownership_state & state, effects & out);

/// Adds the keys that earlier owners have announced to the records of a shard.
void adopt_announced_keys(ownership_state & state, std::uint32_t index, time_point now);

/// Sends the next write when one is due.
void advance_writes(ownership_state & state, time_point now, effects & out);

} // namespace cassiahub::ownership::internal

#endif
