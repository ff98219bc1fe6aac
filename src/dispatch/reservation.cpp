#include "dispatch/reservation.hpp"
#include "dispatch/service_pools.hpp"
#include "dispatch/upstreams.hpp"

#include <utility>

namespace cassiahub::dispatch::internal
{

namespace
{

bool has_capacity(upstream_state const & upstream, resources const & demand)
{
    resources needed = upstream.m_used;
    add_resources(needed, demand);
    return upstream.m_suspects == 0 &&
           upstream.m_running + upstream.m_withheld < upstream.m_definition.m_slots &&
           fits(needed, upstream.m_definition.m_capacity);
}

} // namespace

void release_reservation(dispatch_state & state, service_pool & pool)
{
    std::uint32_t const id = std::exchange(pool.m_reservation, {}).m_upstream;
    update_offered_capacity(state, id);
}

void reserve_if_starved(dispatch_state & state, job_state & job, resources const & demand,
                        time_point now, random_source & random)
{
    service_pool & pool = pool_of(state, job.m_kind);
    bool const has_free_slots = pool.m_offered_slots > 0;
    if (!has_free_slots || pool.m_reservation.m_job != 0)
    {
        return;
    }
    if (job.m_blocked_since == time_point{})
    {
        job.m_blocked_since = now;
    }
    duration const delay = state.m_configuration->m_dispatch.m_reservation_delay;
    if (now - job.m_blocked_since < delay)
    {
        return;
    }
    if (auto const id = find_leaf(pool.m_total_capacity, demand, no_upstream, random))
    {
        pool.m_reservation = {job.m_serial, *id, demand};
        update_offered_capacity(state, *id);
    }
}

std::optional<std::uint32_t>
reserved_upstream(dispatch_state & state, job_state const & job, resources const & demand)
{
    service_pool & pool = pool_of(state, job.m_kind);
    if (pool.m_reservation.m_job != job.m_serial)
    {
        return std::nullopt;
    }
    std::uint32_t const id = pool.m_reservation.m_upstream;
    upstream_state const & upstream = state.m_upstreams[id];
    if (!is_usable(upstream) || !fits(demand, upstream.m_definition.m_capacity))
    {
        release_reservation(state, pool);
        return std::nullopt;
    }
    return has_capacity(upstream, demand) ? std::optional(id) : std::nullopt;
}

void drop_reservation(dispatch_state & state, job_state const & job)
{
    service_pool & pool = pool_of(state, job.m_kind);
    if (pool.m_reservation.m_job == job.m_serial)
    {
        release_reservation(state, pool);
    }
}

bool reservation_has_capacity(dispatch_state const & state, service_pool const & pool)
{
    reservation const & held = pool.m_reservation;
    return held.m_job != 0 &&
           has_capacity(state.m_upstreams[held.m_upstream], held.m_demand);
}

} // namespace cassiahub::dispatch::internal
