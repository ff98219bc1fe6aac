#include "ownership/shard_records.hpp"

#include <cassiahub/core/error.hpp>

#include <algorithm>
#include <utility>

namespace cassiahub::ownership
{

namespace internal
{

/// \returns the time until which the holder may use a lease whose write was sent at
/// \p sent_at.
time_point lease_limit(time_point sent_at) noexcept
{
    return sent_at + lease_time * (100 - clock_rate_error_percent) / 100 - expiry_margin;
}

bool is_held_by_self(ownership_state const & state, lease_value const & lease)
{
    return lease.m_owner == state.m_self && lease.m_incarnation == state.m_incarnation;
}

void begin_loading(ownership_state & state, std::uint32_t index, std::uint64_t epoch,
                   effects & out)
{
    shard_state & shard = state.m_shards[index];
    shard.m_phase = shard_phase::loading;
    shard.m_epoch = epoch;
    shard.m_valid_until = {};
    shard.m_renewed_at = {};
    shard.m_releasing = state.m_draining;
    shard.m_unconfirmed = true;
    shard.m_load_request = 0;
    out.m_shard_events.push_back({shard_change::claimed, index});
}

/// Processes one lease row that was read. A row with a version older than the known one
/// is ignored: a write has committed since the read.
void observe_lease(ownership_state & state, std::uint32_t index, std::uint64_t version,
                   lease_value const & lease, time_point now, effects & out)
{
    shard_state & shard = state.m_shards[index];
    if (version < shard.m_row_version)
    {
        return;
    }
    bool const changed = version != shard.m_row_version;
    if (changed || !shard.m_observed)
    {
        shard.m_unchanged_since = now;
    }
    shard.m_observed = true;
    shard.m_row_version = version;
    shard.m_lease = lease;
    bool const held_by_self = version != 0 && is_held_by_self(state, lease);
    if (is_owned(shard))
    {
        if (changed && (!held_by_self || lease.m_epoch != shard.m_epoch))
        {
            drop_shard(state, index,
                       shard.m_release_sent ? shard_change::released : shard_change::lost,
                       out);
        }
        return;
    }
    bool const lease_write_in_flight =
        state.m_write && state.m_write->m_purpose != write_purpose::record;
    if (lease_write_in_flight)
    {
        return;
    }
    shard.m_phase = shard_phase::idle;
    // A claim by this process took effect although its request failed or timed out.
    if (held_by_self && lease.m_epoch > shard.m_epoch)
    {
        begin_loading(state, index, lease.m_epoch, out);
    }
}

void receive_leases(ownership_state & state, std::span<stored_row const> rows,
                    time_point now, effects & out)
{
    std::vector<std::pair<std::uint64_t, lease_value>> leases(state.m_shards.size());
    for (stored_row const & row : rows)
    {
        std::uint32_t index = 0;
        if (!parse_lease_row_name(row.m_name, state.m_domain, index) ||
            index >= leases.size())
        {
            continue;
        }
        lease_value lease;
        if (!parse_lease(row.m_value, lease))
        {
            // The owner and lease time of a malformed row are unknown: the shard is
            // treated as leased by an unknown instance for lease_time.
            lease = {{"?"}, 0, 0, lease_time};
        }
        leases[index] = {row.m_version, lease};
    }
    for (std::uint32_t index = 0; index < leases.size(); ++index)
    {
        observe_lease(state, index, leases[index].first, leases[index].second, now, out);
    }
    state.m_read_needed = false;
}

void receive_records(ownership_state & state, std::uint32_t index,
                     std::span<stored_row const> rows, time_point now, effects & out)
{
    shard_state & shard = state.m_shards[index];
    shard.m_load_request = 0;
    for (stored_row const & row : rows)
    {
        job_key key;
        record_value value;
        if (!parse_record_row_name(row.m_name, state.m_domain, index, key))
        {
            continue;
        }
        // A malformed row still shows that the key was admitted.
        if (!parse_record(row.m_value, value))
        {
            value = {};
        }
        record & entry = shard.m_records[key];
        entry.m_phase =
            value.m_finished ? record_phase::finished : record_phase::earlier_admitted;
        entry.m_job_hash = value.m_job_hash;
        entry.m_epoch = value.m_epoch;
        entry.m_error = value.m_error;
        entry.m_ran = value.m_ran;
        entry.m_row_may_exist = true;
        begin_resubmission_window(shard, key, entry, now);
    }
    adopt_announced_keys(state, index, now);
    shard.m_phase = shard_phase::serving;
    out.m_shard_events.push_back({shard_change::serving, index});
}

void update_store_contact(ownership_state & state, store_result result, time_point now)
{
    if (result != store_result::unavailable)
    {
        state.m_store_down = false;
        state.m_last_contact = now;
        return;
    }
    state.m_store_down = true;
    state.m_read_needed = true;
    state.m_next_lease_read = now + store_probe_period;
    // The holders cannot renew during an outage, so the wait for an unchanged lease row
    // starts again after it.
    for (shard_state & shard : state.m_shards)
    {
        shard.m_observed = false;
    }
}

/// Marks the records of one part of a committed write as stored, and allows their
/// pending jobs to start.
void commit_records(ownership_state & state, shard_state & shard, write_part const & part,
                    time_point now, effects & out)
{
    bool const lease_expired = now >= shard.m_valid_until;
    for (auto const & [key, revision] : part.m_records)
    {
        auto const found = shard.m_records.find(key);
        if (found == shard.m_records.end() || found->second.m_revision != revision)
        {
            continue;
        }
        record & entry = found->second;
        bool const pending = entry.m_phase == record_phase::pending;
        if (pending && lease_expired)
        {
            continue; // the next write renews the lease and lets the job start
        }
        entry.m_dirty = false;
        if (pending)
        {
            allow_start(state, part.m_shard, key, entry, out);
        }
    }
    std::vector<job_key> deleted;
    std::erase_if(shard.m_dirty,
                  [&shard, &deleted](job_key const & key)
                  {
                      record const & entry = shard.m_records.at(key);
                      if (!entry.m_dirty && entry.m_phase == record_phase::obsolete)
                      {
                          deleted.push_back(key);
                      }
                      return !entry.m_dirty;
                  });
    for (job_key const & key : deleted)
    {
        erase_record(state, shard, key);
    }
}

/// Processes one shard of a committed write.
/// \param current false when a read has already returned a later version of the lease
/// row, so that the row no longer holds what was written.
void commit_part(ownership_state & state, pending_write const & write,
                 write_part const & part, bool current, time_point now, effects & out)
{
    shard_state & shard = state.m_shards[part.m_shard];
    switch (write.m_purpose)
    {
    case write_purpose::claim:
        if (!current)
        {
            shard.m_phase = shard_phase::idle;
            return;
        }
        begin_loading(state, part.m_shard, part.m_epoch, out);
        shard.m_lease = {state.m_self, state.m_incarnation, part.m_epoch, lease_time};
        break;
    case write_purpose::release:
        if (is_owned(shard) && shard.m_epoch == part.m_epoch)
        {
            drop_shard(state, part.m_shard, shard_change::released, out);
        }
        if (current)
        {
            shard.m_lease = {{}, 0, part.m_epoch, lease_time};
        }
        return;
    case write_purpose::record:
        break;
    }
    if (!is_owned(shard) || shard.m_epoch != part.m_epoch)
    {
        return;
    }
    shard.m_valid_until = lease_limit(write.m_sent_at);
    shard.m_renewed_at = write.m_sent_at;
    shard.m_release_sent = false;
    shard.m_unconfirmed = now >= shard.m_valid_until;
    commit_records(state, shard, part, now, out);
}

void receive_write_result(ownership_state & state, store_result result,
                          std::span<stored_row const> rows, time_point now, effects & out)
{
    pending_write const write = std::move(*state.m_write);
    state.m_write.reset();
    if (result != store_result::done)
    {
        state.m_read_needed = true;
        for (write_part const & part : write.m_parts)
        {
            shard_state & shard = state.m_shards[part.m_shard];
            if (result == store_result::conflict &&
                shard.m_phase == shard_phase::claiming)
            {
                shard.m_phase = shard_phase::idle;
            }
        }
        return;
    }
    std::vector<bool> current(state.m_shards.size(), false);
    for (stored_row const & row : rows)
    {
        std::uint32_t index = 0;
        if (parse_lease_row_name(row.m_name, state.m_domain, index) &&
            index < state.m_shards.size())
        {
            std::uint64_t & known = state.m_shards[index].m_row_version;
            current[index] = row.m_version >= known;
            known = std::max(known, row.m_version);
        }
    }
    for (write_part const & part : write.m_parts)
    {
        commit_part(state, write, part, current[part.m_shard], now, out);
    }
}

} // namespace internal

void receive_store_reply(ownership_state & state, std::uint64_t request,
                         store_result result, std::span<stored_row const> rows,
                         time_point now, effects & out)
{
    if (state.m_write && state.m_write->m_request == request)
    {
        internal::update_store_contact(state, result, now);
        internal::receive_write_result(state, result, rows, now, out);
        return;
    }
    if (request != 0 && request == state.m_lease_request)
    {
        state.m_lease_request = 0;
        internal::update_store_contact(state, result, now);
        if (result == store_result::done)
        {
            internal::receive_leases(state, rows, now, out);
        }
        return;
    }
    for (std::uint32_t index = 0; index < state.m_shards.size(); ++index)
    {
        shard_state & shard = state.m_shards[index];
        if (request == 0 || shard.m_load_request != request)
        {
            continue;
        }
        shard.m_load_request = 0;
        internal::update_store_contact(state, result, now);
        if (result == store_result::done && shard.m_phase == shard_phase::loading)
        {
            internal::receive_records(state, index, rows, now, out);
        }
        return;
    }
}

} // namespace cassiahub::ownership
