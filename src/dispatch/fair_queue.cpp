#include <cassiahub/dispatch/fair_queue.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace cassiahub::dispatch
{

namespace internal
{

bool is_schedulable(kind_queue const & kind)
{
    return kind.m_item_count > 0 && !kind.m_suspended;
}

/// Removes \p id from both ordered sets. Must precede every change of the kind's virtual
/// start, which is part of the key.
void unschedule_kind(fair_queue & queue, std::uint32_t id)
{
    kind_queue const & kind = queue.m_kinds[id];
    queue.m_eligible.erase({kind.m_urgency, kind.m_virtual_start, id});
    queue.m_ineligible.erase({kind.m_virtual_start, id});
}

void schedule_kind(fair_queue & queue, std::uint32_t id)
{
    kind_queue const & kind = queue.m_kinds[id];
    if (!is_schedulable(kind))
    {
        return;
    }
    if (kind.m_virtual_start <= queue.m_virtual_time)
    {
        queue.m_eligible.emplace(kind.m_urgency, kind.m_virtual_start, id);
    }
    else
    {
        queue.m_ineligible.emplace(kind.m_virtual_start, id);
    }
}

/// Moves the kinds whose virtual start is not after the virtual time to the eligible
/// set.
void promote_eligible_kinds(fair_queue & queue)
{
    while (!queue.m_ineligible.empty() &&
           queue.m_ineligible.begin()->first <= queue.m_virtual_time)
    {
        std::uint32_t const id = queue.m_ineligible.begin()->second;
        unschedule_kind(queue, id);
        schedule_kind(queue, id);
    }
}

void schedule_tenant(kind_queue & kind, std::uint32_t id)
{
    tenant_queue const & tenant = kind.m_tenants.at(id);
    if (!tenant.m_items.empty() && !tenant.m_suspended)
    {
        kind.m_tenants_by_start.emplace(tenant.m_virtual_start, id);
    }
}

void unschedule_tenant(kind_queue & kind, std::uint32_t id)
{
    kind.m_tenants_by_start.erase({kind.m_tenants.at(id).m_virtual_start, id});
}

void activate_kind(fair_queue & queue, kind_queue & kind)
{
    queue.m_active_share += kind.m_share;
    kind.m_virtual_start =
        std::max(kind.m_virtual_start, queue.m_virtual_time - queue.m_max_lag);
}

void advance_time(fair_queue & queue, kind_queue const & kind, double cost)
{
    // When the served item was the last of its kind, the kind's share has already been
    // subtracted from the active share; this service still counts it.
    std::uint64_t const active =
        queue.m_active_share + (kind.m_item_count == 0 ? kind.m_share : 0);
    queue.m_virtual_time += cost / static_cast<double>(active);
}

} // namespace internal

void set_kind(fair_queue & queue, std::uint32_t id, std::uint32_t share,
              std::uint32_t urgency)
{
    if (id >= queue.m_kinds.size())
    {
        queue.m_kinds.resize(id + 1);
    }
    internal::unschedule_kind(queue, id);
    kind_queue & kind = queue.m_kinds[id];
    if (kind.m_item_count > 0)
    {
        queue.m_active_share += share;
        queue.m_active_share -= kind.m_share;
    }
    kind.m_share = share;
    kind.m_urgency = urgency;
    internal::schedule_kind(queue, id);
}

kind_queue take_kind(fair_queue & queue, std::uint32_t id)
{
    internal::unschedule_kind(queue, id);
    kind_queue taken = std::exchange(queue.m_kinds[id], {});
    if (taken.m_item_count > 0)
    {
        queue.m_active_share -= taken.m_share;
    }
    return taken;
}

void put_kind(fair_queue & queue, std::uint32_t id, kind_queue taken)
{
    if (id >= queue.m_kinds.size())
    {
        queue.m_kinds.resize(id + 1);
    }
    BOOST_ASSERT(queue.m_kinds[id].m_item_count == 0);
    taken.m_virtual_start = queue.m_virtual_time;
    if (taken.m_item_count > 0)
    {
        queue.m_active_share += taken.m_share;
    }
    queue.m_kinds[id] = std::move(taken);
    internal::schedule_kind(queue, id);
}

void insert_item(fair_queue & queue, std::uint32_t id, std::uint32_t tenant_id,
                 std::uint32_t weight, item_order order, queue_item item)
{
    kind_queue & kind = queue.m_kinds[id];
    tenant_queue & tenant = kind.m_tenants[tenant_id];
    tenant.m_weight = weight;
    if (tenant.m_items.empty())
    {
        tenant.m_virtual_start =
            std::max(tenant.m_virtual_start, kind.m_tenant_virtual_time);
    }
    tenant.m_items.emplace(order, item);
    internal::schedule_tenant(kind, tenant_id);
    if (kind.m_item_count == 0)
    {
        internal::activate_kind(queue, kind);
    }
    ++kind.m_item_count;
    internal::schedule_kind(queue, id);
}

void remove_item(fair_queue & queue, std::uint32_t id, std::uint32_t tenant_id,
                 item_order order)
{
    kind_queue & kind = queue.m_kinds[id];
    tenant_queue & tenant = kind.m_tenants.at(tenant_id);
    std::size_t const removed = tenant.m_items.erase(order);
    BOOST_ASSERT(removed == 1);
    static_cast<void>(removed);
    if (tenant.m_items.empty())
    {
        internal::unschedule_tenant(kind, tenant_id);
    }
    if (--kind.m_item_count == 0)
    {
        internal::unschedule_kind(queue, id);
        queue.m_active_share -= kind.m_share;
    }
}

std::optional<std::uint32_t> next_kind(fair_queue & queue)
{
    if (queue.m_eligible.empty() && !queue.m_ineligible.empty())
    {
        // No kind is eligible: the virtual time jumps to the earliest virtual start, so
        // that the queue stays work-conserving.
        queue.m_virtual_time = queue.m_ineligible.begin()->first;
    }
    internal::promote_eligible_kinds(queue);
    if (queue.m_eligible.empty())
    {
        return std::nullopt;
    }
    return std::get<2>(*queue.m_eligible.begin());
}

std::optional<std::uint32_t> next_tenant(kind_queue const & kind)
{
    if (kind.m_tenants_by_start.empty())
    {
        return std::nullopt;
    }
    return kind.m_tenants_by_start.begin()->second;
}

void charge_service(fair_queue & queue, std::uint32_t id, std::uint32_t tenant_id,
                    double cost)
{
    internal::unschedule_kind(queue, id);
    kind_queue & kind = queue.m_kinds[id];
    internal::unschedule_tenant(kind, tenant_id);
    tenant_queue & tenant = kind.m_tenants.at(tenant_id);
    kind.m_tenant_virtual_time =
        std::max(kind.m_tenant_virtual_time, tenant.m_virtual_start);
    tenant.m_virtual_start += cost / tenant.m_weight;
    internal::schedule_tenant(kind, tenant_id);
    kind.m_virtual_start += cost / kind.m_share;
    internal::advance_time(queue, kind, cost);
    internal::schedule_kind(queue, id);
}

void correct_charge(fair_queue & queue, std::uint32_t id, double difference)
{
    internal::unschedule_kind(queue, id);
    kind_queue & kind = queue.m_kinds[id];
    kind.m_virtual_start += difference / kind.m_share;
    internal::schedule_kind(queue, id);
}

void suspend_kind(fair_queue & queue, std::uint32_t id)
{
    internal::unschedule_kind(queue, id);
    queue.m_kinds[id].m_suspended = true;
}

void resume_kind(fair_queue & queue, std::uint32_t id)
{
    queue.m_kinds[id].m_suspended = false;
    internal::schedule_kind(queue, id);
}

void suspend_tenant(fair_queue & queue, std::uint32_t id, std::uint32_t tenant)
{
    internal::unschedule_tenant(queue.m_kinds[id], tenant);
    queue.m_kinds[id].m_tenants.at(tenant).m_suspended = true;
}

void resume_tenant(fair_queue & queue, std::uint32_t id, std::uint32_t tenant)
{
    queue.m_kinds[id].m_tenants.at(tenant).m_suspended = false;
    internal::schedule_tenant(queue.m_kinds[id], tenant);
}

} // namespace cassiahub::dispatch
