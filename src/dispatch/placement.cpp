#include "dispatch/forwarding.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/reservation.hpp"

#include <algorithm>

namespace cassiahub::dispatch::internal
{

namespace
{

/// \returns true when \p left is clearly faster than \p right or, at similar speed, has
/// fewer slots in use.
bool is_better(upstream_state const & left, upstream_state const & right)
{
    constexpr double slowness_ratio_threshold = 1.5;
    double const left_slowness = left.m_health.m_slowness;
    double const right_slowness = right.m_health.m_slowness;
    if (left_slowness > slowness_ratio_threshold * right_slowness ||
        right_slowness > slowness_ratio_threshold * left_slowness)
    {
        return left_slowness < right_slowness;
    }
    return left.m_running + left.m_withheld < right.m_running + right.m_withheld;
}

std::optional<std::uint32_t> pick_probe(dispatch_state const & state,
                                        placement_request const & request)
{
    if (!request.m_may_probe)
    {
        return std::nullopt;
    }
    auto const accepts = [&](std::uint32_t id)
    {
        upstream_state const & upstream = state.m_upstreams[id];
        resources needed = upstream.m_used;
        add_resources(needed, request.m_demand);
        return id != request.m_avoid && fits(needed, upstream.m_definition.m_capacity);
    };
    std::set<std::uint32_t> const & targets =
        state.m_pools[request.m_pool].m_probe_targets;
    auto const found = std::find_if(targets.begin(), targets.end(), accepts);
    return found != targets.end() ? std::optional(*found) : std::nullopt;
}

/// \returns the better of two random upstreams with capacity (power of two choices).
std::optional<std::uint32_t> pick_of_two(dispatch_state const & state,
                                         placement_request const & request,
                                         random_source & random)
{
    capacity_index const & index = state.m_pools[request.m_pool].m_free_capacity;
    auto const first = find_leaf(index, request.m_demand, request.m_avoid, random);
    if (!first)
    {
        return first;
    }
    auto const second = find_leaf(index, request.m_demand, request.m_avoid, random);
    return second && is_better(state.m_upstreams[*second], state.m_upstreams[*first])
               ? second
               : first;
}

/// Upstreams that one search for an idle one examines.
constexpr std::size_t max_examined_upstreams = 1024;

/// \returns an upstream that runs nothing and offers all of its slots, other than the one
/// to avoid.
std::optional<std::uint32_t> pick_idle(dispatch_state const & state,
                                       placement_request const & request,
                                       random_source & random)
{
    service_pool const & pool = state.m_pools[request.m_pool];
    std::size_t const count =
        std::min(state.m_upstreams.size(), pool.m_free_capacity.m_leaves);
    if (count == 0 || pool.m_offered_slots == 0)
    {
        return std::nullopt;
    }
    std::size_t const first = random() % count;
    for (std::size_t step = 0; step < std::min(count, max_examined_upstreams); ++step)
    {
        std::size_t const id = (first + step) % count;
        upstream_state const & upstream = state.m_upstreams[id];
        auto const & offered =
            pool.m_free_capacity.m_nodes[pool.m_free_capacity.m_leaves + id];
        if (upstream.m_running == 0 && offered.m_slots > 0 &&
            offered.m_slots == upstream.m_definition.m_slots && id != request.m_avoid &&
            fits(request.m_demand, offered.m_free))
        {
            return static_cast<std::uint32_t>(id);
        }
    }
    return std::nullopt;
}

} // namespace

bool may_probe(config::work_kind const & kind, std::uint32_t failures) noexcept
{
    return kind.m_repeatable || (kind.m_restartable && failures == 0);
}

std::optional<std::uint32_t> pick_upstream(dispatch_state const & state,
                                           placement_request const & request,
                                           random_source & random)
{
    if (request.m_suspected)
    {
        if (auto const idle = pick_idle(state, request, random))
        {
            return idle;
        }
    }
    else if (auto const probe = pick_probe(state, request))
    {
        return probe;
    }
    auto const found = pick_of_two(state, request, random);
    if (found || request.m_avoid == no_upstream || request.m_avoid_strictly)
    {
        return found;
    }
    return find_leaf(state.m_pools[request.m_pool].m_free_capacity, request.m_demand,
                     no_upstream, random);
}

bool any_capacity(dispatch_state const & state, std::uint32_t pool_id)
{
    service_pool const & pool = state.m_pools[pool_id];
    return pool.m_offered_slots > 0 || !pool.m_probe_targets.empty() ||
           !pool.m_forward_targets.empty() || reservation_has_capacity(state, pool) ||
           may_wait_at_peers(state, pool_id);
}

} // namespace cassiahub::dispatch::internal
