#include "ownership/shard_records.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cassiahub::ownership::internal
{

/// Number of unwritten records at which a write is sent before the lease renewal is due.
constexpr std::size_t early_write_threshold = max_rows_per_write / 2;

bool is_claimable(ownership_state const & state, shard_state const & shard,
                  time_point now)
{
    if (state.m_draining || !shard.m_preferred || !shard.m_observed ||
        shard.m_phase != shard_phase::idle)
    {
        return false;
    }
    // The holder's lease starts when it sends the write, which is before the row is read
    // here. So the lease has expired once the row is unchanged for this long.
    duration const wait =
        shard.m_lease.m_lease_time * (100 + clock_rate_error_percent) / 100;
    return shard.m_row_version == 0 || shard.m_lease.m_owner.m_value.empty() ||
           now - shard.m_unchanged_since >= wait;
}

bool is_releasable(shard_state const & shard, time_point now)
{
    return shard.m_phase == shard_phase::serving && shard.m_releasing &&
           shard.m_open_count == 0 && now >= shard.m_release_not_before &&
           shard.m_dirty.size() < early_write_threshold;
}

/// Removes the keys from m_pending that are no longer pending.
/// \returns true when a pending key remains.
bool has_pending(shard_state & shard)
{
    std::erase_if(shard.m_pending,
                  [&shard](job_key const & key)
                  {
                      auto const found = shard.m_records.find(key);
                      return found == shard.m_records.end() ||
                             found->second.m_phase != record_phase::pending;
                  });
    return !shard.m_pending.empty();
}

bool needs_record_write(shard_state & shard, time_point now)
{
    return is_owned(shard) &&
           (now - shard.m_renewed_at >= renewal_period || has_pending(shard) ||
            shard.m_dirty.size() >= early_write_threshold);
}

row_change lease_change(ownership_state const & state, std::uint32_t index,
                        lease_value const & value)
{
    return {lease_row_name(state.m_domain, index), state.m_shards[index].m_row_version,
            format_lease(value)};
}

/// Adds up to \p limit records of the shard to the write. The record rows carry no
/// expected version: the lease row in the same write does, and only the lease holder
/// writes records.
void append_records(shard_state & shard, std::size_t limit, write_part & part,
                    std::vector<row_change> & rows)
{
    std::size_t const count = std::min(limit, shard.m_dirty.size());
    for (std::size_t position = 0; position < count; ++position)
    {
        job_key const & key = shard.m_dirty[position];
        record & entry = shard.m_records.at(key);
        row_change row{record_row_name(part.m_shard, key), std::nullopt, std::nullopt};
        if (entry.m_phase != record_phase::obsolete)
        {
            row.m_value = format_record({entry.m_job_hash, entry.m_epoch,
                                         entry.m_phase == record_phase::finished,
                                         entry.m_error, entry.m_ran});
        }
        entry.m_row_may_exist = true;
        part.m_records.emplace_back(key, entry.m_revision);
        rows.push_back(std::move(row));
    }
}

void append_claim(ownership_state & state, std::uint32_t index, pending_write & write,
                  std::vector<row_change> & rows)
{
    shard_state & shard = state.m_shards[index];
    std::uint64_t const epoch = shard.m_lease.m_epoch + 1;
    rows.push_back(lease_change(state, index,
                                {state.m_self, state.m_incarnation, epoch, lease_time}));
    shard.m_phase = shard_phase::claiming;
    write.m_parts.push_back({index, epoch, {}});
}

void append_release(ownership_state & state, std::uint32_t index, pending_write & write,
                    std::vector<row_change> & rows)
{
    shard_state & shard = state.m_shards[index];
    rows.push_back(lease_change(state, index, {{}, 0, shard.m_epoch, lease_time}));
    write_part part{index, shard.m_epoch, {}};
    append_records(shard, max_rows_per_write, part, rows);
    shard.m_release_sent = true;
    write.m_parts.push_back(std::move(part));
}

void append_renewal(ownership_state & state, std::uint32_t index, std::size_t limit,
                    pending_write & write, std::vector<row_change> & rows)
{
    shard_state & shard = state.m_shards[index];
    rows.push_back(lease_change(
        state, index, {state.m_self, state.m_incarnation, shard.m_epoch, lease_time}));
    write_part part{index, shard.m_epoch, {}};
    append_records(shard, limit, part, rows);
    write.m_parts.push_back(std::move(part));
}

/// Fills the write with all possible claims, else with one release, else with renewals
/// and records.
void fill_write(ownership_state & state, time_point now, pending_write & write,
                std::vector<row_change> & rows)
{
    std::vector<std::uint32_t> claims;
    std::vector<std::uint32_t> releases;
    std::vector<std::uint32_t> records;
    for (std::uint32_t index = 0; index < state.m_shards.size(); ++index)
    {
        shard_state & shard = state.m_shards[index];
        if (is_claimable(state, shard, now))
        {
            claims.push_back(index);
        }
        else if (is_releasable(shard, now))
        {
            releases.push_back(index);
        }
        else if (needs_record_write(shard, now))
        {
            records.push_back(index);
        }
    }
    // A claim may conflict with that of another instance, which would fail the other
    // changes in the same write.
    if (!claims.empty())
    {
        write.m_purpose = write_purpose::claim;
        for (std::uint32_t const index : claims)
        {
            append_claim(state, index, write, rows);
        }
    }
    else if (!releases.empty())
    {
        write.m_purpose = write_purpose::release;
        append_release(state, releases.front(), write, rows);
    }
    else
    {
        for (std::uint32_t const index : records)
        {
            append_renewal(state, index, max_rows_per_write / records.size(), write,
                           rows);
        }
    }
}

void advance_writes(ownership_state & state, time_point now, effects & out)
{
    bool const allowed = !state.m_write && !state.m_store_down && !state.m_read_needed &&
                         now - state.m_last_write >= shortest_write_interval &&
                         state.m_next_write_token <= now + write_burst;
    if (!allowed)
    {
        return;
    }
    pending_write write;
    std::vector<row_change> rows;
    fill_write(state, now, write, rows);
    if (rows.empty())
    {
        return;
    }
    write.m_request = state.m_next_request++;
    write.m_sent_at = now;
    state.m_last_write = now;
    state.m_next_write_token =
        std::max(state.m_next_write_token, now) + write_token_period;
    out.m_writes.push_back({write.m_request,
                            fmt::format("{:x}-{}", state.m_incarnation, write.m_request),
                            std::move(rows)});
    state.m_write = std::move(write);
}

} // namespace cassiahub::ownership::internal
