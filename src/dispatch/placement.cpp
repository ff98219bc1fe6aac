#include "dispatch/forwarding.hpp"
#include "dispatch/neighbours.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/reservation.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cassiahub::dispatch::internal
{

namespace
{

/// Ratio of the slowness of two upstreams above which one is clearly faster: the run
/// times of single tasks vary.
constexpr double slowness_ratio_threshold = 1.5;
/// Relative difference of the penalties for sharing below which it is not distinguished.
constexpr double penalty_tolerance = 0.1;
/// Number of upstreams up to which one placement compares all that have capacity.
constexpr std::size_t max_compared_upstreams = 32;
/// Upstreams that one placement compares otherwise (power of two choices).
constexpr int random_draws = 2;

/// What a placement on one upstream would mean.
struct candidate
{
    std::uint32_t m_upstream = no_upstream;
    double m_slowness = 1;
    /// Part of the upstream's resources that would remain free, in the scarcest
    /// dimension.
    double m_remainder = 1;
    std::uint32_t m_taken_slots = 0;
    /// Slowdown that sharing the upstream is expected to cause; see sharing_penalty().
    double m_penalty = 1;
};

double remaining_part(std::uint32_t free, std::uint32_t demand, std::uint32_t capacity)
{
    return capacity == 0 ? 1.0 : double(free - demand) / double(capacity);
}

candidate make_candidate(dispatch_state const & state, placement_request const & request,
                         std::uint32_t id)
{
    service_pool const & pool = state.m_pools[request.m_pool];
    upstream_state const & upstream = state.m_upstreams[id];
    resources const & free =
        pool.m_free_capacity.m_nodes[pool.m_free_capacity.m_leaves + id].m_free;
    resources const & capacity = upstream.m_definition.m_capacity;
    double const remainder =
        std::min({remaining_part(free.m_millicores, request.m_demand.m_millicores,
                                 capacity.m_millicores),
                  remaining_part(free.m_memory_mib, request.m_demand.m_memory_mib,
                                 capacity.m_memory_mib),
                  remaining_part(free.m_accelerators, request.m_demand.m_accelerators,
                                 capacity.m_accelerators)});
    return {id, upstream.m_health.m_slowness, remainder,
            upstream.m_running + upstream.m_withheld,
            sharing_penalty(state, request.m_kind, upstream)};
}

/// \returns true when tasks of typical demand use up the resources of the upstreams
/// before their slots, so that it matters which tasks share an upstream.
bool is_bound_by_resources(service_pool const & pool)
{
    return pool.m_total_task_capacity < pool.m_usable_slots;
}

/// Prefers upstreams that are fast enough for the objective; where none is, or without an
/// objective, one that is clearly faster. Among equals the best fit follows, which leaves
/// others whole for tasks that need one, or where slots are scarcer than resources the
/// upstream with fewer tasks. Interference decides between upstreams that are both fast
/// enough or both not, so it never makes a task wait.
bool is_better(service_pool const & pool, placement_request const & request,
               candidate const & left, candidate const & right)
{
    bool const left_suits = left.m_slowness <= request.m_max_slowness;
    bool const right_suits = right.m_slowness <= request.m_max_slowness;
    if (left_suits != right_suits)
    {
        return left_suits;
    }
    double const apart = 1 + penalty_tolerance;
    if (left.m_penalty > apart * right.m_penalty ||
        right.m_penalty > apart * left.m_penalty)
    {
        return left.m_slowness * left.m_penalty < right.m_slowness * right.m_penalty;
    }
    bool const has_objective = std::isfinite(request.m_max_slowness);
    bool const differ = left.m_slowness > slowness_ratio_threshold * right.m_slowness ||
                        right.m_slowness > slowness_ratio_threshold * left.m_slowness;
    if (differ && !(has_objective && left_suits))
    {
        return left.m_slowness < right.m_slowness;
    }
    return is_bound_by_resources(pool) ? left.m_remainder < right.m_remainder
                                       : left.m_taken_slots < right.m_taken_slots;
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

/// Calls \p visit with upstreams of the pool that have capacity for the task: all of them
/// where the fit matters, or kinds are kept apart, and the instance owns few; two random
/// ones otherwise.
template <typename Visit>
void visit_candidates(dispatch_state const & state, placement_request const & request,
                      std::uint32_t avoid, random_source & random, Visit visit)
{
    service_pool const & pool = state.m_pools[request.m_pool];
    capacity_index const & index = pool.m_free_capacity;
    std::size_t const count = std::min(state.m_upstreams.size(), index.m_leaves);
    bool const compares_all = is_bound_by_resources(pool) || state.m_pairs_apart > 0;
    if (count > max_compared_upstreams || !compares_all)
    {
        for (int draw = 0; draw < random_draws; ++draw)
        {
            if (auto const id = find_leaf(index, request.m_demand, avoid, random))
            {
                visit(*id);
            }
        }
        return;
    }
    std::size_t const first = count > 0 ? random() % count : 0;
    for (std::size_t step = 0; step < count; ++step)
    {
        auto const id = static_cast<std::uint32_t>((first + step) % count);
        offered_capacity const & offered = index.m_nodes[index.m_leaves + id];
        if (id != avoid && offered.m_slots > 0 && fits(request.m_demand, offered.m_free))
        {
            visit(id);
        }
    }
}

std::optional<placement_choice> pick_best(dispatch_state const & state,
                                          placement_request const & request,
                                          std::uint32_t avoid, random_source & random)
{
    service_pool const & pool = state.m_pools[request.m_pool];
    candidate best;
    candidate best_alone; // with no regard to the kinds that run there
    visit_candidates(state, request, avoid, random,
                     [&](std::uint32_t id)
                     {
                         candidate next = make_candidate(state, request, id);
                         if (best.m_upstream == no_upstream ||
                             is_better(pool, request, next, best))
                         {
                             best = next;
                         }
                         next.m_penalty = 1;
                         if (best_alone.m_upstream == no_upstream ||
                             is_better(pool, request, next, best_alone))
                         {
                             best_alone = next;
                         }
                     });
    bool const suits = best.m_slowness <= request.m_max_slowness;
    return best.m_upstream != no_upstream && (suits || !request.m_may_wait)
               ? std::optional(placement_choice{best.m_upstream,
                                                best.m_upstream != best_alone.m_upstream})
               : std::nullopt;
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

double max_slowness(job_state const & job, time_point now) noexcept
{
    // The expected run time is that of an upstream of mean speed, with an error of its
    // own.
    constexpr double margin = 0.9;
    if (job.m_on_time_until == time_point())
    {
        return std::numeric_limits<double>::infinity();
    }
    double const slack = std::chrono::duration<double>(job.m_on_time_until - now).count();
    double const run = std::chrono::duration<double>(job.m_expected_run).count();
    return margin * (1 + slack / std::max(run, 0.001));
}

bool may_probe(config::work_kind const & kind, std::uint32_t failures) noexcept
{
    return kind.m_repeatable || (kind.m_restartable && failures == 0);
}

std::optional<placement_choice> pick_upstream(dispatch_state const & state,
                                              placement_request const & request,
                                              random_source & random)
{
    if (request.m_suspected)
    {
        if (auto const idle = pick_idle(state, request, random))
        {
            return placement_choice{*idle};
        }
    }
    else if (auto const probe = pick_probe(state, request))
    {
        return placement_choice{*probe};
    }
    auto const found = pick_best(state, request, request.m_avoid, random);
    if (found || request.m_avoid == no_upstream || request.m_avoid_strictly)
    {
        return found;
    }
    return pick_best(state, request, no_upstream, random);
}

bool any_capacity(dispatch_state const & state, std::uint32_t pool_id)
{
    service_pool const & pool = state.m_pools[pool_id];
    return pool.m_offered_slots > 0 || !pool.m_probe_targets.empty() ||
           !pool.m_forward_targets.empty() || reservation_has_capacity(state, pool) ||
           may_wait_at_peers(state, pool_id);
}

} // namespace cassiahub::dispatch::internal
