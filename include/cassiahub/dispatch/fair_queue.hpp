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

/// Position of an item in its tenant's queue. A peer's task comes before local jobs,
/// because its owner has already taken it from a queue once.
struct item_order
{
    bool m_local = true;
    std::uint64_t m_serial = 0;
    auto operator<=>(item_order const &) const = default;
};

/// A job with tasks that wait, which is the serial of the item's order, or one task that
/// a peer has forwarded.
struct queue_item
{
    attempt_id m_forwarded; ///< set when the item's order is not local
};

/// Items of one tenant inside one kind.
struct tenant_queue
{
    double m_start = 0; ///< virtual time at which the next service of the tenant starts
    std::uint32_t m_weight = 1;
    bool m_set_aside = false;
    std::map<item_order, queue_item> m_items;
};

/// Items of one kind.
struct kind_queue
{
    double m_start = 0; ///< virtual time at which the next service of the kind starts
    double m_tenant_time = 0;
    std::uint32_t m_share = 1;
    std::uint32_t m_urgency = 9;
    bool m_set_aside = false;
    std::unordered_map<std::uint32_t, tenant_queue> m_tenants;
    std::set<std::pair<double, std::uint32_t>> m_ready; ///< tenants by start
    std::size_t m_item_count = 0;
};

/// Weighted fair queue over kinds, then over tenants inside a kind. A kind is inside its
/// share while its start is not after the virtual time; among these the most urgent is
/// next, otherwise the kind with the earliest start.
struct fair_queue
{
    double m_time = 0;
    /// Virtual time by which an idle kind may lag, that is, the burst it may make.
    double m_credit = 0;
    std::uint64_t m_active_share = 0;
    std::vector<kind_queue> m_kinds;
    std::set<std::tuple<std::uint32_t, double, std::uint32_t>> m_inside;
    std::set<std::pair<double, std::uint32_t>> m_outside;
};

/// Sets share and urgency of kind \p kind; adds the kind when it is new.
void set_kind(fair_queue & queue, std::uint32_t kind, std::uint32_t share,
              std::uint32_t urgency);

void insert_item(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant,
                 std::uint32_t weight, item_order order, queue_item item);

/// \pre the item is present
void remove_item(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant,
                 item_order order);

/// \returns the kind to serve next that is not set aside.
std::optional<std::uint32_t> next_kind(fair_queue & queue);

/// \returns the tenant of \p kind to serve next that is not set aside.
std::optional<std::uint32_t> next_tenant(kind_queue const & kind);

/// Accounts for service of \p cost slot-seconds that begins.
void charge_service(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant,
                    double cost);

/// Corrects an earlier charge by \p difference slot-seconds, which may be negative.
void correct_charge(fair_queue & queue, std::uint32_t kind, double difference);

/// Keeps a kind or a tenant from being chosen until it is restored.
void set_aside_kind(fair_queue & queue, std::uint32_t kind);
void restore_kind(fair_queue & queue, std::uint32_t kind);
void set_aside_tenant(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant);
void restore_tenant(fair_queue & queue, std::uint32_t kind, std::uint32_t tenant);

} // namespace cassiahub::dispatch

#endif
