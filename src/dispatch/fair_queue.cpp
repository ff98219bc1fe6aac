#include <cassiahub/dispatch/fair_queue.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace cassiahub::dispatch
{

namespace internal
{

bool is_listed(kind_queue const & kind)
{
    return kind.m_item_count > 0 && !kind.m_set_aside;
}

/// Takes \p id out of the ordered sets. Must precede every change of its start.
void unlist_kind(fair_queue & queue, std::uint32_t id)
{
    kind_queue const & kind = queue.m_kinds[id];
    queue.m_inside.erase({kind.m_urgency, kind.m_start, id});
    queue.m_outside.erase({kind.m_start, id});
}

void list_kind(fair_queue & queue, std::uint32_t id)
{
    kind_queue const & kind = queue.m_kinds[id];
    if (!is_listed(kind))
    {
        return;
    }
    if (kind.m_start <= queue.m_time)
    {
        queue.m_inside.emplace(kind.m_urgency, kind.m_start, id);
    }
    else
    {
        queue.m_outside.emplace(kind.m_start, id);
    }
}

/// Moves the kinds whose start the virtual time has reached into the inside set.
void admit_due_kinds(fair_queue & queue)
{
    while (!queue.m_outside.empty() && queue.m_outside.begin()->first <= queue.m_time)
    {
        std::uint32_t const id = queue.m_outside.begin()->second;
        unlist_kind(queue, id);
        list_kind(queue, id);
    }
}

void list_tenant(kind_queue & kind, std::uint32_t id)
{
    tenant_queue const & tenant = kind.m_tenants.at(id);
    if (!tenant.m_items.empty() && !tenant.m_set_aside)
    {
        kind.m_ready.emplace(tenant.m_start, id);
    }
}

void unlist_tenant(kind_queue & kind, std::uint32_t id)
{
    kind.m_ready.erase({kind.m_tenants.at(id).m_start, id});
}

void begin_activity(fair_queue & queue, kind_queue & kind)
{
    queue.m_active_share += kind.m_share;
    kind.m_start = std::max(kind.m_start, queue.m_time - queue.m_credit);
}

void advance_time(fair_queue & queue, kind_queue const & kind, double cost)
{
    // The share of a kind that has just become idle still counts for its last service.
    std::uint64_t const active =
        queue.m_active_share + (kind.m_item_count == 0 ? kind.m_share : 0);
    queue.m_time += cost / static_cast<double>(active);
}

} // namespace internal

void set_kind(fair_queue & queue, std::uint32_t id, std::uint32_t share,
              std::uint32_t urgency)
{
    if (id >= queue.m_kinds.size())
    {
        queue.m_kinds.resize(id + 1);
    }
    internal::unlist_kind(queue, id);
    kind_queue & kind = queue.m_kinds[id];
    if (kind.m_item_count > 0)
    {
        queue.m_active_share += share;
        queue.m_active_share -= kind.m_share;
    }
    kind.m_share = share;
    kind.m_urgency = urgency;
    internal::list_kind(queue, id);
}

void insert_item(fair_queue & queue, std::uint32_t id, std::uint32_t tenant_id,
                 std::uint32_t weight, item_order order, queue_item item)
{
    kind_queue & kind = queue.m_kinds[id];
    tenant_queue & tenant = kind.m_tenants[tenant_id];
    tenant.m_weight = weight;
    if (tenant.m_items.empty())
    {
        tenant.m_start = std::max(tenant.m_start, kind.m_tenant_time);
    }
    tenant.m_items.emplace(order, item);
    internal::list_tenant(kind, tenant_id);
    if (kind.m_item_count == 0)
    {
        internal::begin_activity(queue, kind);
    }
    ++kind.m_item_count;
    internal::list_kind(queue, id);
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
        internal::unlist_tenant(kind, tenant_id);
    }
    if (--kind.m_item_count == 0)
    {
        internal::unlist_kind(queue, id);
        queue.m_active_share -= kind.m_share;
    }
}

std::optional<std::uint32_t> next_kind(fair_queue & queue)
{
    if (queue.m_inside.empty() && !queue.m_outside.empty())
    {
        // No kind is inside its share: the queue stays work-conserving by moving the
        // virtual time to the earliest start.
        queue.m_time = queue.m_outside.begin()->first;
    }
    internal::admit_due_kinds(queue);
    if (queue.m_inside.empty())
    {
        return std::nullopt;
    }
    return std::get<2>(*queue.m_inside.begin());
}

std::optional<std::uint32_t> next_tenant(kind_queue const & kind)
{
    if (kind.m_ready.empty())
    {
        return std::nullopt;
    }
    return kind.m_ready.begin()->second;
}

void charge_service(fair_queue & queue, std::uint32_t id, std::uint32_t tenant_id,
                    double cost)
{
    internal::unlist_kind(queue, id);
    kind_queue & kind = queue.m_kinds[id];
    internal::unlist_tenant(kind, tenant_id);
    tenant_queue & tenant = kind.m_tenants.at(tenant_id);
    kind.m_tenant_time = std::max(kind.m_tenant_time, tenant.m_start);
    tenant.m_start += cost / tenant.m_weight;
    internal::list_tenant(kind, tenant_id);
    kind.m_start += cost / kind.m_share;
    internal::advance_time(queue, kind, cost);
    internal::list_kind(queue, id);
}

void correct_charge(fair_queue & queue, std::uint32_t id, double difference)
{
    internal::unlist_kind(queue, id);
    kind_queue & kind = queue.m_kinds[id];
    kind.m_start += difference / kind.m_share;
    internal::list_kind(queue, id);
}

void set_aside_kind(fair_queue & queue, std::uint32_t id)
{
    internal::unlist_kind(queue, id);
    queue.m_kinds[id].m_set_aside = true;
}

void restore_kind(fair_queue & queue, std::uint32_t id)
{
    queue.m_kinds[id].m_set_aside = false;
    internal::list_kind(queue, id);
}

void set_aside_tenant(fair_queue & queue, std::uint32_t id, std::uint32_t tenant)
{
    internal::unlist_tenant(queue.m_kinds[id], tenant);
    queue.m_kinds[id].m_tenants.at(tenant).m_set_aside = true;
}

void restore_tenant(fair_queue & queue, std::uint32_t id, std::uint32_t tenant)
{
    queue.m_kinds[id].m_tenants.at(tenant).m_set_aside = false;
    internal::list_tenant(queue.m_kinds[id], tenant);
}

} // namespace cassiahub::dispatch
