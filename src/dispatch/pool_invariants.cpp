#include "dispatch/invariants.hpp"

#include <algorithm>
#include <optional>

namespace cassiahub::dispatch::internal
{

namespace
{

/// Totals of a pool, recomputed from its members.
struct recomputed_totals
{
    std::uint32_t m_fitting_tasks = 0;
    std::uint32_t m_total_task_capacity = 0;
    std::uint32_t m_owned_slots = 0;
    std::uint32_t m_owned_count = 0;
    std::uint32_t m_ejected_count = 0;
    bool operator==(recomputed_totals const &) const = default;
};

recomputed_totals recompute_totals(dispatch_state const & state, std::size_t pool_id)
{
    recomputed_totals totals;
    for (upstream_state const & upstream : state.m_upstreams)
    {
        if (upstream.m_pool != pool_id)
        {
            continue;
        }
        totals.m_fitting_tasks += upstream.m_fitting;
        totals.m_total_task_capacity += upstream.m_task_capacity;
        if (upstream.m_owned && !upstream.m_domain_drained)
        {
            bool const ejected = upstream.m_health.m_phase != health_phase::healthy;
            totals.m_owned_slots += upstream.m_definition.m_slots;
            ++totals.m_owned_count;
            totals.m_ejected_count += ejected ? 1 : 0;
        }
    }
    return totals;
}

bool is_member(dispatch_state const & state, std::size_t pool_id, std::size_t id)
{
    return id < state.m_upstreams.size() && state.m_upstreams[id].m_pool == pool_id;
}

/// \returns the sum of the slots of the leaves, or nothing when one that is no member of
/// the pool has some.
std::optional<std::uint32_t> sum_slots(dispatch_state const & state, std::size_t pool_id,
                                       capacity_index const & index)
{
    std::uint32_t slots = 0;
    for (std::size_t id = 0; id < index.m_leaves; ++id)
    {
        std::uint32_t const offered = index.m_nodes[index.m_leaves + id].m_slots;
        if (offered > 0 && !is_member(state, pool_id, id))
        {
            return std::nullopt;
        }
        slots += offered;
    }
    return slots;
}

bool is_probe_target(dispatch_state const & state, std::size_t pool_id, std::uint32_t id)
{
    return is_member(state, pool_id, id) && state.m_upstreams[id].m_owned &&
           state.m_upstreams[id].m_health.m_phase == health_phase::probing;
}

} // namespace

void check_pools(dispatch_state const & state, violation_names & violations)
{
    for (std::size_t pool_id = 0; pool_id < state.m_pools.size(); ++pool_id)
    {
        service_pool const & pool = state.m_pools[pool_id];
        add_if_violated(violations,
                        sum_slots(state, pool_id, pool.m_free_capacity) !=
                            pool.m_offered_slots,
                        "offered_slots_of_members");
        add_if_violated(violations,
                        sum_slots(state, pool_id, pool.m_total_capacity) !=
                            pool.m_usable_slots,
                        "usable_slots_of_members");
        recomputed_totals const stored{pool.m_fitting_tasks, pool.m_total_task_capacity,
                                       pool.m_owned_slots, pool.m_owned_count,
                                       pool.m_ejected_count};
        add_if_violated(violations, recompute_totals(state, pool_id) != stored,
                        "pool_totals_counted");
        add_if_violated(violations,
                        !std::all_of(pool.m_probe_targets.begin(),
                                     pool.m_probe_targets.end(),
                                     [&](std::uint32_t id)
                                     { return is_probe_target(state, pool_id, id); }),
                        "probe_target_in_pool");
        add_if_violated(violations,
                        pool.m_reservation.m_job != 0 &&
                            !is_member(state, pool_id, pool.m_reservation.m_upstream),
                        "reserved_upstream_in_pool");
    }
}

} // namespace cassiahub::dispatch::internal
