#include "dispatch/baseline.hpp"
#include "dispatch/reservation.hpp"
#include "dispatch/service_pools.hpp"

#include <string>
#include <utility>

namespace cassiahub::dispatch::internal
{

std::uint32_t pool_index(dispatch_state & state, std::string_view service)
{
    auto const found = state.m_pool_index.find(service);
    if (found != state.m_pool_index.end())
    {
        return found->second;
    }
    auto const id = static_cast<std::uint32_t>(state.m_pools.size());
    state.m_pools.emplace_back().m_service = service;
    state.m_pool_index.emplace(std::string(service), id);
    return id;
}

service_pool & pool_of(dispatch_state & state, std::uint32_t kind)
{
    return state.m_pools[state.m_kinds[kind].m_pool];
}

service_pool const & pool_of(dispatch_state const & state, std::uint32_t kind)
{
    return state.m_pools[state.m_kinds[kind].m_pool];
}

void move_kind(dispatch_state & state, std::uint32_t kind_id, std::uint32_t pool_id)
{
    kind_state & kind = state.m_kinds[kind_id];
    service_pool & from = state.m_pools[kind.m_pool];
    service_pool & to = state.m_pools[pool_id];
    for (auto const & [serial, job] : state.m_jobs)
    {
        if (job.m_kind == kind_id)
        {
            drop_reservation(state, job);
            if (from.m_late_jobs.erase(serial) > 0)
            {
                to.m_late_jobs.insert(serial);
            }
        }
    }
    for (auto const & [name, id] : state.m_upstream_index)
    {
        if (state.m_upstreams[id].m_pool == kind.m_pool)
        {
            unassign_tasks(state, id);
        }
    }
    put_kind(to.m_queue, kind_id, take_kind(from.m_queue, kind_id));
    from.m_queued_tasks -= kind.m_queued_tasks;
    to.m_queued_tasks += kind.m_queued_tasks;
    kind.m_pool = pool_id;
}

} // namespace cassiahub::dispatch::internal
