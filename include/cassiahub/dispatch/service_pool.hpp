#ifndef CASSIAHUB_DISPATCH_SERVICE_POOL_HPP
#define CASSIAHUB_DISPATCH_SERVICE_POOL_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/resources.hpp>
#include <cassiahub/core/time.hpp>
#include <cassiahub/dispatch/capacity_index.hpp>
#include <cassiahub/dispatch/fair_queue.hpp>
#include <cassiahub/dispatch/health.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cassiahub::dispatch
{

/// Index that denotes no upstream.
constexpr std::uint32_t no_upstream = 0xffff'ffff;
/// Index that denotes no pool.
constexpr std::uint32_t no_pool = 0xffff'ffff;

/// An upstream reserved for one job whose next task has a large demand.
struct reservation
{
    std::uint64_t m_job = 0; ///< serial; 0 when nothing is reserved
    std::uint32_t m_upstream = no_upstream;
    resources m_demand;
};

/// A capacity that no upstream has any more. It counts as one that an upstream may have
/// again until it is forgotten.
struct former_capacity
{
    resources m_capacity;
    time_point m_forgotten_at;
};

/// Moving average of the demand of arriving tasks.
struct typical_demand
{
    double m_millicores = 0;
    double m_memory_mib = 0;
    double m_accelerators = 0;
    double m_counted_millicores = 0; ///< value of m_millicores at the last recount
};

/// Queue, capacity and statistics of one service. The tasks of a kind run only on
/// upstreams of its service, so the kinds of different services compete for nothing, and
/// the load or the failures of one service do not affect decisions for another.
struct service_pool
{
    std::string m_service; ///< empty: kinds and upstreams that name no service

    fair_queue m_queue; ///< kinds by their index in dispatch_state::m_kinds
    std::size_t m_queued_tasks = 0;
    std::set<std::uint64_t> m_late_jobs; ///< serials of jobs whose m_late is set
    typical_demand m_typical_demand;

    // Leaves and identifiers are indexes of dispatch_state::m_upstreams.
    capacity_index m_free_capacity;  ///< free slots and resources of usable upstreams
    capacity_index m_total_capacity; ///< total resources of usable upstreams
    /// Tasks of typical demand that fit into m_free_capacity.
    std::uint32_t m_fitting_tasks = 0;
    /// Tasks of typical demand that fit into m_total_capacity.
    std::uint32_t m_total_task_capacity = 0;
    std::uint32_t m_offered_slots = 0; ///< sum of the slots in m_free_capacity
    std::uint32_t m_usable_slots = 0;  ///< sum of the slots in m_total_capacity
    // Owned upstreams outside the drained domains.
    std::uint32_t m_owned_slots = 0;         ///< their slots
    std::uint32_t m_owned_count = 0;         ///< their number
    std::uint32_t m_ejected_count = 0;       ///< how many of them are ejected or probing
    std::set<std::uint32_t> m_probe_targets; ///< upstreams that may get a probe now
    reservation m_reservation;
    /// In the last advance() a task of this instance found no capacity, here or at a
    /// peer.
    bool m_short_of_capacity = false;
    result_window m_all_results; ///< results of all owned upstreams
    /// Capacities in the configuration that no other capacity covers in every dimension.
    std::vector<resources> m_largest_capacities;
    /// The same without the upstreams of drained domains; empty while none is drained.
    std::vector<resources> m_undrained_capacities;
    /// Earlier elements of m_largest_capacities that none of them covers now.
    std::vector<former_capacity> m_former_capacities;

    /// Peers with free slots: (in another domain, hash of the instance, instance).
    std::set<std::tuple<bool, std::size_t, instance_id>> m_forward_targets;
};

} // namespace cassiahub::dispatch

#endif
