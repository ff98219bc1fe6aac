#include "dispatch/drained_domains.hpp"
#include "dispatch/service_pools.hpp"
#include "dispatch/shedding.hpp"
#include "dispatch/upstreams.hpp"
#include "dispatch/verdict.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>

#include <algorithm>
#include <chrono>

namespace cassiahub::dispatch
{

namespace internal
{

/// An answer later than this multiple of the kind's objective is useless to the caller.
constexpr int objective_multiple = 2;

/// \returns true when an upstream of the pool has had room for \p demand lately.
bool fitted_lately(service_pool const & pool, resources const & demand, time_point now)
{
    return std::any_of(pool.m_former_capacities.begin(), pool.m_former_capacities.end(),
                       [&demand, now](former_capacity const & item) {
                           return now < item.m_forgotten_at &&
                                  fits(demand, item.m_capacity);
                       });
}

std::error_code check_size(service_pool const & pool, job_spec const & spec,
                           time_point now)
{
    if (spec.m_tasks.empty() || spec.m_tasks.size() > max_tasks_per_job)
    {
        return job_errc::too_many_tasks;
    }
    bool may_fit_later = false;
    for (task_spec const & task : spec.m_tasks)
    {
        if (fits_some_upstream(pool, task.m_demand))
        {
            continue;
        }
        if (!fitted_lately(pool, task.m_demand, now))
        {
            return job_errc::never_fits;
        }
        may_fit_later = true;
    }
    return may_fit_later ? job_errc::overloaded : std::error_code();
}

std::error_code check_limits(dispatch_state const & state, job_spec const & spec,
                             kind_state const & kind)
{
    std::size_t const count = spec.m_tasks.size();
    if (kind.m_queued_tasks + count > kind.m_definition.m_queue_limit)
    {
        return job_errc::queue_full;
    }
    auto const tenant = state.m_tenant_index.find(spec.m_key.m_tenant);
    tenant_state const & tenant_entry = state.m_tenants[tenant->second];
    if (tenant_entry.m_open_tasks + count > tenant_entry.m_definition.m_max_tasks)
    {
        return job_errc::quota_exceeded;
    }
    return {};
}

/// \returns the kind's fair share of the owned slots of its service, in tasks, while it
/// competes with the kinds that have queued tasks now; at least one.
double guaranteed_slots(dispatch_state const & state, std::uint32_t kind_id)
{
    service_pool const & pool = pool_of(state, kind_id);
    kind_queue const & queue = pool.m_queue.m_kinds[kind_id];
    double const share = queue.m_share;
    double const active = static_cast<double>(pool.m_queue.m_active_share) +
                          (queue.m_item_count == 0 ? share : 0);
    return std::max(1.0, pool.m_total_task_capacity * share / active);
}

/// Estimates the time until the last queued task of the kind starts, \p added tasks
/// included, from the mean observed run time.
duration expected_wait(dispatch_state const & state, std::uint32_t kind_id,
                       std::size_t added)
{
    kind_state const & kind = state.m_kinds[kind_id];
    double const slots = guaranteed_slots(state, kind_id);
    double const before_last =
        std::max(0.0, static_cast<double>(kind.m_queued_tasks + added) - slots);
    double const mean =
        mean_seconds(kind.m_run_time, kind.m_definition.m_expected_run_time);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(before_last * mean / slots));
}

std::error_code check_deadline(dispatch_state const & state, job_spec const & spec,
                               std::uint32_t kind_id, time_point now)
{
    kind_state const & kind = state.m_kinds[kind_id];
    if (spec.m_time_limit <= duration::zero())
    {
        return job_errc::deadline_unreachable;
    }
    if (!is_established(kind.m_run_time, now) || kind.m_queued_tasks == 0)
    {
        return {};
    }
    config::work_kind const & definition = kind.m_definition;
    if (definition.m_objective_stretch > 0)
    {
        double const mean = mean_seconds(kind.m_run_time, definition.m_expected_run_time);
        duration const useful =
            objective_multiple *
            (std::chrono::duration_cast<duration>(
                 std::chrono::duration<double>(mean * definition.m_objective_stretch)) +
             definition.m_objective_slack);
        return expected_wait(state, kind_id, spec.m_tasks.size()) >= useful
                   ? job_errc::deadline_unreachable
                   : std::error_code();
    }
    duration const needed = expected_wait(state, kind_id, spec.m_tasks.size()) +
                            reserved_run_time(kind, spec.m_time_limit, now);
    return needed >= spec.m_time_limit ? job_errc::deadline_unreachable
                                       : std::error_code();
}

} // namespace internal

std::error_code check_admission(dispatch_state const & state, job_spec const & spec,
                                time_point now)
{
    if (!state.m_configuration)
    {
        return job_errc::no_configuration;
    }
    if (config::find_tenant(*state.m_configuration, spec.m_key.m_tenant) == nullptr)
    {
        return job_errc::unknown_tenant;
    }
    if (config::find_kind(*state.m_configuration, spec.m_kind) == nullptr)
    {
        return job_errc::unknown_kind;
    }
    std::uint32_t const kind = state.m_kind_index.at(spec.m_kind);
    if (std::error_code const error =
            internal::check_size(internal::pool_of(state, kind), spec, now))
    {
        return error;
    }
    if (internal::has_stranded_task(state, kind, spec))
    {
        return job_errc::overloaded;
    }
    if (std::error_code const error = internal::check_verdicts(state, spec))
    {
        return error;
    }
    if (std::error_code const error =
            internal::check_limits(state, spec, state.m_kinds[kind]))
    {
        return error;
    }
    return internal::check_deadline(state, spec, kind, now);
}

void record_refusal(dispatch_state & state, std::error_code error)
{
    auto const code = static_cast<std::size_t>(error.value());
    if (error.category() == job_category() && code < job_errc_count)
    {
        ++state.m_counters.m_jobs_by_error[code];
    }
}

} // namespace cassiahub::dispatch
