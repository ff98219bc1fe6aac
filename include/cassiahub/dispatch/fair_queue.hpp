#ifndef CASSIAHUB_DISPATCH_FAIR_QUEUE_HPP
#define CASSIAHUB_DISPATCH_FAIR_QUEUE_HPP

#include <cassiahub/core/identifiers.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cassiahub::dispatch
{

/// Sort key of an item in its tenant's queue. A task forwarded by a peer precedes local
/// jobs, because it has already waited in that peer's queue.
struct item_order
{
    bool m_local = true;
    std::uint64_t m_serial = 0;
    auto operator<=>(item_order const &) const = default;
};

/// One entry of a tenant's queue: a local job with queued tasks, identified by
/// item_order::m_serial, or one task that a peer forwarded.
struct queue_item
{
    attempt_id m_forwarded; ///< set if item_order::m_local is false
};

/// Queue of one tenant within a kind.
struct tenant_queue
{
    /// Virtual time at which the next service of the tenant starts.
    double m_virtual_start = 0;
    std::uint32_t m_weight = 1;
    bool m_suspended = false; ///< not chosen until resumed
    std::map<item_order, queue_item> m_items;
};

/// Queues of all tenants of one kind.
struct kind_queue
{
    /// Virtual time at which the next service of the kind starts.
    double m_virtual_start = 0;
    double m_tenant_virtual_time = 0; ///< virtual time among the tenants of the kind
    std::uint32_t m_share = 1;
    std::uint32_t m_urgency = 9; ///< lower is more urgent
    bool m_suspended = false;    ///< not chosen until resumed
    std::unordered_map<std::uint32_t, tenant_queue> m_tenants;
    /// (virtual start, tenant) of the tenants with items that are not suspended.
    std::set<std::pair<double, std::uint32_t>> m_tenants_by_start;
    std::size_t m_item_count = 0;
};

/// Weighted fair queue over kinds, then over the tenants of a kind. A kind is eligible
/// while its virtual start is not after the virtual time. The most urgent eligible kind
/// is served next; if none is eligible, the kind with the earliest virtual start.
struct fair_queue
{
    double m_virtual_time = 0; ///< in slot-seconds per share
    /// Largest lag of a kind behind m_virtual_time when it becomes active; limits the
    /// burst that an idle kind may run.
    double m_max_lag = 0;
    std::uint64_t m_active_share = 0; ///< sum of the shares of kinds with items
    std::vector<kind_queue> m_kinds;
    /// (urgency, virtual start, kind) of the eligible kinds with items.
    std::set<std::tuple<std::uint32_t, double, std::uint32_t>> m_eligible;
    /// (virtual start, kind) of the kinds with items that are not eligible.
    std::set<std::pair<double, std::uint32_t>> m_ineligible;
};

/// Sets the share and urgency of \p kind; adds the kind if it is new.
void set_kind(fair_queue & queue, std::uint32_t kind, std::uint32_t share,
              std::uint32_t urgency);

/// Removes \p kind with its items from \p queue and returns it.
kind_queue take_kind(fair_queue & queue, std::uint32_t kind);

/// Adds a kind that take_kind() has returned. It starts at the virtual time of \p queue.
/// \pre \p queue has no items of \p kind
void put_kind(fair_queue & queue, std::uint32_t kind, kind_queue taken);

/// Adds an item to the queue of \p tenant within \p kind and sets the tenant's weight.
void insert_item(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant,
                 std::uint32_t weight, item_order order, queue_item item);

/// \pre the item is in the queue
void remove_item(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant,
                 item_order order);

/// \returns the kind to serve next, if any that is not suspended has items.
std::optional<std::uint32_t> next_kind(fair_queue & queue);

/// \returns the tenant of \p kind to serve next, if any that is not suspended has items.
std::optional<std::uint32_t> next_tenant(kind_queue const & kind);

/// Charges the expected cost, in slot-seconds, of a task that starts.
void charge_service(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant,
                    double cost);

/// Corrects an earlier charge by \p difference slot-seconds, which may be negative.
void correct_charge(fair_queue & queue, std::uint32_t kind, double difference);

/// Excludes a kind or a tenant from selection until it is resumed.
void suspend_kind(fair_queue & queue, std::uint32_t kind);
void resume_kind(fair_queue & queue, std::uint32_t kind);
void suspend_tenant(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant);
void resume_tenant(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant);

} // namespace cassiahub::dispatch

#endif
