#include "ownership/shard_records.hpp"

#include <cassiahub/core/error.hpp>

#include <algorithm>
#include <utility>

namespace cassiahub::ownership
{

namespace internal
{

/// Time between two scans for passed deadlines and expired records.
constexpr duration scan_period = std::chrono::milliseconds(20);
/// Time without a reply after which the store counts as unreachable.
constexpr duration store_contact_timeout = std::chrono::seconds(3);

bool has_unrecorded_keys(ownership_state const & state) noexcept
{
    return !state.m_announced_keys.empty() ||
           std::any_of(state.m_shards.begin(), state.m_shards.end(),
                       [](shard_state const & shard)
                       {
                           return std::any_of(
                               shard.m_records.begin(), shard.m_records.end(),
                               [](auto const & item) {
                                   return item.second.m_announced && item.second.m_dirty;
                               });
                       });
}

/// Starts the store reads that are due: of the lease rows of the domain, and of the
/// records of each shard that is being loaded.
void advance_reads(ownership_state & state, time_point now, effects & out)
{
    bool const due =
        now >= state.m_next_lease_read || (state.m_read_needed && !state.m_store_down);
    if (state.m_lease_request == 0 && due)
    {
        state.m_lease_request = state.m_next_request++;
        state.m_lease_sent_at = now;
        state.m_next_lease_read =
            now + (state.m_store_down ? store_probe_period : lease_read_period);
        out.m_reads.push_back({state.m_lease_request, lease_prefix(state.m_domain)});
    }
    for (std::uint32_t index = 0; index < state.m_shards.size(); ++index)
    {
        shard_state & shard = state.m_shards[index];
        if (shard.m_phase == shard_phase::loading && shard.m_load_request == 0 &&
            !state.m_store_down)
        {
            shard.m_load_request = state.m_next_request++;
            shard.m_load_sent_at = now;
            out.m_reads.push_back(
                {shard.m_load_request, record_prefix(state.m_domain, index)});
        }
    }
}

/// Fails requests to which the platform client has not replied in time.
void expire_requests(ownership_state & state, time_point now, effects & out)
{
    if (state.m_lease_request != 0 &&
        now - state.m_lease_sent_at >= store_request_timeout)
    {
        receive_store_reply(state, state.m_lease_request, store_result::unavailable, {},
                            now, out);
    }
    if (state.m_write && now - state.m_write->m_sent_at >= store_request_timeout)
    {
        receive_store_reply(state, state.m_write->m_request, store_result::unavailable,
                            {}, now, out);
    }
    for (shard_state & shard : state.m_shards)
    {
        if (shard.m_load_request != 0 &&
            now - shard.m_load_sent_at >= store_request_timeout)
        {
            shard.m_load_request = 0;
        }
    }
}

/// Starts the release of shards that another member should own.
void advance_handover(ownership_state & state, time_point now)
{
    for (shard_state & shard : state.m_shards)
    {
        if (shard.m_phase != shard_phase::serving || state.m_draining)
        {
            continue;
        }
        duration const unpreferred = now - shard.m_unpreferred_since;
        bool const give_up = !shard.m_preferred &&
                             (unpreferred >= forced_handover_delay ||
                              (unpreferred >= handover_delay && shard.m_open_count == 0));
        shard.m_releasing = give_up || shard.m_release_sent;
    }
}

} // namespace internal

void configure(ownership_state & state, std::uint32_t shard_count, duration window)
{
    state.m_resubmission_window = window;
    if (state.m_shards.empty())
    {
        state.m_shards.resize(shard_count);
        state.m_read_needed = true;
    }
}

void set_peers_and_preferred_shards(ownership_state & state,
                                    std::vector<instance_id> peers,
                                    std::span<std::uint32_t const> preferred,
                                    time_point now, effects & out)
{
    state.m_peers = std::move(peers);
    for (std::uint32_t index = 0; index < state.m_shards.size(); ++index)
    {
        shard_state & shard = state.m_shards[index];
        bool const wanted = std::binary_search(preferred.begin(), preferred.end(), index);
        if (shard.m_preferred && !wanted)
        {
            shard.m_unpreferred_since = now;
        }
        shard.m_preferred = wanted;
    }
    for (auto & [request, notice] : state.m_notices)
    {
        std::erase_if(notice.m_unacknowledged,
                      [&state](instance_id const & peer)
                      {
                          return std::find(state.m_peers.begin(), state.m_peers.end(),
                                           peer) == state.m_peers.end();
                      });
    }
    internal::complete_notices(state, out);
}

void observe_peer_lease(ownership_state & state, std::uint32_t shard, std::uint64_t epoch,
                        effects & out)
{
    if (shard < state.m_shards.size() && internal::is_owned(state.m_shards[shard]) &&
        epoch > state.m_shards[shard].m_epoch)
    {
        internal::drop_shard(state, shard, shard_change::lost, out);
        state.m_read_needed = true;
    }
}

void begin_drain(ownership_state & state, time_point now)
{
    state.m_drain_began = now;
    state.m_draining = true;
    for (shard_state & shard : state.m_shards)
    {
        shard.m_releasing = internal::is_owned(shard);
    }
}

bool is_drain_complete(ownership_state const & state, time_point now) noexcept
{
    if (state.m_peers.empty() && internal::has_unrecorded_keys(state) &&
        now - state.m_drain_began < unrecorded_key_wait)
    {
        return false;
    }
    return std::all_of(state.m_shards.begin(), state.m_shards.end(),
                       [&state, now](shard_state const & shard)
                       {
                           return shard.m_phase == shard_phase::idle ||
                                  (state.m_store_down && now >= shard.m_valid_until);
                       });
}

void detect_suspension(ownership_state & state, time_point now)
{
    if (state.m_last_call != time_point() && now - state.m_last_call > suspension_gap)
    {
        for (shard_state & shard : state.m_shards)
        {
            // Restarts the wait until the lease row of the shard has been unchanged for
            // so long that the holder's lease has expired. Notices of keys that were
            // admitted without a record in the store must be able to arrive before this
            // instance claims the shard.
            shard.m_observed = false;
            shard.m_unconfirmed = now >= shard.m_valid_until;
        }
        state.m_read_needed = true;
    }
    state.m_last_call = now;
}

bool has_store_contact(ownership_state const & state, time_point now) noexcept
{
    return !state.m_store_down && state.m_last_contact != time_point() &&
           now - state.m_last_contact < internal::store_contact_timeout;
}

void advance(ownership_state & state, time_point now, effects & out)
{
    if (state.m_shards.empty())
    {
        return;
    }
    internal::expire_requests(state, now, out);
    if (now >= state.m_next_scan)
    {
        state.m_next_scan = now + internal::scan_period;
        internal::expire_records(state, now, out);
    }
    internal::advance_handover(state, now);
    internal::advance_reads(state, now, out);
    internal::advance_notices(state, now, out);
    internal::advance_writes(state, now, out);
}

std::vector<std::string_view> check_invariants(ownership_state const & state)
{
    std::vector<std::string_view> broken;
    for (shard_state const & shard : state.m_shards)
    {
        std::size_t open = 0;
        std::size_t dirty = 0;
        for (auto const & [key, entry] : shard.m_records)
        {
            open += entry.m_phase == record_phase::pending ||
                            entry.m_phase == record_phase::admitted
                        ? 1
                        : 0;
            dirty += entry.m_dirty ? 1 : 0;
            if (entry.m_phase == record_phase::admitted && entry.m_dirty &&
                !entry.m_announced)
            {
                broken.emplace_back("admitted_without_record_or_notice");
            }
        }
        if (open != shard.m_open_count)
        {
            broken.emplace_back("open_record_count_wrong");
        }
        if (dirty != shard.m_dirty.size())
        {
            broken.emplace_back("dirty_record_not_listed");
        }
        if (!internal::is_owned(shard) && !shard.m_records.empty())
        {
            broken.emplace_back("records_of_shard_not_owned");
        }
    }
    return broken;
}

} // namespace cassiahub::ownership
