#include "peer/exchange_state.hpp"

#include <cassiahub/codec/peer_codec.hpp>

#include <capnp/serialize.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace cassiahub::peer::internal
{

namespace
{

/// Largest frame accepted from a peer that this instance has connected to.
constexpr std::size_t max_answer_words = 64;

/// Ends the wait of a stop request once no message is queued and every batch is
/// acknowledged.
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

/// \returns true when the next batch has to ask for an acknowledgement.
bool must_ask(exchange_state const & state, outgoing_connection const & connection)
{
    kj::Duration const period = to_kj(state.m_options.m_limits.m_acknowledgement_period);
    return !awaits_acknowledgement(connection) &&
           (state.m_stopping || state.m_timer.now() - connection.m_asked_at >= period);
}

/// \returns the frame of the next batch, which may be empty.
/// \param ask whether the batch asks for an acknowledgement.
kj::Array<capnp::word> next_batch(exchange_state & state, outgoing_link & link, bool ask)
{
    std::size_t bytes = 0;
    std::vector<decision::peer_message> const batch =
        dequeue_batch(state.m_options.m_limits, link, bytes);
    outgoing_connection & connection = *link.m_connection;
    if (connection.m_batches_sent == connection.m_batches_asked)
    {
        connection.m_unasked_since = state.m_timer.now();
    }
    ++connection.m_batches_sent;
    if (ask)
    {
        connection.m_batches_asked = connection.m_batches_sent;
        connection.m_asked_at = state.m_timer.now();
    }
    state.m_counters.m_messages_sent += batch.size();
    ++state.m_counters.m_batches_sent;
    return encode_batch(batch, ask);
}

/// Writes \p frame and then the batches that are queued by then.
kj::Promise<void> write_all(exchange_state & state, outgoing_link & link,
                            kj::Array<capnp::word> frame)
{
    std::string const instance = link.m_instance;
    std::uint64_t const generation = link.m_generation;
    link.m_connection->m_writing = true;
    return write_frame(*link.m_connection->m_stream, kj::mv(frame))
        .then(
            [&state, instance, generation]() -> kj::Promise<void>
            {
                outgoing_link * const written = find_link(state, instance, generation);
                if (written == nullptr)
                {
                    return kj::READY_NOW;
                }
                written->m_connection->m_writing = false;
                if (written->m_phase != link_phase::open || written->m_queue.empty())
                {
                    return kj::READY_NOW;
                }
                bool const ask = must_ask(state, *written->m_connection);
                return write_all(state, *written, next_batch(state, *written, ask));
            });
}

/// Begins to write. \pre no frame is being written.
void write(exchange_state & state, outgoing_link & link, kj::Array<capnp::word> frame)
{
    std::string const instance = link.m_instance;
    std::uint64_t const generation = link.m_generation;
    link.m_connection->m_written =
        write_all(state, link, kj::mv(frame))
            .catch_([&state, instance, generation](kj::Exception &&)
                    { handle_connection_failure(state, instance, generation); })
            .eagerlyEvaluate(nullptr);
}

/// Sends the queued messages unless a frame is being written, which they follow.
void send_batches(exchange_state & state, outgoing_link & link)
{
    if (link.m_phase == link_phase::open && !link.m_connection->m_writing &&
        !link.m_queue.empty())
    {
        write(state, link, next_batch(state, link, must_ask(state, *link.m_connection)));
    }
}

/// Handles the acceptance of the open frame.
void finish_open(exchange_state & state, outgoing_link & link)
{
    link.m_phase = link_phase::open;
    link.m_failures = 0;
    send_batches(state, link);
}

/// Processes the frames that the peer has sent.
/// \returns false when one of them is not expected.
bool receive_answers(exchange_state & state, outgoing_link & link)
{
    outgoing_connection & connection = *link.m_connection;
    while (true)
    {
        auto const taken = take_frame(connection.m_received, max_answer_words);
        KJ_IF_MAYBE (words, taken)
        {
            capnp::FlatArrayMessageReader reader(*words);
            auto const frame = reader.getRoot<peer_protocol::Frame>();
            if (frame.isOpened() && link.m_phase == link_phase::connecting)
            {
                finish_open(state, link);
            }
            else if (frame.isReceived() &&
                     frame.getReceived() <= connection.m_batches_sent)
            {
                connection.m_batches_acknowledged =
                    std::max(connection.m_batches_acknowledged, frame.getReceived());
                ++state.m_counters.m_acknowledgements;
            }
            else
            {
                report_rejection(state, link.m_instance, peer_errc::frame_rejected,
                                 "not expected");
                return false;
            }
        }
        else
        {
            return true;
        }
    }
}

/// Reads frames until the connection ends.
kj::Promise<void> read_answers(exchange_state & state, std::string const & instance,
                               std::uint64_t generation)
{
    outgoing_link * const link = find_link(state, instance, generation);
    if (link == nullptr)
    {
        return kj::READY_NOW;
    }
    outgoing_connection & connection = *link->m_connection;
    return read_frames(*connection.m_stream, connection.m_received)
        .then(
            [&state, instance, generation](bool more) -> kj::Promise<void>
            {
                outgoing_link * const current = find_link(state, instance, generation);
                if (current == nullptr || !more || !receive_answers(state, *current))
                {
                    return kj::READY_NOW;
                }
                if (state.m_stopping)
                {
                    ask_for_acknowledgements(state);
                    signal_drained(state);
                }
                return read_answers(state, instance, generation);
            });
}

/// Sends the open frame on a new connection and reads the answers.
void open_connection(exchange_state & state, std::string const & instance,
                     std::uint64_t generation, kj::Own<kj::AsyncIoStream> stream)
{
    outgoing_link * const link = find_link(state, instance, generation);
    if (link == nullptr)
    {
        return;
    }
    link->m_connection = kj::heap<outgoing_connection>();
    link->m_connection->m_stream = kj::mv(stream);
    exchange_options const & options = state.m_options;
    write(state, *link,
          encode_open({reinterpret_cast<kj::byte const *>(options.m_secret.data()),
                       options.m_secret.size()},
                      options.m_instance.c_str(), options.m_incarnation,
                      instance.c_str()));
    link->m_connection->m_reading =
        read_answers(state, instance, generation)
            .then([&state, instance, generation]
                  { handle_connection_failure(state, instance, generation); },
                  [&state, instance, generation](kj::Exception && failure)
                  {
                      report_failure(state, instance, failure);
                      handle_connection_failure(state, instance, generation);
                  })
            .eagerlyEvaluate(nullptr);
}

/// Ends the attempt to connect when the peer has not accepted the open frame in time.
void close_unopened(exchange_state & state, std::string const & instance,
                    std::uint64_t generation)
{
    outgoing_link const * const link = find_link(state, instance, generation);
    if (link != nullptr && link->m_phase == link_phase::connecting)
    {
        handle_connection_failure(state, instance, generation);
    }
}

void connect(exchange_state & state, outgoing_link & link)
{
    link.m_phase = link_phase::connecting;
    link.m_generation = state.m_next_generation++;
    std::string const instance = link.m_instance;
    std::uint64_t const generation = link.m_generation;
    kj::Duration const timeout = to_kj(state.m_options.m_limits.m_call_timeout);
    auto connecting = state.m_io.provider->getNetwork()
                          .parseAddress({link.m_address.c_str(), link.m_address.size()})
                          .then(
                              [](kj::Own<kj::NetworkAddress> && address)
                              {
                                  auto connected = address->connect();
                                  return connected.attach(kj::mv(address));
                              });
    state.m_tasks.add(
        state.m_timer.timeoutAfter(timeout, kj::mv(connecting))
            .then([&state, instance, generation](kj::Own<kj::AsyncIoStream> && stream)
                  { open_connection(state, instance, generation, kj::mv(stream)); },
                  [&state, instance, generation](kj::Exception &&)
                  { handle_connection_failure(state, instance, generation); }));
    state.m_tasks.add(state.m_timer.afterDelay(timeout).then(
        [&state, instance, generation] { close_unopened(state, instance, generation); }));
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

outgoing_link * find_link(exchange_state & state, std::string const & instance,
                          std::uint64_t generation)
{
    auto const found = state.m_links.find(instance);
    bool const current =
        found != state.m_links.end() && found->second.m_generation == generation;
    return current ? &found->second : nullptr;
}

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

void send_acknowledgement_request(exchange_state & state, outgoing_link & link)
{
    write(state, link, next_batch(state, link, true));
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
                       [](auto const & entry)
                       {
                           outgoing_link const & link = entry.second;
                           return link.m_queue.empty() &&
                                  (!link.m_connection ||
                                   link.m_connection->m_batches_sent ==
                                       link.m_connection->m_batches_acknowledged);
                       });
}

} // namespace cassiahub::peer::internal
