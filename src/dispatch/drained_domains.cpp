#include "dispatch/drained_domains.hpp"
#include "dispatch/forwarding.hpp"
#include "dispatch/jobs.hpp"
#include "dispatch/reservation.hpp"
#include "dispatch/service_pools.hpp"
#include "dispatch/upstreams.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace cassiahub::dispatch
{

namespace internal
{

namespace
{

/// Delay after which the caller of a refused job may retry. A drain lasts for minutes,
/// but by then another instance may have told this one of free upstreams.
constexpr duration stranded_retry_after = std::chrono::seconds(1);

/// \returns true when an upstream of \p pool that \p predicate accepts has room for
/// \p demand while it is idle.
template <typename Predicate>
bool fits_any_with(dispatch_state const & state, std::uint32_t pool,
                   resources const & demand, Predicate predicate)
{
    return std::any_of(state.m_upstreams.begin(), state.m_upstreams.end(),
                       [&](upstream_state const & upstream)
                       {
                           return upstream.m_pool == pool && predicate(upstream) &&
                                  fits(demand, upstream.m_definition.m_capacity);
                       });
}

/// \returns true when a peer that accepts tasks has upstreams of \p service.
bool is_offered_by_peer(dispatch_state const & state, std::string_view service)
{
    return std::any_of(state.m_peers.begin(), state.m_peers.end(),
                       [service](auto const & entry)
                       {
                           peer_capacity const & peer = entry.second.m_capacity;
                           return peer.m_accepts_tasks &&
                                  find_load(peer, service) != nullptr;
                       });
}

/// \returns true when only upstreams of drained domains, here and at the peers, have room
/// for \p demand.
bool is_stranded(dispatch_state const & state, std::uint32_t pool_id,
                 resources const & demand)
{
    if (state.m_drained_domains.empty())
    {
        return false;
    }
    service_pool const & pool = state.m_pools[pool_id];
    if (!fits_any(pool.m_undrained_capacities, demand))
    {
        return fits_some_upstream(pool, demand);
    }
    return is_stranded_here(state, pool_id, demand) &&
           !is_offered_by_peer(state, pool.m_service);
}

void refuse_stranded_jobs(dispatch_state & state, effects & out)
{
    std::vector<std::uint64_t> stranded;
    for (auto const & [serial, job] : state.m_jobs)
    {
        bool const has_not_run =
            failed_answer(job, job_errc::overloaded).m_ran == run_state::no;
        if (has_not_run && has_stranded_task(state, job.m_kind, job.m_spec))
        {
            stranded.push_back(serial);
        }
    }
    std::sort(stranded.begin(), stranded.end());
    for (std::uint64_t const serial : stranded)
    {
        job_state & job = state.m_jobs.at(serial);
        job_answer answer = failed_answer(job, job_errc::overloaded);
        answer.m_retry_after = stranded_retry_after;
        ++state.m_counters.m_shed_jobs;
        finish_job(state, job, std::move(answer), out);
    }
}

void refuse_stranded_forwarded(dispatch_state & state, effects & out)
{
    std::vector<attempt_id> stranded;
    for (auto const & [id, task] : state.m_forwarded)
    {
        if (is_stranded_here(state, state.m_kinds[task.m_kind].m_pool,
                             task.m_start.m_demand))
        {
            stranded.push_back(id);
        }
    }
    std::sort(stranded.begin(), stranded.end());
    for (attempt_id const & id : stranded)
    {
        refuse_forwarded(state, id, out);
    }
}

/// Releases the reservations of upstreams that have been drained, so that their jobs can
/// reserve others.
void release_drained_reservations(dispatch_state & state)
{
    for (service_pool & pool : state.m_pools)
    {
        if (pool.m_reservation.m_job != 0 &&
            state.m_upstreams[pool.m_reservation.m_upstream].m_domain_drained)
        {
            release_reservation(state, pool);
        }
    }
}

} // namespace

bool is_stranded_here(dispatch_state const & state, std::uint32_t pool,
                      resources const & demand)
{
    auto const is_drained = [](upstream_state const & upstream)
    {
        return upstream.m_owned && upstream.m_domain_drained;
    };
    return !state.m_drained_domains.empty() &&
           !fits_any_with(state, pool, demand, &accepts_attempts) &&
           fits_any_with(state, pool, demand, is_drained);
}

bool has_stranded_task(dispatch_state const & state, std::uint32_t kind,
                       job_spec const & spec)
{
    std::uint32_t const pool = state.m_kinds[kind].m_pool;
    resources const * checked = nullptr;
    for (task_spec const & task : spec.m_tasks)
    {
        // The tasks of a job are usually alike.
        if (checked != nullptr && *checked == task.m_demand)
        {
            continue;
        }
        checked = &task.m_demand;
        if (is_stranded(state, pool, task.m_demand))
        {
            return true;
        }
    }
    return false;
}

void check_stranded_later(dispatch_state & state) noexcept
{
    state.m_may_be_stranded = !state.m_drained_domains.empty();
}

void refuse_stranded(dispatch_state & state, effects & out)
{
    if (std::exchange(state.m_may_be_stranded, false))
    {
        refuse_stranded_jobs(state, out);
        refuse_stranded_forwarded(state, out);
    }
}

} // namespace internal

void set_drained_domains(dispatch_state & state, std::span<std::string const> domains)
{
    state.m_drained_domains = {domains.begin(), domains.end()};
    for (auto const & [name, id] : state.m_upstream_index)
    {
        upstream_state & upstream = state.m_upstreams[id];
        bool const drained =
            state.m_drained_domains.contains(upstream.m_definition.m_domain);
        if (std::exchange(upstream.m_domain_drained, drained) != drained)
        {
            internal::update_offered_capacity(state, id);
        }
    }
    internal::release_drained_reservations(state);
    internal::check_stranded_later(state);
    if (state.m_configuration)
    {
        internal::update_undrained_capacities(state);
        internal::recount_owned(state);
    }
}

std::size_t count_drained_upstreams(dispatch_state const & state)
{
    return static_cast<std::size_t>(
        std::count_if(state.m_upstreams.begin(), state.m_upstreams.end(),
                      [](upstream_state const & upstream)
                      { return upstream.m_owned && upstream.m_domain_drained; }));
}

} // namespace cassiahub::dispatch
