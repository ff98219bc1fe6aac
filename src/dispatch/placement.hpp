#ifndef CASSIAHUB_DISPATCH_PLACEMENT_HPP
#define CASSIAHUB_DISPATCH_PLACEMENT_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/dispatch/state.hpp>

#include <limits>
#include <optional>

namespace cassiahub::dispatch::internal
{

/// Demand of a task and the constraints on its placement.
struct placement_request
{
    std::uint32_t m_pool = 0; ///< pool of the service that runs the task
    resources m_demand;
    bool m_may_probe = false; ///< may run on a probing upstream
    /// Upstream to use only if no other has capacity.
    std::uint32_t m_avoid = no_upstream;
    bool m_avoid_strictly = false; ///< true: m_avoid is excluded altogether
    bool m_suspected = false;      ///< to run apart from other tasks, if possible
    /// Slowness of an upstream up to which the job still meets its objective.
    double m_max_slowness = std::numeric_limits<double>::infinity();
    /// true: waiting for an upstream that is fast enough is better than using another.
    bool m_may_wait = false;
    std::uint32_t m_kind = 0; ///< kind of the task
};

/// Upstream chosen for a task.
struct placement_choice
{
    std::uint32_t m_upstream = no_upstream;
    /// Another one would have been chosen but for the kinds that run there.
    bool m_moved = false;
};

/// \returns the slowness of an upstream up to which a task of \p job that starts at \p
/// now meets the objective; infinity without an objective.
double max_slowness(job_state const & job, time_point now) noexcept;

/// \returns true when a task of \p kind that has failed \p failures times may run on a
/// probing upstream, where it is likely to fail.
bool may_probe(config::work_kind const & kind, std::uint32_t failures) noexcept;

/// \returns an owned upstream with capacity for the task, if there is one.
std::optional<placement_choice> pick_upstream(dispatch_state const & state,
                                              placement_request const & request,
                                              random_source & random);

/// \returns true when a task queued in \p pool may find capacity on an owned upstream or
/// at a peer. A cheap check that avoids a search of the queue.
bool any_capacity(dispatch_state const & state, std::uint32_t pool);

} // namespace cassiahub::dispatch::internal

#endif
