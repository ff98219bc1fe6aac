#include "decision/context.hpp"

#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/membership/members.hpp>

#include <algorithm>

// In a large fleet load reports are less frequent than tasks are short, so an instance
// whose own upstreams are full knows of no free slot elsewhere. It then asks a few peers.
// Requests are sent only while tasks wait, so an instance with free slots sends and
// receives none.

namespace cassiahub::decision::internal
{

namespace
{

/// Time between two rounds of requests; several times the latency between instances.
constexpr duration request_period = std::chrono::milliseconds(10);
/// Peers asked in one round. With p of the instances full, p^3 of the rounds find none.
constexpr std::size_t requested_peers = 3;
/// Time for which a peer that was told of no capacity is remembered. About the time in
/// which its task finds another place, since it goes on asking other peers.
constexpr duration waiting_time = std::chrono::milliseconds(30);
/// Peers that are remembered at a time, for each service.
constexpr std::size_t max_waiting_peers = 16;

dispatch::peer_load const * find_load(std::span<dispatch::peer_load const> loads,
                                      std::string_view service)
{
    auto const found = std::find_if(loads.begin(), loads.end(),
                                    [service](dispatch::peer_load const & load)
                                    { return load.m_service == service; });
    return found != loads.end() ? &*found : nullptr;
}

void offer(step_context & context, instance_id const & peer, dispatch::peer_load load)
{
    context.m_state.m_reported_slots[peer][load.m_service] = load.m_free_slots;
    send(context, peer, load_report{std::move(load)});
}

/// Tells the peers that wait of the free slots, divided among them, so that they do not
/// all send tasks for the same slot.
void offer_to_waiting_peers(step_context & context, std::string const & service,
                            capacity_requests & requests)
{
    std::erase_if(requests.m_waiting, [&context](waiting_peer const & peer)
                  { return peer.m_until <= context.m_now; });
    if (requests.m_waiting.empty())
    {
        return;
    }
    auto const loads = dispatch::current_loads(context.m_state.m_dispatch);
    dispatch::peer_load const * const load = find_load(loads, service);
    if (load == nullptr || load->m_free_slots == 0)
    {
        return;
    }
    std::size_t const count =
        std::min<std::size_t>(requests.m_waiting.size(), load->m_free_slots);
    dispatch::peer_load part = *load;
    part.m_free_slots = load->m_free_slots / static_cast<std::uint32_t>(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        offer(context, requests.m_waiting.front().m_instance, part);
        requests.m_waiting.pop_front();
    }
}

void request_capacity(step_context & context, std::string const & service)
{
    entry_state & state = context.m_state;
    capacity_requests & requests = state.m_capacity_requests[service];
    if (context.m_now < requests.m_next)
    {
        return;
    }
    requests.m_next = context.m_now + request_period;
    std::vector<instance_id> peers = membership::near_members(state.m_membership);
    for (std::size_t index = 0; index < std::min(requested_peers, peers.size()); ++index)
    {
        std::swap(peers[index],
                  peers[index + context.m_random() % (peers.size() - index)]);
        send(context, peers[index], capacity_request{service});
        ++state.m_capacity_requests_sent;
    }
}

} // namespace

void advance_capacity_requests(step_context & context)
{
    entry_state & state = context.m_state;
    for (auto & [service, requests] : state.m_capacity_requests)
    {
        offer_to_waiting_peers(context, service, requests);
    }
    for (dispatch::service_pool const & pool : state.m_dispatch.m_pools)
    {
        if (pool.m_short_of_capacity)
        {
            request_capacity(context, pool.m_service);
        }
    }
}

void receive_capacity_request(step_context & context, instance_id const & from,
                              std::string const & service)
{
    entry_state & state = context.m_state;
    if (state.m_draining || !state.m_dispatch.m_pool_index.contains(service) ||
        membership::find_live(state.m_membership, from) == nullptr)
    {
        return;
    }
    auto & waiting = state.m_capacity_requests[service].m_waiting;
    bool const known = std::any_of(waiting.begin(), waiting.end(),
                                   [&from](waiting_peer const & peer)
                                   { return peer.m_instance == from; });
    if (!known && waiting.size() < max_waiting_peers)
    {
        waiting.push_back({from, context.m_now + waiting_time});
    }
}

} // namespace cassiahub::decision::internal
