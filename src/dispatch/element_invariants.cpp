#include "dispatch/invariants.hpp"

#include <algorithm>

namespace cassiahub::dispatch::internal
{

namespace
{

/// Numbers of timers that concern one upstream.
struct upstream_timers
{
    std::uint32_t m_withheld = 0;
    std::uint32_t m_probes = 0;
};

/// \returns true when \p upstream is in the state of an unused element.
bool is_unused(upstream_state const & upstream)
{
    return upstream.m_pool == no_pool && !upstream.m_owned && upstream.m_running == 0 &&
           upstream.m_withheld == 0 && upstream.m_fitting == 0 &&
           upstream.m_task_capacity == 0 && upstream.m_definition.m_name.empty() &&
           upstream.m_assigned.empty() && upstream.m_occupants.m_residents.empty();
}

/// \returns true when \p upstream is in the pool of its service, whose indexes cover it.
bool is_in_its_pool(dispatch_state const & state, upstream_state const & upstream,
                    std::size_t id)
{
    if (upstream.m_pool >= state.m_pools.size())
    {
        return false;
    }
    service_pool const & pool = state.m_pools[upstream.m_pool];
    return pool.m_service == upstream.m_definition.m_service &&
           id < pool.m_free_capacity.m_leaves && id < pool.m_total_capacity.m_leaves;
}

/// \returns for each upstream whether it is listed by name.
std::vector<bool> list_used(dispatch_state const & state, violation_names & violations)
{
    std::vector<bool> used(state.m_upstreams.size());
    for (auto const & [name, id] : state.m_upstream_index)
    {
        bool const is_listed_once = id < used.size() && !used[id] &&
                                    state.m_upstreams[id].m_definition.m_name == name;
        add_if_violated(violations, !is_listed_once, "used_element_has_name");
        if (id < used.size())
        {
            used[id] = true;
        }
    }
    return used;
}

void check_free_list(dispatch_state const & state, std::vector<bool> const & used,
                     violation_names & violations)
{
    std::vector<std::uint32_t> unused = state.m_free_upstream_indexes;
    std::sort(unused.begin(), unused.end());
    bool const repeated =
        std::adjacent_find(unused.begin(), unused.end()) != unused.end();
    bool const wrong =
        std::any_of(unused.begin(), unused.end(),
                    [&used](std::uint32_t id) { return id >= used.size() || used[id]; });
    add_if_violated(violations,
                    repeated || wrong ||
                        unused.size() + state.m_upstream_index.size() != used.size(),
                    "element_used_or_free");
}

void check_timers(dispatch_state const & state, violation_names & violations)
{
    std::vector<upstream_timers> counted(state.m_upstreams.size());
    for (timer const & due : state.m_timers)
    {
        bool const withheld = due.m_kind == timer_kind::withheld_slot_expiry;
        if (!withheld && due.m_kind != timer_kind::upstream_probe)
        {
            continue;
        }
        std::uint64_t const id = due.m_subject.m_serial;
        if (id >= counted.size())
        {
            add_if_violated(violations, true, "timer_has_upstream");
            continue;
        }
        ++(withheld ? counted[id].m_withheld : counted[id].m_probes);
        add_if_violated(violations,
                        !withheld &&
                            due.m_at != state.m_upstreams[id].m_health.m_probe_at,
                        "ejected_upstream_has_probe_timer");
    }
    for (std::size_t id = 0; id < counted.size(); ++id)
    {
        upstream_state const & upstream = state.m_upstreams[id];
        bool const ejected = upstream.m_health.m_phase == health_phase::ejected;
        add_if_violated(violations, counted[id].m_withheld != upstream.m_withheld,
                        "withheld_slot_has_timer");
        add_if_violated(violations, counted[id].m_probes != (ejected ? 1U : 0U),
                        "ejected_upstream_has_probe_timer");
    }
}

/// Checks that the tasks that wait for an upstream are of kinds of its service.
void check_assigned(dispatch_state const & state, upstream_state const & upstream,
                    violation_names & violations)
{
    for (assigned_task const & waiting : upstream.m_assigned)
    {
        auto const job = state.m_jobs.find(waiting.m_job);
        add_if_violated(violations,
                        job != state.m_jobs.end() &&
                            state.m_kinds[job->second.m_kind].m_pool != upstream.m_pool,
                        "assigned_task_in_its_pool");
    }
}

} // namespace

void check_elements(dispatch_state const & state, violation_names & violations)
{
    std::vector<bool> const used = list_used(state, violations);
    check_free_list(state, used, violations);
    for (std::size_t id = 0; id < used.size(); ++id)
    {
        upstream_state const & upstream = state.m_upstreams[id];
        add_if_violated(violations, used[id] && !is_in_its_pool(state, upstream, id),
                        "used_element_in_pool_of_its_service");
        add_if_violated(violations, !used[id] && !is_unused(upstream),
                        "free_element_in_no_pool");
        bool const has_runs = id < state.m_interference.m_blocks.size() &&
                              !state.m_interference.m_blocks[id].m_runs.empty();
        add_if_violated(violations, !used[id] && has_runs, "free_element_without_runs");
        check_assigned(state, upstream, violations);
    }
    for (auto const & [id, attempt] : state.m_attempts)
    {
        add_if_violated(
            violations,
            attempt.m_upstream != no_upstream &&
                (attempt.m_upstream >= used.size() || !used[attempt.m_upstream]),
            "attempt_on_used_element");
    }
    check_timers(state, violations);
}

} // namespace cassiahub::dispatch::internal
