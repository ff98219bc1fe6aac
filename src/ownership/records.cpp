#include "ownership/shard_records.hpp"

#include <cassiahub/core/error.hpp>

#include <boost/assert.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cassiahub::ownership
{

namespace internal
{

bool is_open(record_phase phase) noexcept
{
    return phase == record_phase::pending || phase == record_phase::admitted;
}

std::size_t answer_size(job_answer const & answer) noexcept
{
    std::size_t size = sizeof(job_answer);
    for (std::string const & result : answer.m_results)
    {
        size += sizeof(std::string) + result.size();
    }
    return size;
}

void evict_answer(ownership_state & state, record & entry)
{
    if (entry.m_answer_cached)
    {
        state.m_answer_bytes -= answer_size(entry.m_answer);
        entry.m_answer = {};
        entry.m_answer_cached = false;
    }
}

void cache_answer(ownership_state & state, job_key const & key, record & entry,
                  job_answer const & answer)
{
    evict_answer(state, entry);
    entry.m_answer = answer;
    entry.m_answer_cached = true;
    std::size_t const size = answer_size(answer);
    state.m_answer_bytes += size;
    state.m_answers.emplace_back(key, size);
    while (state.m_answer_bytes > answer_memory_limit)
    {
        job_key const oldest = std::move(state.m_answers.front().first);
        state.m_answers.pop_front();
        if (shard_state * const shard = find_serving_shard(state, oldest))
        {
            auto const found = shard->m_records.find(oldest);
            if (found != shard->m_records.end())
            {
                evict_answer(state, found->second);
            }
        }
    }
}

job_answer recorded_answer(record const & entry)
{
    if (entry.m_phase == record_phase::earlier_admitted)
    {
        return {job_errc::outcome_unknown, run_state::unknown, {}, {}};
    }
    if (entry.m_answer_cached)
    {
        return entry.m_answer;
    }
    if (entry.m_error == 0)
    {
        return {job_errc::already_answered, run_state::yes, {}, {}};
    }
    return {static_cast<job_errc>(entry.m_error), entry.m_ran, {}, {}};
}

bool is_store_bypassed(ownership_state const & state, time_point now) noexcept
{
    return state.m_store_down ||
           (state.m_write && now - state.m_write->m_sent_at >= slow_write_threshold);
}

bool is_owned(shard_state const & shard) noexcept
{
    return shard.m_phase == shard_phase::loading || shard.m_phase == shard_phase::serving;
}

shard_state const * find_serving_shard(ownership_state const & state, job_key const & key)
{
    if (state.m_shards.empty() || key.m_home_domain != state.m_domain)
    {
        return nullptr;
    }
    shard_state const & shard = state.m_shards[shard_of(key, state.m_shards.size())];
    return shard.m_phase == shard_phase::serving ? &shard : nullptr;
}

shard_state * find_serving_shard(ownership_state & state, job_key const & key)
{
    return const_cast<shard_state *>(
        find_serving_shard(std::as_const(state), key)); // safe: the state is not const
}

void set_phase(shard_state & shard, record & entry, record_phase phase) noexcept
{
    shard.m_open_count -= is_open(entry.m_phase) ? 1 : 0;
    shard.m_open_count += is_open(phase) ? 1 : 0;
    entry.m_phase = phase;
}

void mark_dirty(shard_state & shard, job_key const & key, record & entry)
{
    ++entry.m_revision;
    if (!entry.m_dirty)
    {
        entry.m_dirty = true;
        shard.m_dirty.push_back(key);
    }
}

void begin_resubmission_window(shard_state & shard, job_key const & key, record & entry,
                               time_point now)
{
    entry.m_window_start = now;
    shard.m_expiry.emplace_back(now, key);
}

void erase_record(ownership_state & state, shard_state & shard, job_key const & key)
{
    auto const found = shard.m_records.find(key);
    if (found == shard.m_records.end())
    {
        return;
    }
    record & entry = found->second;
    evict_answer(state, entry);
    set_phase(shard, entry, record_phase::obsolete);
    if (entry.m_dirty)
    {
        std::erase(shard.m_dirty, key);
    }
    shard.m_records.erase(found);
}

void discard(ownership_state & state, shard_state & shard, job_key const & key)
{
    record & entry = shard.m_records.at(key);
    if (!entry.m_row_may_exist)
    {
        erase_record(state, shard, key);
        return;
    }
    evict_answer(state, entry);
    set_phase(shard, entry, record_phase::obsolete);
    mark_dirty(shard, key, entry);
}

void refuse_pending(ownership_state & state, shard_state & shard, job_key const & key,
                    std::error_code error, effects & out)
{
    auto const found = shard.m_records.find(key);
    if (found != shard.m_records.end() && found->second.m_phase == record_phase::pending)
    {
        out.m_refused.push_back({key, error, run_state::no});
        discard(state, shard, key);
    }
}

void allow_start(ownership_state const & state, std::uint32_t index, job_key const & key,
                 record & entry, effects & out)
{
    // Pending and admitted records both count as open, so m_open_count does not change.
    entry.m_phase = record_phase::admitted;
    std::string token = state.m_domain + "/" + std::to_string(index);
    out.m_startable.push_back({key, {std::move(token), entry.m_epoch}});
}

void drop_shard(ownership_state & state, std::uint32_t index, shard_change change,
                effects & out)
{
    shard_state & shard = state.m_shards[index];
    for (auto & [key, entry] : shard.m_records)
    {
        if (entry.m_phase == record_phase::pending)
        {
            out.m_refused.push_back({key, job_errc::lease_lapsed, run_state::no});
        }
        else if (entry.m_announced && entry.m_dirty &&
                 entry.m_phase != record_phase::obsolete)
        {
            // The next owner may not have received the key yet, and may itself lose the
            // shard.
            state.m_announced_keys.insert_or_assign(
                key, announced_key{index, state.m_last_call});
            state.m_announced_key_expiry.emplace_back(state.m_last_call, key);
        }
        evict_answer(state, entry);
    }
    shard.m_records.clear();
    shard.m_dirty.clear();
    shard.m_pending.clear();
    shard.m_expiry.clear();
    shard.m_open_count = 0;
    shard.m_phase = shard_phase::idle;
    shard.m_valid_until = {};
    shard.m_releasing = false;
    shard.m_release_sent = false;
    shard.m_load_request = 0;
    out.m_shard_events.push_back({change, index});
}

void expire_shard(ownership_state & state, shard_state & shard, time_point now,
                  effects & out)
{
    std::vector<job_key> overdue;
    for (job_key const & key : shard.m_pending)
    {
        auto const found = shard.m_records.find(key);
        if (found != shard.m_records.end() &&
            found->second.m_phase == record_phase::pending &&
            found->second.m_deadline <= now)
        {
            overdue.push_back(key);
        }
    }
    for (job_key const & key : overdue)
    {
        refuse_pending(state, shard, key, job_errc::deadline_exceeded, out);
    }
    while (!shard.m_expiry.empty() &&
           now - shard.m_expiry.front().first >= state.m_resubmission_window)
    {
        job_key const key = std::move(shard.m_expiry.front().second);
        shard.m_expiry.pop_front();
        auto const found = shard.m_records.find(key);
        bool const window_started =
            found != shard.m_records.end() &&
            (found->second.m_phase == record_phase::finished ||
             found->second.m_phase == record_phase::earlier_admitted);
        if (window_started &&
            now - found->second.m_window_start >= state.m_resubmission_window)
        {
            discard(state, shard, key);
        }
    }
}

void expire_records(ownership_state & state, time_point now, effects & out)
{
    for (shard_state & shard : state.m_shards)
    {
        expire_shard(state, shard, now, out);
    }
    while (!state.m_announced_key_expiry.empty() &&
           now - state.m_announced_key_expiry.front().first >=
               state.m_resubmission_window)
    {
        state.m_announced_keys.erase(state.m_announced_key_expiry.front().second);
        state.m_announced_key_expiry.pop_front();
    }
    auto const is_stale = [&state](job_key const & key)
    {
        shard_state const * const shard = find_serving_shard(std::as_const(state), key);
        if (shard == nullptr)
        {
            return true;
        }
        auto const found = shard->m_records.find(key);
        return found == shard->m_records.end() || !found->second.m_answer_cached;
    };
    while (!state.m_answers.empty() && is_stale(state.m_answers.front().first))
    {
        state.m_answers.pop_front();
    }
}

void update_hash(std::uint64_t & hash, std::string_view text)
{
    hash = XXH3_64bits_withSeed(text.data(), text.size(), hash);
}

void update_hash(std::uint64_t & hash, std::uint64_t value)
{
    hash = XXH3_64bits_withSeed(&value, sizeof(value), hash);
}

} // namespace internal

std::string_view home_domain(std::span<std::string const> domains,
                             std::string_view tenant, std::string_view key)
{
    BOOST_ASSERT(!domains.empty());
    std::uint64_t hash = 1;
    internal::update_hash(hash, tenant);
    internal::update_hash(hash, key);
    return domains[hash % domains.size()];
}

std::uint64_t hash_job(job_spec const & spec)
{
    std::uint64_t hash = 1;
    internal::update_hash(hash, spec.m_kind);
    for (task_spec const & task : spec.m_tasks)
    {
        internal::update_hash(hash, task.m_payload);
        internal::update_hash(hash, task.m_demand.m_millicores);
        internal::update_hash(hash, task.m_demand.m_memory_mib);
        internal::update_hash(hash, task.m_demand.m_accelerators);
    }
    return hash == 0 ? 1 : hash;
}

std::uint32_t shard_of(job_key const & key, std::size_t shard_count)
{
    BOOST_ASSERT(shard_count > 0);
    std::uint64_t hash = 2;
    internal::update_hash(hash, key.m_tenant);
    internal::update_hash(hash, key.m_key);
    return static_cast<std::uint32_t>(hash % shard_count);
}

key_lookup find_key(ownership_state const & state, job_key const & key,
                    std::uint64_t job_hash)
{
    shard_state const * const shard = internal::find_serving_shard(state, key);
    if (shard == nullptr)
    {
        return {key_status::not_owner, {}};
    }
    auto const found = shard->m_records.find(key);
    if (found == shard->m_records.end() ||
        found->second.m_phase == record_phase::obsolete)
    {
        return {key_status::not_known, {}};
    }
    record const & entry = found->second;
    if (job_hash != 0 && entry.m_job_hash != 0 && entry.m_job_hash != job_hash)
    {
        return {key_status::answered, {job_errc::key_reused, run_state::unknown, {}, {}}};
    }
    if (internal::is_open(entry.m_phase))
    {
        return {key_status::waiting, {}};
    }
    return {key_status::answered, internal::recorded_answer(entry)};
}

std::error_code admit_job(ownership_state & state, admission_request const & request)
{
    shard_state * const shard = internal::find_serving_shard(state, request.m_key);
    if (state.m_draining)
    {
        return job_errc::draining;
    }
    if (shard == nullptr || shard->m_releasing)
    {
        return job_errc::owner_unreachable;
    }
    if (state.m_store_down && (!request.m_repeatable || state.m_peers.empty()))
    {
        return job_errc::store_unavailable;
    }
    record & entry = shard->m_records[request.m_key];
    BOOST_ASSERT(!entry.m_dirty || entry.m_phase == record_phase::obsolete);
    if (entry.m_phase == record_phase::pending)
    {
        ++shard->m_open_count; // a new record, whose initial phase is pending
    }
    internal::set_phase(*shard, entry, record_phase::pending);
    entry.m_job_hash = request.m_job_hash;
    entry.m_epoch = shard->m_epoch;
    entry.m_repeatable = request.m_repeatable;
    entry.m_deadline = request.m_deadline;
    entry.m_announced = false;
    entry.m_error = 0;
    entry.m_ran = run_state::unknown;
    internal::mark_dirty(*shard, request.m_key, entry);
    shard->m_pending.push_back(request.m_key);
    return {};
}

void finish_job(ownership_state & state, job_key const & key, job_answer const & answer,
                time_point now)
{
    shard_state * const shard = internal::find_serving_shard(state, key);
    if (shard == nullptr)
    {
        return;
    }
    auto const found = shard->m_records.find(key);
    if (found == shard->m_records.end() ||
        found->second.m_phase == record_phase::finished ||
        found->second.m_phase == record_phase::obsolete)
    {
        return;
    }
    if (answer.m_ran == run_state::no && answer.m_error != job_errc::cancelled)
    {
        internal::discard(state, *shard, key);
        return;
    }
    record & entry = found->second;
    if (answer.m_error && answer.m_ran != run_state::no)
    {
        shard->m_release_not_before =
            std::max({shard->m_release_not_before, shard->m_valid_until,
                      now + unrecorded_send_limit});
    }
    internal::set_phase(*shard, entry, record_phase::finished);
    entry.m_error = answer.m_error.value();
    entry.m_ran = answer.m_ran;
    internal::cache_answer(state, key, entry, answer);
    internal::mark_dirty(*shard, key, entry);
    internal::begin_resubmission_window(*shard, key, entry, now);
}

std::optional<time_point> send_deadline(ownership_state const & state,
                                        job_key const & key, fencing_token const & token,
                                        time_point now)
{
    shard_state const * const shard = internal::find_serving_shard(state, key);
    if (shard == nullptr || shard->m_epoch != token.m_epoch)
    {
        return std::nullopt;
    }
    auto const found = shard->m_records.find(key);
    if (found == shard->m_records.end() ||
        found->second.m_phase != record_phase::admitted)
    {
        return std::nullopt;
    }
    if (now < shard->m_valid_until)
    {
        return shard->m_valid_until;
    }
    if (found->second.m_repeatable && !shard->m_unconfirmed &&
        internal::is_store_bypassed(state, now))
    {
        return now + unrecorded_send_limit;
    }
    return std::nullopt;
}

} // namespace cassiahub::ownership
