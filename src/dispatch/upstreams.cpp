#include "dispatch/baseline.hpp"
#include "dispatch/drained_domains.hpp"
#include "dispatch/neighbours.hpp"
#include "dispatch/objective.hpp"
#include "dispatch/service_pools.hpp"
#include "dispatch/upstreams.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/interference/observer.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cassiahub::dispatch
{

namespace internal
{

/// Time for which a job that an upstream had room for is not refused as one that never
/// fits.
constexpr duration capacity_memory = std::chrono::minutes(10);

bool accepts_attempts(upstream_state const & upstream) noexcept
{
    return upstream.m_owned && upstream.m_available && !upstream.m_leaving &&
           !upstream.m_domain_drained && !upstream.m_definition.m_draining;
}

bool is_usable(upstream_state const & upstream) noexcept
{
    return accepts_attempts(upstream) &&
           upstream.m_health.m_phase == health_phase::healthy;
}

bool fits_any(std::span<resources const> largest, resources const & demand)
{
    return std::any_of(largest.begin(), largest.end(),
                       [&demand](resources const & capacity)
                       { return fits(demand, capacity); });
}

bool fits_some_upstream(service_pool const & pool, resources const & demand)
{
    return fits_any(pool.m_largest_capacities, demand);
}

offered_capacity compute_offered_capacity(upstream_state const & upstream)
{
    std::uint32_t const taken = upstream.m_running + upstream.m_withheld;
    std::uint32_t const slots = upstream.m_definition.m_slots;
    if (!is_usable(upstream) || upstream.m_suspects > 0 || taken >= slots ||
        !fits(upstream.m_used, upstream.m_definition.m_capacity))
    {
        return {};
    }
    offered_capacity capacity{slots - taken, upstream.m_definition.m_capacity};
    subtract_resources(capacity.m_free, upstream.m_used);
    return capacity.m_free == resources{} ? offered_capacity{} : capacity;
}

bool accepts_probe(upstream_state const & upstream)
{
    return accepts_attempts(upstream) &&
           upstream.m_health.m_phase == health_phase::probing &&
           !upstream.m_health.m_probe_running && upstream.m_suspects == 0 &&
           upstream.m_running < upstream.m_definition.m_slots;
}

/// Sets what upstream \p id contributes to its pool: \p free to new attempts and \p total
/// to its capacity.
void set_contribution(dispatch_state & state, std::uint32_t id, offered_capacity free,
                      offered_capacity total)
{
    upstream_state & upstream = state.m_upstreams[id];
    BOOST_ASSERT(upstream.m_pool != no_pool);
    service_pool & pool = state.m_pools[upstream.m_pool];
    BOOST_ASSERT(id < pool.m_total_capacity.m_leaves);
    pool.m_usable_slots -=
        pool.m_total_capacity.m_nodes[pool.m_total_capacity.m_leaves + id].m_slots;
    pool.m_usable_slots += total.m_slots;
    set_leaf(pool.m_total_capacity, id, total);
    pool.m_offered_slots -=
        pool.m_free_capacity.m_nodes[pool.m_free_capacity.m_leaves + id].m_slots;
    pool.m_offered_slots += free.m_slots;
    pool.m_fitting_tasks -= upstream.m_fitting;
    upstream.m_fitting = count_fitting(pool, free.m_free, free.m_slots);
    pool.m_fitting_tasks += upstream.m_fitting;
    pool.m_total_task_capacity -= upstream.m_task_capacity;
    upstream.m_task_capacity = count_fitting(pool, total.m_free, total.m_slots);
    pool.m_total_task_capacity += upstream.m_task_capacity;
    set_leaf(pool.m_free_capacity, id, free);
}

void update_offered_capacity(dispatch_state & state, std::uint32_t id)
{
    upstream_state const & upstream = state.m_upstreams[id];
    BOOST_ASSERT(upstream.m_pool != no_pool);
    service_pool & pool = state.m_pools[upstream.m_pool];
    bool const reserved =
        pool.m_reservation.m_job != 0 && pool.m_reservation.m_upstream == id;
    set_contribution(
        state, id, reserved ? offered_capacity{} : compute_offered_capacity(upstream),
        is_usable(upstream) ? offered_capacity{upstream.m_definition.m_slots,
                                               upstream.m_definition.m_capacity}
                            : offered_capacity{});
    if (accepts_probe(upstream))
    {
        pool.m_probe_targets.insert(id);
    }
    else
    {
        pool.m_probe_targets.erase(id);
    }
}

/// Adds upstream \p id to the pool of its service.
/// \pre the upstream is in no pool
void join_pool(dispatch_state & state, std::uint32_t id)
{
    upstream_state & upstream = state.m_upstreams[id];
    BOOST_ASSERT(upstream.m_pool == no_pool);
    upstream.m_pool = pool_index(state, upstream.m_definition.m_service);
    service_pool & pool = state.m_pools[upstream.m_pool];
    grow_index(pool.m_free_capacity, state.m_upstreams.size());
    grow_index(pool.m_total_capacity, state.m_upstreams.size());
}

/// Ends everything that the pool of upstream \p id holds of it: its contribution, the
/// reservation of it and the tasks that wait for it. The upstream is then in no pool.
void leave_pool(dispatch_state & state, std::uint32_t id)
{
    service_pool & pool = state.m_pools[state.m_upstreams[id].m_pool];
    unassign_tasks(state, id);
    if (pool.m_reservation.m_job != 0 && pool.m_reservation.m_upstream == id)
    {
        pool.m_reservation = {};
    }
    set_contribution(state, id, {}, {});
    pool.m_probe_targets.erase(id);
    state.m_upstreams[id].m_pool = no_pool;
}

/// Removes an upstream that is no longer owned and has no running attempt or withheld
/// slot; its index is reused.
void remove_if_unowned(dispatch_state & state, std::uint32_t id)
{
    upstream_state & upstream = state.m_upstreams[id];
    if (upstream.m_owned || upstream.m_running > 0 || upstream.m_withheld > 0)
    {
        return;
    }
    leave_pool(state, id);
    state.m_timers.erase(
        {upstream.m_health.m_probe_at, timer_kind::upstream_probe, {0, id}});
    state.m_upstream_index.erase(upstream.m_definition.m_name);
    upstream = {};
    interference::forget_upstream(state.m_interference, id);
    state.m_free_upstream_indexes.push_back(id);
}

/// Replaces the definition of an upstream, which may name another service: its running
/// attempts continue, new ones are those of the new service.
void set_definition(dispatch_state & state, std::uint32_t id,
                    config::upstream const & definition)
{
    upstream_state & upstream = state.m_upstreams[id];
    bool const moves = upstream.m_definition.m_service != definition.m_service;
    if (moves)
    {
        leave_pool(state, id);
    }
    upstream.m_definition = definition;
    upstream.m_domain_drained = state.m_drained_domains.contains(definition.m_domain);
    if (moves)
    {
        join_pool(state, id);
    }
    update_offered_capacity(state, id);
}

void occupy_slot(dispatch_state & state, std::uint32_t id,
                 running_attempt const & attempt)
{
    upstream_state & upstream = state.m_upstreams[id];
    ++upstream.m_running;
    upstream.m_suspects += attempt.m_suspected ? 1 : 0;
    add_resources(upstream.m_used, attempt.m_demand);
    update_offered_capacity(state, id);
}

void vacate_slot(dispatch_state & state, std::uint32_t id,
                 running_attempt const & attempt)
{
    upstream_state & upstream = state.m_upstreams[id];
    BOOST_ASSERT(upstream.m_running > 0);
    --upstream.m_running;
    upstream.m_suspects -= attempt.m_suspected ? 1 : 0;
    subtract_resources(upstream.m_used, attempt.m_demand);
    update_offered_capacity(state, id);
    remove_if_unowned(state, id);
}

void withhold_slot(dispatch_state & state, std::uint32_t id, time_point until)
{
    ++state.m_upstreams[id].m_withheld;
    state.m_timers.insert(
        {until, timer_kind::withheld_slot_expiry, {state.m_next_serial++, id}});
    update_offered_capacity(state, id);
}

void release_withheld_slot(dispatch_state & state, std::uint32_t id)
{
    --state.m_upstreams[id].m_withheld;
    update_offered_capacity(state, id);
    remove_if_unowned(state, id);
}

std::uint32_t add_upstream(dispatch_state & state, config::upstream const & definition)
{
    auto id = static_cast<std::uint32_t>(state.m_upstreams.size());
    if (!state.m_free_upstream_indexes.empty())
    {
        id = state.m_free_upstream_indexes.back();
        state.m_free_upstream_indexes.pop_back();
    }
    else
    {
        state.m_upstreams.emplace_back();
    }
    state.m_upstreams[id].m_definition = definition;
    state.m_upstreams[id].m_domain_drained =
        state.m_drained_domains.contains(definition.m_domain);
    join_pool(state, id);
    state.m_upstream_index.emplace(definition.m_name, id);
    return id;
}

/// Ends the ownership of an upstream. Its running attempts continue and occupy their
/// slots until they end.
void end_ownership(dispatch_state & state, std::uint32_t id)
{
    state.m_upstreams[id].m_owned = false;
    unassign_tasks(state, id);
    update_offered_capacity(state, id);
    remove_if_unowned(state, id);
}

void begin_ownership(dispatch_state & state, config::upstream const & definition)
{
    auto const found = state.m_upstream_index.find(definition.m_name);
    std::uint32_t const id = found == state.m_upstream_index.end()
                                 ? add_upstream(state, definition)
                                 : found->second;
    state.m_upstreams[id].m_owned = true;
    update_offered_capacity(state, id);
}

void recount_owned(dispatch_state & state)
{
    for (service_pool & pool : state.m_pools)
    {
        pool.m_owned_slots = 0;
        pool.m_owned_count = 0;
        pool.m_ejected_count = 0;
    }
    for (upstream_state const & upstream : state.m_upstreams)
    {
        if (upstream.m_owned && !upstream.m_domain_drained)
        {
            service_pool & pool = state.m_pools[upstream.m_pool];
            bool const ejected = upstream.m_health.m_phase != health_phase::healthy;
            pool.m_owned_slots += upstream.m_definition.m_slots;
            ++pool.m_owned_count;
            pool.m_ejected_count += ejected ? 1 : 0;
        }
    }
    std::vector<std::uint64_t> shares(state.m_pools.size());
    for (config::work_kind const & kind : state.m_configuration->m_kinds)
    {
        shares[state.m_pool_index.find(kind.m_service)->second] += kind.m_share;
    }
    double const window =
        std::chrono::duration<double>(state.m_configuration->m_dispatch.m_share_window)
            .count();
    for (std::size_t id = 0; id < state.m_pools.size(); ++id)
    {
        service_pool & pool = state.m_pools[id];
        pool.m_queue.m_max_lag =
            window * static_cast<double>(pool.m_owned_slots) /
            static_cast<double>(std::max<std::uint64_t>(shares[id], 1));
    }
}

/// Keeps the elements of \p before that no capacity covers any more.
void remember_capacities(service_pool & pool, std::vector<resources> const & before,
                         time_point now)
{
    std::vector<former_capacity> & former = pool.m_former_capacities;
    std::erase_if(former, [now](former_capacity const & item)
                  { return item.m_forgotten_at <= now; });
    for (resources const & capacity : before)
    {
        if (!fits_any(pool.m_largest_capacities, capacity))
        {
            std::erase_if(former, [&capacity](former_capacity const & item)
                          { return fits(item.m_capacity, capacity); });
            former.push_back({capacity, now + capacity_memory});
        }
    }
}

/// Adds \p capacity to \p largest, which keeps only capacities that no other one covers
/// in every dimension.
void add_capacity(std::vector<resources> & largest, resources const & capacity)
{
    if (!fits_any(largest, capacity))
    {
        std::erase_if(largest, [&capacity](resources const & other)
                      { return fits(other, capacity); });
        largest.push_back(capacity);
    }
}

/// Stores for each service the capacities that no other capacity covers in every
/// dimension. Fleets have few machine types, so the list is short.
void update_largest_capacities(dispatch_state & state, time_point now)
{
    std::vector<std::vector<resources>> before;
    for (service_pool & pool : state.m_pools)
    {
        before.push_back(std::exchange(pool.m_largest_capacities, {}));
    }
    for (config::upstream const & upstream : state.m_configuration->m_upstreams)
    {
        auto const pool = state.m_pool_index.find(upstream.m_service);
        if (pool == state.m_pool_index.end())
        {
            continue; // no kind runs there
        }
        add_capacity(state.m_pools[pool->second].m_largest_capacities,
                     upstream.m_capacity);
    }
    for (std::size_t id = 0; id < before.size(); ++id)
    {
        remember_capacities(state.m_pools[id], before[id], now);
    }
}

void update_undrained_capacities(dispatch_state & state)
{
    for (service_pool & pool : state.m_pools)
    {
        pool.m_undrained_capacities.clear();
    }
    if (state.m_drained_domains.empty())
    {
        return;
    }
    for (config::upstream const & upstream : state.m_configuration->m_upstreams)
    {
        auto const pool = state.m_pool_index.find(upstream.m_service);
        if (pool != state.m_pool_index.end() &&
            !state.m_drained_domains.contains(upstream.m_domain))
        {
            add_capacity(state.m_pools[pool->second].m_undrained_capacities,
                         upstream.m_capacity);
        }
    }
}

void update_definitions(dispatch_state & state)
{
    for (config::upstream const & definition : state.m_configuration->m_upstreams)
    {
        auto const found = state.m_upstream_index.find(definition.m_name);
        if (found != state.m_upstream_index.end())
        {
            set_definition(state, found->second, definition);
        }
    }
}

void update_kinds(dispatch_state & state)
{
    for (config::work_kind const & definition : state.m_configuration->m_kinds)
    {
        auto const next = static_cast<std::uint32_t>(state.m_kinds.size());
        auto const [entry, added] =
            state.m_kind_index.try_emplace(definition.m_name, next);
        if (added)
        {
            state.m_kinds.emplace_back();
        }
        kind_state & kind = state.m_kinds[entry->second];
        kind.m_definition = definition;
        std::uint32_t const pool = pool_index(state, definition.m_service);
        if (added)
        {
            kind.m_pool = pool;
        }
        else if (kind.m_pool != pool)
        {
            move_kind(state, entry->second, pool);
        }
        set_kind(state.m_pools[pool].m_queue, entry->second, definition.m_share,
                 definition.m_urgency);
    }
}

void update_tenants(dispatch_state & state)
{
    for (config::tenant const & definition : state.m_configuration->m_tenants)
    {
        auto const next = static_cast<std::uint32_t>(state.m_tenants.size());
        auto const [entry, added] =
            state.m_tenant_index.try_emplace(definition.m_name, next);
        if (added)
        {
            state.m_tenants.emplace_back();
        }
        state.m_tenants[entry->second].m_definition = definition;
    }
}

void fill_retry_budget(dispatch_state & state)
{
    config::dispatch_settings const & settings = state.m_configuration->m_dispatch;
    bool const allowed = settings.m_retry_budget_percent > 0;
    state.m_retry_budget.m_hundredths =
        allowed ? std::uint64_t(settings.m_retry_reserve) * 100 : 0;
}

} // namespace internal

void apply_configuration(dispatch_state & state,
                         std::shared_ptr<config::fleet_configuration const> configuration,
                         time_point now)
{
    bool const first = !state.m_configuration;
    state.m_configuration = std::move(configuration);
    if (first)
    {
        internal::fill_retry_budget(state);
    }
    internal::update_kinds(state);
    internal::configure_interference(state);
    internal::update_tenants(state);
    internal::update_definitions(state);
    internal::update_largest_capacities(state, now);
    internal::update_undrained_capacities(state);
    internal::recount_owned(state);
    internal::check_stranded_later(state);
}

void set_owned_upstreams(dispatch_state & state, std::span<std::string const> names)
{
    std::vector<std::uint32_t> lost;
    for (auto const & [name, id] : state.m_upstream_index)
    {
        if (!std::binary_search(names.begin(), names.end(), name))
        {
            lost.push_back(id);
        }
    }
    for (std::uint32_t const id : lost)
    {
        internal::end_ownership(state, id);
    }
    for (config::upstream const & definition : state.m_configuration->m_upstreams)
    {
        if (std::binary_search(names.begin(), names.end(), definition.m_name))
        {
            internal::begin_ownership(state, definition);
        }
    }
    internal::recount_owned(state);
    internal::check_stranded_later(state);
}

void set_upstream_leaving(dispatch_state & state, std::string_view upstream, bool leaving)
{
    auto const found = state.m_upstream_index.find(upstream);
    if (found != state.m_upstream_index.end())
    {
        state.m_upstreams[found->second].m_leaving = leaving;
        internal::update_offered_capacity(state, found->second);
    }
}

void set_upstream_available(dispatch_state & state, std::string_view upstream,
                            bool available)
{
    auto const found = state.m_upstream_index.find(upstream);
    if (found != state.m_upstream_index.end())
    {
        state.m_upstreams[found->second].m_available = available;
        internal::update_offered_capacity(state, found->second);
        internal::check_stranded_later(state);
    }
}

} // namespace cassiahub::dispatch
