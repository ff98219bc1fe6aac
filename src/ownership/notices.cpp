#include "ownership/shard_records.hpp"

#include <cassiahub/core/error.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cassiahub::ownership
{

namespace internal
{

void send_notice(pending_notice const & notice, std::uint64_t request, effects & out)
{
    for (instance_id const & peer : notice.m_unacknowledged)
    {
        out.m_notices.push_back({peer, request, notice.m_shard, notice.m_keys});
    }
}

bool is_pending(shard_state const & shard, job_key const & key)
{
    auto const found = shard.m_records.find(key);
    return found != shard.m_records.end() &&
           found->second.m_phase == record_phase::pending;
}

/// Sends the keys of pending repeatable jobs of one shard to the peers. The other pending
/// jobs are refused when the store is unavailable, and wait when it is only slow.
void announce_pending(ownership_state & state, std::uint32_t index, time_point now,
                      effects & out)
{
    shard_state & shard = state.m_shards[index];
    std::erase_if(shard.m_pending,
                  [&shard](job_key const & key) { return !is_pending(shard, key); });
    pending_notice notice;
    std::vector<job_key> refused;
    for (job_key const & key : shard.m_pending)
    {
        record & entry = shard.m_records.at(key);
        if (entry.m_announced)
        {
            continue;
        }
        // If a release takes effect late, another instance may claim the shard at once.
        bool const announced = entry.m_repeatable && !state.m_peers.empty() &&
                               !shard.m_release_sent && !shard.m_unconfirmed;
        if (announced)
        {
            entry.m_announced = true;
            notice.m_keys.push_back(key);
        }
        else if (state.m_store_down)
        {
            refused.push_back(key);
        }
    }
    for (job_key const & key : refused)
    {
        refuse_pending(state, shard, key, job_errc::store_unavailable, out);
    }
    if (!notice.m_keys.empty())
    {
        notice.m_shard = index;
        notice.m_epoch = shard.m_epoch;
        notice.m_unacknowledged = {state.m_peers.begin(), state.m_peers.end()};
        notice.m_sent_at = now;
        std::uint64_t const request = state.m_next_request++;
        send_notice(notice, request, out);
        state.m_notices.emplace(request, std::move(notice));
    }
}

void apply_notice_result(ownership_state & state, pending_notice const & notice,
                         effects & out)
{
    shard_state & shard = state.m_shards[notice.m_shard];
    if (shard.m_phase != shard_phase::serving || shard.m_epoch != notice.m_epoch)
    {
        return;
    }
    for (job_key const & key : notice.m_keys)
    {
        if (!is_pending(shard, key))
        {
            continue;
        }
        if (notice.m_acknowledged)
        {
            record & entry = shard.m_records.at(key);
            // Set here as well as on sending: readmitting a refused job resets
            // m_announced, and this notice covers that job too.
            entry.m_announced = true;
            allow_start(state, notice.m_shard, key, entry, out);
        }
        else
        {
            refuse_pending(state, shard, key, job_errc::store_unavailable, out);
        }
    }
}

void complete_notices(ownership_state & state, effects & out)
{
    std::vector<pending_notice> ended;
    std::erase_if(state.m_notices,
                  [&ended](auto & item)
                  {
                      bool const complete = item.second.m_unacknowledged.empty();
                      if (complete)
                      {
                          ended.push_back(std::move(item.second));
                      }
                      return complete;
                  });
    for (pending_notice const & notice : ended)
    {
        apply_notice_result(state, notice, out);
    }
}

void advance_notices(ownership_state & state, time_point now, effects & out)
{
    if (is_store_bypassed(state, now))
    {
        for (std::uint32_t index = 0; index < state.m_shards.size(); ++index)
        {
            if (state.m_shards[index].m_phase == shard_phase::serving)
            {
                announce_pending(state, index, now, out);
            }
        }
    }
    for (auto & [request, notice] : state.m_notices)
    {
        if (now - notice.m_sent_at >= notice_resend_period)
        {
            notice.m_sent_at = now;
            send_notice(notice, request, out);
        }
    }
}

/// Refuses a pending job whose key an earlier owner reports as admitted. Keys that this
/// instance has announced are skipped, because a peer may send them back.
void refuse_key_of_earlier_owner(shard_state & shard, job_key const & key, time_point now,
                                 effects & out)
{
    if (!is_pending(shard, key) || shard.m_records.at(key).m_announced)
    {
        return;
    }
    record & entry = shard.m_records.at(key);
    set_phase(shard, entry, record_phase::earlier_admitted);
    mark_dirty(shard, key, entry);
    begin_resubmission_window(shard, key, entry, now);
    out.m_refused.push_back({key, job_errc::outcome_unknown, run_state::unknown});
}

void adopt_announced_keys(ownership_state & state, std::uint32_t index, time_point now)
{
    shard_state & shard = state.m_shards[index];
    for (auto const & [key, announcement] : state.m_announced_keys)
    {
        if (announcement.m_shard != index || shard.m_records.contains(key))
        {
            continue;
        }
        record & entry = shard.m_records[key];
        entry.m_phase = record_phase::earlier_admitted;
        entry.m_epoch = shard.m_epoch;
        mark_dirty(shard, key, entry);
        begin_resubmission_window(shard, key, entry, now);
    }
}

} // namespace internal

bool receive_notice(ownership_state & state, std::uint32_t shard,
                    std::uint64_t sender_epoch, std::span<job_key const> keys,
                    time_point now, effects & out)
{
    for (job_key const & key : keys)
    {
        state.m_announced_keys.insert_or_assign(key, announced_key{shard, now});
        state.m_announced_key_expiry.emplace_back(now, key);
    }
    if (shard >= state.m_shards.size())
    {
        return true;
    }
    shard_state & own = state.m_shards[shard];
    if (own.m_phase == shard_phase::serving)
    {
        for (job_key const & key : keys)
        {
            internal::refuse_key_of_earlier_owner(own, key, now, out);
        }
        internal::adopt_announced_keys(state, shard, now);
    }
    return own.m_phase == shard_phase::idle && own.m_lease.m_epoch <= sender_epoch;
}

void receive_acknowledgement(ownership_state & state, instance_id const & from,
                             std::uint64_t request, effects & out)
{
    auto const found = state.m_notices.find(request);
    if (found != state.m_notices.end() && found->second.m_unacknowledged.erase(from) > 0)
    {
        found->second.m_acknowledged = true;
        internal::complete_notices(state, out);
    }
}

void send_unrecorded_keys(ownership_state & state, instance_id const & peer,
                          effects & out)
{
    std::map<std::uint32_t, std::vector<job_key>> keys;
    for (std::uint32_t index = 0; index < state.m_shards.size(); ++index)
    {
        for (auto const & [key, entry] : state.m_shards[index].m_records)
        {
            if (entry.m_announced && entry.m_dirty &&
                entry.m_phase != record_phase::obsolete)
            {
                keys[index].push_back(key);
            }
        }
    }
    for (auto const & [key, announcement] : state.m_announced_keys)
    {
        keys[announcement.m_shard].push_back(key);
    }
    for (auto & [shard, list] : keys)
    {
        out.m_notices.push_back({peer, state.m_next_request++, shard, std::move(list)});
    }
}

} // namespace cassiahub::ownership
