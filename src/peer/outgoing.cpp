#include "peer/exchange_state.hpp"

#include <cassiahub/codec/peer_codec.hpp>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace cassiahub::peer::internal
{

namespace
{

/// \returns the link to \p instance, or nullptr when its generation is no longer
/// \p generation.
outgoing_link * find_link(exchange_state & state, std::string const & instance,
                          std::uint64_t generation)
{
    auto const found = state.m_links.find(instance);
    bool const current =
        found != state.m_links.end() && found->second.m_generation == generation;
    return current ? &found->second : nullptr;
}

/// Ends the wait of a stop request once no message is queued and no call is in flight.
void signal_drained(exchange_state & state)
{
    if (state.m_stopping && is_drained(state))
    {
        KJ_IF_MAYBE (drained, state.m_drained)
        {
            (*drained)->fulfill();
        }
    }
}

/// Handles a connection that failed or could not be opened.
void handle_connection_failure(exchange_state & state, std::string const & instance,
                               std::uint64_t generation)
{
    outgoing_link * const link = find_link(state, instance, generation);
    if (link == nullptr)
    {
        return;
    }
    bool const loses_messages =
        link->m_phase == link_phase::open ||
        !std::all_of(link->m_queue.begin(), link->m_queue.end(), is_periodic);
    if (loses_messages)
    {
        end_session(state, instance);
    }
    else
    {
        // Only periodic messages are lost, and no request depends on them.
        reset_link(state, *link);
    }
    signal_drained(state);
}

void clear_queue(outgoing_link & link)
{
    link.m_queue.clear();
    link.m_queued_bytes = 0;
}

/// \returns the delay before the next connect. It doubles with each failure; half of it
/// is random, so that instances do not reconnect at the same time.
duration random_backoff(exchange_state & state, std::uint32_t failures)
{
    exchange_limits const & limits = state.m_options.m_limits;
    std::uint32_t const doublings = std::min<std::uint32_t>(failures - 1, 16);
    duration const full =
        std::min(limits.m_initial_backoff * (1 << doublings), limits.m_max_backoff);
    std::uniform_int_distribution<std::int64_t> jitter(full.count() / 2, full.count());
    return duration(jitter(state.m_random));
}

/// Removes the next batch from the queue of \p link.
/// \param bytes receives the approximate size of the batch.
std::vector<decision::peer_message>
dequeue_batch(exchange_limits const & limits, outgoing_link & link, std::size_t & bytes)
{
    std::vector<decision::peer_message> batch;
    bytes = 0;
    while (!link.m_queue.empty() && batch.size() < limits.m_batch_messages &&
           bytes < limits.m_batch_bytes)
    {
        bytes += codec::approximate_size(link.m_queue.front());
        batch.push_back(std::move(link.m_queue.front()));
        link.m_queue.pop_front();
    }
    link.m_queued_bytes -= bytes;
    return batch;
}

/// Sends batches while the queue is not empty and the limits of calls in flight allow.
void send_batches(exchange_state & state, outgoing_link & link);

/// Handles the answer to a deliver() call.
void finish_call(exchange_state & state, std::string const & instance,
                 std::uint64_t generation, std::size_t bytes)
{
    if (outgoing_link * const link = find_link(state, instance, generation))
    {
        --link->m_calls_in_flight;
        link->m_bytes_in_flight -= bytes;
        send_batches(state, *link);
    }
    signal_drained(state);
}

/// Sends one batch in a deliver() call.
void send_batch(exchange_state & state, outgoing_link & link,
                peer_protocol::Peer::Client & peer)
{
    std::size_t bytes = 0;
    std::vector<decision::peer_message> const batch =
        dequeue_batch(state.m_options.m_limits, link, bytes);
    auto request = peer.deliverRequest();
    auto messages = request.initMessages(static_cast<unsigned>(batch.size()));
    for (unsigned index = 0; index < messages.size(); ++index)
    {
        codec::encode_peer_message(batch[index], messages[index]);
    }
    ++link.m_calls_in_flight;
    link.m_bytes_in_flight += bytes;
    state.m_counters.m_messages_sent += batch.size();
    ++state.m_counters.m_deliver_calls;
    std::string const instance = link.m_instance;
    std::uint64_t const generation = link.m_generation;
    state.m_tasks.add(
        state.m_timer
            .timeoutAfter(to_kj(state.m_options.m_limits.m_call_timeout),
                          request.send().ignoreResult())
            .then([&state, instance, generation, bytes]
                  { finish_call(state, instance, generation, bytes); },
                  [&state, instance, generation](kj::Exception &&)
                  { handle_connection_failure(state, instance, generation); }));
}

void send_batches(exchange_state & state, outgoing_link & link)
{
    exchange_limits const & limits = state.m_options.m_limits;
    KJ_IF_MAYBE (peer, link.m_connection->m_peer)
    {
        while (!link.m_queue.empty() &&
               link.m_calls_in_flight < limits.m_calls_in_flight &&
               link.m_bytes_in_flight < limits.m_bytes_in_flight)
        {
            send_batch(state, link, *peer);
        }
    }
}

/// Sends open() on a new connection and stores the capability that it returns.
kj::Promise<void> open_peer(exchange_state & state, std::string const & instance,
                            std::uint64_t generation, kj::Own<kj::AsyncIoStream> stream)
{
    outgoing_link * const link = find_link(state, instance, generation);
    if (link == nullptr)
    {
        return kj::READY_NOW;
    }
    link->m_connection = kj::heap<outgoing_connection>(kj::mv(stream));
    exchange_options const & options = state.m_options;
    auto request = link->m_connection->m_client.bootstrap()
                       .castAs<peer_protocol::Entrance>()
                       .openRequest();
    request.setSecret({reinterpret_cast<kj::byte const *>(options.m_secret.data()),
                       options.m_secret.size()});
    request.setInstance({options.m_instance.c_str(), options.m_instance.size()});
    request.setIncarnation(options.m_incarnation);
    request.setTarget({instance.c_str(), instance.size()});
    return request.send().then(
        [&state, instance,
         generation](capnp::Response<peer_protocol::Entrance::OpenResults> && response)
        {
            if (outgoing_link * const opened = find_link(state, instance, generation))
            {
                opened->m_connection->m_peer = response.getPeer();
            }
        });
}

/// Handles the answer to open().
void finish_open(exchange_state & state, std::string const & instance,
                 std::uint64_t generation)
{
    outgoing_link * const link = find_link(state, instance, generation);
    if (link == nullptr)
    {
        return;
    }
    link->m_phase = link_phase::open;
    link->m_failures = 0;
    state.m_tasks.add(link->m_connection->m_client.onDisconnect().then(
        [&state, instance, generation]
        { handle_connection_failure(state, instance, generation); }));
    send_batches(state, *link);
}

void connect(exchange_state & state, outgoing_link & link)
{
    link.m_phase = link_phase::connecting;
    link.m_generation = state.m_next_generation++;
    std::string const instance = link.m_instance;
    std::uint64_t const generation = link.m_generation;
    auto opening =
        state.m_io.provider->getNetwork()
            .parseAddress({link.m_address.c_str(), link.m_address.size()})
            .then(
                [](kj::Own<kj::NetworkAddress> && address)
                {
                    auto connected = address->connect();
                    return connected.attach(kj::mv(address));
                })
            .then([&state, instance, generation](kj::Own<kj::AsyncIoStream> && stream)
                  { return open_peer(state, instance, generation, kj::mv(stream)); });
    state.m_tasks.add(
        state.m_timer
            .timeoutAfter(to_kj(state.m_options.m_limits.m_call_timeout), kj::mv(opening))
            .then([&state, instance, generation]
                  { finish_open(state, instance, generation); },
                  [&state, instance, generation](kj::Exception &&)
                  { handle_connection_failure(state, instance, generation); }));
}

/// Connects again after the backoff. A link without queued messages is erased instead:
/// instances are often replaced under new names, and their links would accumulate.
void end_backoff(exchange_state & state, std::string const & instance,
                 std::uint64_t generation)
{
    outgoing_link * const link = find_link(state, instance, generation);
    if (link == nullptr)
    {
        return;
    }
    if (link->m_queue.empty())
    {
        state.m_links.erase(instance);
        return;
    }
    connect(state, *link);
}

bool fits_queue(exchange_limits const & limits, outgoing_link const & link,
                std::size_t bytes) noexcept
{
    return link.m_queue.size() < limits.m_queued_messages &&
           link.m_queued_bytes + bytes <= limits.m_queued_bytes;
}

/// Drops the oldest queued periodic message. \returns false when there is none.
bool drop_oldest_periodic(exchange_state & state, outgoing_link & link)
{
    auto const oldest =
        std::find_if(link.m_queue.begin(), link.m_queue.end(), is_periodic);
    if (oldest == link.m_queue.end())
    {
        return false;
    }
    link.m_queued_bytes -= codec::approximate_size(*oldest);
    link.m_queue.erase(oldest);
    ++state.m_counters.m_periodic_dropped;
    return true;
}

} // namespace

void queue_message(exchange_state & state, decision::send_peer message)
{
    std::string const & instance = message.m_to.m_value;
    outgoing_link & link = state.m_links[instance];
    link.m_instance = instance;
    if (link.m_address != message.m_address && link.m_connection)
    {
        // A new instance has taken over the name, or the instance has a new address.
        end_session(state, instance);
    }
    link.m_address = std::move(message.m_address);
    exchange_limits const & limits = state.m_options.m_limits;
    std::size_t const bytes = codec::approximate_size(message.m_message);
    while (!fits_queue(limits, link, bytes) && drop_oldest_periodic(state, link))
    {
    }
    if (fits_queue(limits, link, bytes))
    {
        link.m_queued_bytes += bytes;
        link.m_queue.push_back(std::move(message.m_message));
    }
    else if (is_periodic(message.m_message))
    {
        ++state.m_counters.m_periodic_dropped;
    }
    else
    {
        ++state.m_counters.m_messages_refused;
        end_session(state, instance);
    }
}

void send_queued(exchange_state & state)
{
    for (auto & [instance, link] : state.m_links)
    {
        if (link.m_queue.empty())
        {
            continue;
        }
        if (link.m_phase == link_phase::idle)
        {
            connect(state, link);
        }
        else if (link.m_phase == link_phase::open)
        {
            send_batches(state, link);
        }
    }
}

void reset_link(exchange_state & state, outgoing_link & link)
{
    clear_queue(link);
    if (link.m_phase == link_phase::backing_off)
    {
        return;
    }
    if (link.m_connection)
    {
        destroy_later(state, kj::mv(link.m_connection));
    }
    link.m_calls_in_flight = 0;
    link.m_bytes_in_flight = 0;
    link.m_phase = link_phase::backing_off;
    link.m_generation = state.m_next_generation++;
    ++link.m_failures;
    std::string const instance = link.m_instance;
    std::uint64_t const generation = link.m_generation;
    state.m_tasks.add(
        state.m_timer.afterDelay(to_kj(random_backoff(state, link.m_failures)))
            .then([&state, instance, generation]
                  { end_backoff(state, instance, generation); }));
}

bool is_drained(exchange_state const & state) noexcept
{
    return std::all_of(state.m_links.begin(), state.m_links.end(),
                       [](auto const & entry) {
                           return entry.second.m_queue.empty() &&
                                  entry.second.m_calls_in_flight == 0;
                       });
}

} // namespace cassiahub::peer::internal
