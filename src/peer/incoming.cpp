#include "peer/exchange_state.hpp"

#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/codec/peer_codec.hpp>

#include <capnp/serialize.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace cassiahub::peer::internal
{

namespace
{

/// Largest frame accepted from a connection whose open frame is not accepted yet.
constexpr std::size_t max_open_words = 512;
/// Delay after a failed accept(), for example when no file descriptor is available.
constexpr duration accept_retry_delay = std::chrono::milliseconds(100);
/// TCP keepalive detects a peer that stopped without closing its connection after
/// keepalive_idle_s + keepalive_count * keepalive_interval_s seconds.
constexpr int keepalive_idle_s = 10;
constexpr int keepalive_interval_s = 5;
constexpr int keepalive_count = 4;

using secret_digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

secret_digest digest(void const * data, std::size_t size)
{
    secret_digest value{};
    SHA256(static_cast<unsigned char const *>(data), size, value.data());
    return value;
}

/// Compares digests, so that the time taken reveals neither content nor length.
bool equals_secret(std::string_view expected, capnp::Data::Reader received)
{
    secret_digest const left = digest(expected.data(), expected.size());
    secret_digest const right = digest(received.begin(), received.size());
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

incoming_connection * find_connection(exchange_state & state, std::uint64_t id)
{
    auto const found = state.m_incoming.find(id);
    return found == state.m_incoming.end() ? nullptr : found->second.get();
}

void remove_connection(exchange_state & state, std::uint64_t id)
{
    if (auto found = state.m_incoming.extract(id))
    {
        destroy_later(state, kj::mv(found.mapped()));
    }
}

/// A heartbeat describes the process that sends it, so it must carry the incarnation that
/// the peer gave in open(). \returns true for a heartbeat with another incarnation.
bool has_other_incarnation(decision::peer_message const & message,
                           std::uint64_t incarnation)
{
    auto const * const heartbeat = std::get_if<decision::heartbeat>(&message);
    return heartbeat != nullptr && heartbeat->m_incarnation != incarnation;
}

/// Decodes the whole batch, so that an invalid batch has no effect.
std::error_code decode_batch(capnp::List<peer_protocol::Message>::Reader source,
                             std::uint64_t incarnation,
                             std::vector<decision::peer_message> & messages)
{
    for (peer_protocol::Message::Reader const encoded : source)
    {
        decision::peer_message & message = messages.emplace_back();
        std::error_code const error = codec::decode_peer_message(encoded, message);
        if (error || has_other_incarnation(message, incarnation))
        {
            return error ? error : codec::peer_codec_errc::out_of_range;
        }
    }
    return {};
}

/// \returns false when the batch is invalid; it has no effect then.
bool receive_batch(exchange_state & state, incoming_connection & connection,
                   peer_protocol::Batch::Reader batch)
{
    std::vector<decision::peer_message> messages;
    if (std::error_code const error =
            decode_batch(batch.getMessages(), connection.m_incarnation, messages))
    {
        ++state.m_counters.m_batches_rejected;
        report_rejection(state, connection.m_instance, peer_errc::batch_rejected,
                         error.message());
        return false;
    }
    state.m_counters.m_messages_received += messages.size();
    ++connection.m_batches;
    connection.m_acknowledge = connection.m_acknowledge || batch.getAcknowledge();
    for (decision::peer_message & message : messages)
    {
        add_event(state, decision::peer_message_received{{connection.m_instance},
                                                         std::move(message)});
    }
    return true;
}

bool accepts_open(exchange_options const & options, peer_protocol::Open::Reader open)
{
    std::string_view const instance(open.getInstance().begin(),
                                    open.getInstance().size());
    std::string_view const target(open.getTarget().begin(), open.getTarget().size());
    return equals_secret(options.m_secret, open.getSecret()) &&
           codec::is_valid_key(instance) && options.m_instance != instance &&
           options.m_instance == target;
}

/// \returns false when the open frame is rejected.
bool receive_open(exchange_state & state, incoming_connection & connection,
                  peer_protocol::Open::Reader open)
{
    if (!accepts_open(state.m_options, open))
    {
        ++state.m_counters.m_opens_rejected;
        report_rejection(state, {}, peer_errc::open_rejected, "secret or names");
        return false;
    }
    std::string const instance(open.getInstance().begin(), open.getInstance().size());
    bool const already_open = std::any_of(
        state.m_incoming.begin(), state.m_incoming.end(),
        [&instance](auto const & entry) { return entry.second->m_instance == instance; });
    if (already_open)
    {
        // Messages in flight on the earlier connection may be lost.
        end_session(state, instance);
    }
    connection.m_instance = instance;
    connection.m_incarnation = open.getIncarnation();
    return true;
}

/// \returns false when the frame is not accepted.
bool receive_frame(exchange_state & state, incoming_connection & connection,
                   peer_protocol::Frame::Reader frame)
{
    bool const opened = !connection.m_instance.empty();
    if (frame.isOpen() && !opened)
    {
        return receive_open(state, connection, frame.getOpen());
    }
    if (!opened)
    {
        ++state.m_counters.m_opens_rejected;
        report_rejection(state, {}, peer_errc::open_rejected, "no open frame");
        return false;
    }
    return frame.isBatch() && receive_batch(state, connection, frame.getBatch());
}

/// Processes the frames in the buffer of \p connection.
/// \returns false when one of them is not accepted.
bool receive_frames(exchange_state & state, incoming_connection & connection)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords =
        state.m_options.m_limits.m_message_bytes / sizeof(capnp::word);
    while (true)
    {
        std::size_t const max_words = connection.m_instance.empty()
                                          ? max_open_words
                                          : options.traversalLimitInWords;
        auto const taken = take_frame(connection.m_received, max_words);
        KJ_IF_MAYBE (words, taken)
        {
            capnp::FlatArrayMessageReader reader(*words, options);
            if (!receive_frame(state, connection, reader.getRoot<peer_protocol::Frame>()))
            {
                return false;
            }
        }
        else
        {
            return true;
        }
    }
}

/// \returns a promise that resolves when the acknowledgement is sent, if the peer waits
/// for one.
kj::Promise<void> acknowledge(incoming_connection & connection)
{
    if (!std::exchange(connection.m_acknowledge, false))
    {
        return kj::READY_NOW;
    }
    return write_frame(*connection.m_stream, encode_received(connection.m_batches));
}

/// Reads frames until the end of the stream or a frame that is not accepted.
kj::Promise<void> serve_connection(exchange_state & state,
                                   incoming_connection & connection)
{
    return read_frames(*connection.m_stream, connection.m_received)
        .then(
            [&state, &connection](bool more) -> kj::Promise<void>
            {
                bool const was_opened = !connection.m_instance.empty();
                bool const replaced = find_connection(state, connection.m_id) == nullptr;
                if (!more || replaced || !receive_frames(state, connection))
                {
                    return kj::READY_NOW;
                }
                auto answered = was_opened || connection.m_instance.empty()
                                    ? kj::Promise<void>(kj::READY_NOW)
                                    : write_frame(*connection.m_stream, encode_opened());
                return answered.then([&state] { return when_pushed(state); })
                    .then([&connection] { return acknowledge(connection); })
                    .then([&state, &connection]
                          { return serve_connection(state, connection); });
            });
}

void handle_close(exchange_state & state, std::uint64_t id)
{
    incoming_connection * const connection = find_connection(state, id);
    if (connection == nullptr)
    {
        return;
    }
    std::string const instance = connection->m_instance;
    remove_connection(state, id);
    if (!instance.empty())
    {
        end_session(state, instance);
    }
}

/// Closes a connection on which no open frame was accepted in time.
void close_unopened(exchange_state & state, std::uint64_t id)
{
    incoming_connection const * const connection = find_connection(state, id);
    if (connection != nullptr && connection->m_instance.empty())
    {
        remove_connection(state, id);
    }
}

void set_socket_options(kj::AsyncIoStream & stream)
{
    int const enabled = 1;
    stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_s,
                      sizeof keepalive_idle_s);
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s,
                      sizeof keepalive_interval_s);
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, &keepalive_count, sizeof keepalive_count);
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

void add_connection(exchange_state & state, kj::Own<kj::AsyncIoStream> stream)
{
    exchange_limits const & limits = state.m_options.m_limits;
    if (state.m_incoming.size() >= limits.m_incoming_connections)
    {
        ++state.m_counters.m_opens_rejected;
        report_rejection(state, {}, peer_errc::too_many_connections, {});
        return;
    }
    set_socket_options(*stream);
    std::uint64_t const id = state.m_next_generation++;
    auto connection = kj::heap<incoming_connection>();
    connection->m_id = id;
    connection->m_stream = kj::mv(stream);
    incoming_connection & added = *connection;
    state.m_incoming.emplace(id, kj::mv(connection));
    added.m_serving =
        serve_connection(state, added)
            .then([&state, id] { handle_close(state, id); },
                  [&state, id](kj::Exception && failure)
                  {
                      auto const * const failed = find_connection(state, id);
                      if (report_failure(state,
                                         failed != nullptr ? failed->m_instance
                                                           : std::string(),
                                         failure))
                      {
                          ++state.m_counters.m_batches_rejected;
                      }
                      handle_close(state, id);
                  })
            .eagerlyEvaluate(nullptr);
    state.m_tasks.add(state.m_timer.afterDelay(to_kj(limits.m_call_timeout))
                          .then([&state, id] { close_unopened(state, id); }));
}

} // namespace

void accept_connections(exchange_state & state, kj::ConnectionReceiver & receiver)
{
    state.m_tasks.add(receiver.accept().then(
        [&state, &receiver](kj::Own<kj::AsyncIoStream> && stream)
        {
            add_connection(state, kj::mv(stream));
            accept_connections(state, receiver);
        },
        [&state, &receiver](kj::Exception &&)
        {
            state.m_tasks.add(
                state.m_timer.afterDelay(to_kj(accept_retry_delay))
                    .then([&state, &receiver] { accept_connections(state, receiver); }));
        }));
}

void close_incoming(exchange_state & state, std::string_view instance)
{
    std::vector<std::uint64_t> ids;
    for (auto const & [id, connection] : state.m_incoming)
    {
        if (connection->m_instance == instance)
        {
            ids.push_back(id);
        }
    }
    for (std::uint64_t const id : ids)
    {
        remove_connection(state, id);
    }
}

} // namespace cassiahub::peer::internal
