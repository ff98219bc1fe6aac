#include "dispatch/attempts.hpp"
#include "dispatch/baseline.hpp"
#include "dispatch/drained_domains.hpp"
#include "dispatch/forwarding.hpp"
#include "dispatch/jobs.hpp"
#include "dispatch/service_pools.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace cassiahub::dispatch
{

namespace internal
{

using peer_key = std::tuple<bool, std::size_t, instance_id>;

/// Interval between two tasks forwarded to the same busy peer: about the time in which a
/// few upstreams finish a task.
constexpr duration busy_forward_interval = std::chrono::milliseconds(10);
/// Number of peers that one search compares in the local domain; it compares as many in
/// other domains.
constexpr int compared_peers = 4;
/// Time for which a duplicate of a declined forward is recognised. A message is not
/// repeated later than the session in which it was sent, which ends after 2 s of silence.
constexpr duration declined_memory = std::chrono::seconds(5);

peer_key make_peer_key(dispatch_state const & state, peer_capacity const & peer)
{
    bool const other_domain = !state.m_domain.empty() && peer.m_domain != state.m_domain;
    return {other_domain, std::hash<instance_id>()(peer.m_instance), peer.m_instance};
}

peer_load const * find_load(peer_capacity const & peer, std::string_view service)
{
    auto const found = std::find_if(peer.m_loads.begin(), peer.m_loads.end(),
                                    [service](peer_load const & load)
                                    { return load.m_service == service; });
    return found != peer.m_loads.end() ? &*found : nullptr;
}

/// Adds a peer to the forwarding targets of each service for which it has free slots.
void add_targets(dispatch_state & state, peer_capacity const & peer)
{
    for (peer_load const & load : peer.m_loads)
    {
        if (load.m_free_slots > 0)
        {
            state.m_pools[pool_index(state, load.m_service)].m_forward_targets.insert(
                make_peer_key(state, peer));
        }
    }
}

void remove_targets(dispatch_state & state, peer_capacity const & peer)
{
    for (peer_load const & load : peer.m_loads)
    {
        state.m_pools[pool_index(state, load.m_service)].m_forward_targets.erase(
            make_peer_key(state, peer));
    }
}

bool may_fit(peer_load const & load, resources const & demand)
{
    return load.m_largest_free == resources{} || fits(demand, load.m_largest_free);
}

/// \returns the peer with the most free slots and capacity for \p demand among a few
/// peers, starting from a random one; all are in the local domain or all in other
/// domains.
instance_id const * pick_in_tier(dispatch_state const & state, service_pool const & pool,
                                 bool other_domain, resources const & demand,
                                 random_source & random)
{
    auto const & targets = pool.m_forward_targets;
    auto const first = targets.lower_bound({other_domain, 0, {}});
    auto next = targets.lower_bound({other_domain, random(), {}});
    instance_id const * best = nullptr;
    std::uint32_t most = 0;
    for (int count = 0; count < compared_peers; ++count)
    {
        if (next == targets.end() || std::get<0>(*next) != other_domain)
        {
            next = first;
        }
        if (next == targets.end() || std::get<0>(*next) != other_domain)
        {
            break;
        }
        peer_load const * const load =
            find_load(state.m_peers.at(std::get<2>(*next)).m_capacity, pool.m_service);
        if (load->m_free_slots > most && may_fit(*load, demand))
        {
            best = &std::get<2>(*next);
            most = load->m_free_slots;
        }
        ++next;
    }
    return best;
}

instance_id const * pick_peer(dispatch_state const & state, std::uint32_t pool_id,
                              resources const & demand, random_source & random)
{
    service_pool const & pool = state.m_pools[pool_id];
    instance_id const * const local = pick_in_tier(state, pool, false, demand, random);
    return local != nullptr ? local : pick_in_tier(state, pool, true, demand, random);
}

/// \returns true when no kind of the same service is more urgent than \p kind and some
/// kind is less urgent.
bool is_most_urgent(dispatch_state const & state, std::uint32_t kind)
{
    config::work_kind const & definition = state.m_kinds[kind].m_definition;
    bool any_less_urgent = false;
    for (config::work_kind const & other : state.m_configuration->m_kinds)
    {
        bool const competes = other.m_service == definition.m_service;
        if (competes && other.m_urgency < definition.m_urgency)
        {
            return false;
        }
        any_less_urgent |= competes && other.m_urgency > definition.m_urgency;
    }
    return any_less_urgent;
}

bool may_wait_at_peers(dispatch_state const & state, std::uint32_t pool)
{
    if (state.m_peers.empty() || state.m_pools[pool].m_queued_tasks == 0)
    {
        return false;
    }
    for (std::uint32_t kind = 0; kind < state.m_kinds.size(); ++kind)
    {
        if (state.m_kinds[kind].m_pool == pool &&
            state.m_kinds[kind].m_queued_tasks > 0 &&
            state.m_kinds[kind].m_definition.m_objective_stretch > 0 &&
            is_most_urgent(state, kind))
        {
            return true;
        }
    }
    return false;
}

instance_id const * pick_busy_peer(dispatch_state & state, std::uint32_t kind,
                                   time_point now)
{
    if (state.m_kinds[kind].m_definition.m_objective_stretch <= 0 ||
        !is_most_urgent(state, kind))
    {
        return nullptr;
    }
    std::string const & service = pool_of(state, kind).m_service;
    peer_state * best = nullptr;
    for (auto & [instance, peer] : state.m_peers)
    {
        bool const is_earlier =
            best == nullptr || peer.m_next_busy_forward < best->m_next_busy_forward;
        if (peer.m_capacity.m_accepts_tasks && peer.m_next_busy_forward <= now &&
            is_earlier && find_load(peer.m_capacity, service) != nullptr)
        {
            best = &peer;
        }
    }
    if (best == nullptr)
    {
        return nullptr;
    }
    best->m_next_busy_forward = now + busy_forward_interval;
    return &best->m_capacity.m_instance;
}

void forward_attempt(dispatch_state & state, instance_id const & peer,
                     attempt_start start, effects & out)
{
    peer_state & target = state.m_peers.at(peer);
    for (peer_load & load : target.m_capacity.m_loads)
    {
        if (load.m_service == start.m_service && load.m_free_slots > 0 &&
            --load.m_free_slots == 0)
        {
            state.m_pools[pool_index(state, load.m_service)].m_forward_targets.erase(
                make_peer_key(state, target.m_capacity));
        }
    }
    target.m_forwarded.insert(start.m_attempt);
    ++state.m_counters.m_forwards;
    out.m_forwards.push_back({target.m_capacity.m_instance, std::move(start)});
}

void remove_peer_attempt(dispatch_state & state, instance_id const & peer,
                         attempt_id const & id)
{
    auto const found = state.m_peers.find(peer);
    if (found != state.m_peers.end())
    {
        found->second.m_forwarded.erase(id);
    }
}

forwarded_task dequeue_forwarded(dispatch_state & state, attempt_id const & id)
{
    auto const found = state.m_forwarded.find(id);
    forwarded_task task = std::move(found->second);
    state.m_forwarded.erase(found);
    remove_item(pool_of(state, task.m_kind).m_queue, task.m_kind, task.m_tenant,
                {false, task.m_serial});
    adjust_queued_count(state, task.m_kind, -1);
    state.m_timers.erase({task.m_start.m_send_before, timer_kind::forwarded_expiry, id});
    auto const peer = state.m_peers.find(task.m_from);
    if (peer != state.m_peers.end())
    {
        peer->second.m_accepted.erase(id);
    }
    return task;
}

void refuse_forwarded(dispatch_state & state, attempt_id const & id, effects & out)
{
    forwarded_task const task = dequeue_forwarded(state, id);
    // A forwarded task may arrive before this instance has its first configuration.
    config::dispatch_settings const settings = state.m_configuration
                                                   ? state.m_configuration->m_dispatch
                                                   : config::dispatch_settings{};
    record_finished_forwarded(
        state, id, task.m_start.m_deadline + settings.m_attempt_timeout_margin);
    out.m_forward_results.push_back(
        {task.m_from, {id, attempt_outcome::not_run, "", false}});
}

/// \returns the tasks of \p instance that are queued here, in order of their identifiers.
std::vector<attempt_id> queued_from(dispatch_state const & state,
                                    instance_id const & instance)
{
    std::vector<attempt_id> queued;
    for (auto const & [id, task] : state.m_forwarded)
    {
        if (task.m_from == instance)
        {
            queued.push_back(id);
        }
    }
    std::sort(queued.begin(), queued.end());
    return queued;
}

/// Cancels the attempts that run here for \p instance, which is no longer live; its
/// callers resubmit their jobs to other instances.
void cancel_attempts_from(dispatch_state & state, instance_id const & instance,
                          effects & out)
{
    std::vector<attempt_id> running;
    for (auto const & [id, attempt] : state.m_attempts)
    {
        if (attempt.m_from == instance)
        {
            running.push_back(id);
        }
    }
    std::sort(running.begin(), running.end());
    for (attempt_id const & id : running)
    {
        cancel_attempt(state, id, out);
    }
}

peer_load load_of(service_pool const & pool)
{
    peer_load load;
    auto const queued = static_cast<std::uint32_t>(pool.m_queued_tasks);
    load.m_free_slots = pool.m_fitting_tasks - std::min(pool.m_fitting_tasks, queued);
    load.m_queued_tasks = queued;
    load.m_service = pool.m_service;
    if (pool.m_free_capacity.m_leaves > 0)
    {
        load.m_largest_free = pool.m_free_capacity.m_nodes[1].m_free;
    }
    return load;
}

void record_finished_forwarded(dispatch_state & state, attempt_id const & id,
                               time_point until)
{
    state.m_finished_forwarded.insert(id);
    state.m_timers.insert({until, timer_kind::finished_forwarded_expiry, id});
}

/// Returns a task that was never queued here as not run.
void decline_forwarded(dispatch_state & state, instance_id const & from,
                       attempt_id const & id, time_point now, effects & out)
{
    record_finished_forwarded(state, id, now + declined_memory);
    out.m_forward_results.push_back({from, {id, attempt_outcome::not_run, "", false}});
}

} // namespace internal

void set_peer(dispatch_state & state, peer_capacity peer)
{
    peer_state & known = state.m_peers[peer.m_instance];
    internal::remove_targets(state, known.m_capacity);
    known.m_capacity = std::move(peer);
    internal::add_targets(state, known.m_capacity);
    internal::check_stranded_later(state);
}

void remove_peer(dispatch_state & state, instance_id const & instance, time_point now,
                 random_source & random, effects & out)
{
    for (attempt_id const & id : internal::queued_from(state, instance))
    {
        internal::dequeue_forwarded(state, id);
    }
    internal::cancel_attempts_from(state, instance, out);
    auto const found = state.m_peers.find(instance);
    if (found == state.m_peers.end())
    {
        return;
    }
    peer_state const removed = std::move(found->second);
    internal::remove_targets(state, removed.m_capacity);
    state.m_peers.erase(found);
    internal::check_stranded_later(state);
    for (attempt_id const & id : removed.m_forwarded)
    {
        // The instance may be live, with only its messages to this one lost.
        out.m_forward_cancels.push_back({instance, id});
        internal::end_attempt(state, {id, attempt_outcome::unknown, "", false}, now,
                              random, out);
    }
}

void end_work_for(dispatch_state & state, instance_id const & instance, effects & out)
{
    for (attempt_id const & id : internal::queued_from(state, instance))
    {
        internal::refuse_forwarded(state, id, out);
    }
    internal::cancel_attempts_from(state, instance, out);
}

peer_work work_with_peer(dispatch_state const & state, instance_id const & instance)
{
    peer_work work;
    if (auto const peer = state.m_peers.find(instance); peer != state.m_peers.end())
    {
        work.m_forwarded = peer->second.m_forwarded.size();
    }
    work.m_queued = static_cast<std::size_t>(std::count_if(
        state.m_forwarded.begin(), state.m_forwarded.end(),
        [&instance](auto const & entry) { return entry.second.m_from == instance; }));
    work.m_running = static_cast<std::size_t>(std::count_if(
        state.m_attempts.begin(), state.m_attempts.end(),
        [&instance](auto const & entry) { return entry.second.m_from == instance; }));
    return work;
}

void update_peer_load(dispatch_state & state, instance_id const & instance,
                      peer_load load)
{
    auto const found = state.m_peers.find(instance);
    if (found == state.m_peers.end())
    {
        return;
    }
    peer_capacity & capacity = found->second.m_capacity;
    internal::remove_targets(state, capacity);
    auto const known = std::find_if(capacity.m_loads.begin(), capacity.m_loads.end(),
                                    [&load](peer_load const & other)
                                    { return other.m_service == load.m_service; });
    if (known != capacity.m_loads.end())
    {
        *known = std::move(load);
    }
    else
    {
        capacity.m_loads.push_back(std::move(load));
    }
    internal::add_targets(state, capacity);
}

void accept_forwarded(dispatch_state & state, instance_id const & from,
                      attempt_start task, time_point now, effects & out)
{
    attempt_id const id = task.m_attempt;
    if (state.m_forwarded.contains(id) || state.m_attempts.contains(id) ||
        state.m_finished_forwarded.contains(id))
    {
        return;
    }
    forwarded_task entry;
    entry.m_from = from;
    entry.m_serial = state.m_next_serial++;
    entry.m_kind = internal::kind_index(state, task.m_kind, task.m_service);
    entry.m_tenant = internal::tenant_index(state, task.m_job.m_tenant);
    service_pool & pool = internal::pool_of(state, entry.m_kind);
    if (!task.m_service.empty() && pool.m_service != task.m_service)
    {
        // The instances have different configurations. The sender starts the task again
        // where its own configuration allows it.
        internal::decline_forwarded(state, from, id, now, out);
        return;
    }
    if (internal::is_stranded_here(state, state.m_kinds[entry.m_kind].m_pool,
                                   task.m_demand))
    {
        internal::decline_forwarded(state, from, id, now, out);
        return;
    }
    entry.m_start = std::move(task);
    std::uint32_t const weight = state.m_tenants[entry.m_tenant].m_definition.m_weight;
    insert_item(pool.m_queue, entry.m_kind, entry.m_tenant, weight,
                {false, entry.m_serial}, {id});
    internal::adjust_queued_count(state, entry.m_kind, 1);
    state.m_timers.insert(
        {entry.m_start.m_send_before, timer_kind::forwarded_expiry, id});
    auto const peer = state.m_peers.find(from);
    if (peer != state.m_peers.end())
    {
        peer->second.m_accepted.insert(id);
    }
    state.m_forwarded.emplace(id, std::move(entry));
}

void cancel_forwarded(dispatch_state & state, attempt_id const & attempt, time_point,
                      effects & out)
{
    if (state.m_forwarded.contains(attempt))
    {
        internal::refuse_forwarded(state, attempt, out);
        return;
    }
    auto const running = state.m_attempts.find(attempt);
    if (running != state.m_attempts.end() && !running->second.m_from.m_value.empty())
    {
        internal::cancel_attempt(state, attempt, out);
    }
}

bool serves_peers(dispatch_state const & state) noexcept
{
    return !state.m_forwarded.empty() ||
           std::any_of(state.m_attempts.begin(), state.m_attempts.end(),
                       [](auto const & entry)
                       { return !entry.second.m_from.m_value.empty(); });
}

std::vector<peer_load> current_loads(dispatch_state const & state)
{
    std::vector<peer_load> loads;
    for (service_pool const & pool : state.m_pools)
    {
        if (pool.m_owned_count > 0)
        {
            loads.push_back(internal::load_of(pool));
        }
    }
    return loads;
}

peer_load total_load(dispatch_state const & state)
{
    peer_load total;
    for (service_pool const & pool : state.m_pools)
    {
        peer_load const load = internal::load_of(pool);
        total.m_free_slots += load.m_free_slots;
        total.m_queued_tasks += load.m_queued_tasks;
        total.m_largest_free.m_millicores =
            std::max(total.m_largest_free.m_millicores, load.m_largest_free.m_millicores);
        total.m_largest_free.m_memory_mib =
            std::max(total.m_largest_free.m_memory_mib, load.m_largest_free.m_memory_mib);
        total.m_largest_free.m_accelerators = std::max(
            total.m_largest_free.m_accelerators, load.m_largest_free.m_accelerators);
    }
    return total;
}

} // namespace cassiahub::dispatch
