#ifndef CASSIAHUB_SRC_OWNERSHIP_SHARD_RECORDS_HPP
#define CASSIAHUB_SRC_OWNERSHIP_SHARD_RECORDS_HPP

#include <cassiahub/ownership/effects.hpp>
#include <cassiahub/ownership/owner.hpp>
#include <cassiahub/ownership/state.hpp>

#include <system_error>
#include <vector>

namespace cassiahub::ownership::internal
{

/// \returns true when jobs that may be repeated do not wait for the store.
bool is_store_bypassed(ownership_state const & state, time_point now) noexcept;

/// \returns true when the instance holds the lease of \p shard as far as it knows.
bool is_owned(shard_state const & shard) noexcept;

/// \returns the serving shard of \p key, or nullptr.
shard_state * find_serving(ownership_state & state, job_key const & key);
shard_state const * find_serving(ownership_state const & state, job_key const & key);

/// Changes the phase and keeps the count of open records.
void set_phase(shard_state & shard, record & entry, record_phase phase) noexcept;

/// Lists the record for the next write.
void mark_dirty(shard_state & shard, job_key const & key, record & entry);

/// Starts the resubmission window of a record.
void settle(shard_state & shard, job_key const & key, record & entry, time_point now);

/// Forgets a key: at once when no row can exist, else after the row was deleted.
void discard(ownership_state & state, shard_state & shard, job_key const & key);

/// Removes the record, and its answer from the memory account.
void erase_record(ownership_state & state, shard_state & shard, job_key const & key);

/// Refuses a pending job as not run.
void refuse_pending(ownership_state & state, shard_state & shard, job_key const & key,
                    std::error_code error, effects & out);

/// Clears a pending job to start.
void clear_pending(ownership_state const & state, std::uint32_t index,
                   job_key const & key, record & entry, effects & out);

/// Gives up everything known of an owned shard. Pending jobs are refused as not run.
void drop_shard(ownership_state & state, std::uint32_t index, shard_change change,
                effects & out);

/// Drops records, notices and answers that are older than the window, and refuses pending
/// jobs past their deadline.
void expire_records(ownership_state & state, time_point now, effects & out);

/// Sends notices for pending jobs while the store is bypassed, and repeats them.
void advance_notices(ownership_state & state, time_point now, effects & out);

/// Ends notices whose receivers have all acknowledged them or are gone.
void settle_notices(ownership_state & state, effects & out);

/// Adds the keys that earlier owners have announced to a shard that begins to serve.
void adopt_noticed(ownership_state & state, std::uint32_t index, time_point now);

/// Sends the next write when one is due.
void advance_writes(ownership_state & state, time_point now, effects & out);

} // namespace cassiahub::ownership::internal

#endif
