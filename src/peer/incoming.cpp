#include "peer/exchange_state.hpp"

#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/codec/peer_codec.hpp>

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

/// Largest total size of the calls of one connection that wait for space in the event
/// ring.
constexpr std::size_t flow_limit_bytes = 16 * 1024 * 1024;
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

/// Receives the messages of one incoming connection.
class peer_server final : public peer_protocol::Peer::Server
{
public:
    peer_server(exchange_state & state, std::uint64_t id) : m_state(state), m_id(id) {}

    kj::Promise<void> deliver(DeliverContext context) override
    {
        incoming_connection * const connection = find_connection(m_state, m_id);
        if (connection == nullptr)
        {
            return KJ_EXCEPTION(DISCONNECTED, "connection was replaced");
        }
        std::vector<decision::peer_message> messages;
        std::error_code const error = decode_batch(context.getParams().getMessages(),
                                                   connection->m_incarnation, messages);
        if (error)
        {
            ++m_state.m_counters.m_batches_rejected;
            return KJ_EXCEPTION(FAILED, "batch rejected", error.message().c_str());
        }
        context.releaseParams();
        m_state.m_counters.m_messages_received += messages.size();
        for (decision::peer_message & message : messages)
        {
            add_event(m_state, decision::peer_message_received{{connection->m_instance},
                                                               std::move(message)});
        }
        return when_pushed(m_state);
    }

private:
    /// Decodes the whole batch first, so that an invalid batch has no effect.
    static std::error_code
    decode_batch(capnp::List<peer_protocol::Message>::Reader source,
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

    exchange_state & m_state;
    std::uint64_t m_id;
};

/// Bootstrap capability of one incoming connection.
class bootstrap_server final : public peer_protocol::Entrance::Server
{
public:
    bootstrap_server(exchange_state & state, std::uint64_t id) : m_state(state), m_id(id)
    {
    }

    kj::Promise<void> open(OpenContext context) override
    {
        auto const params = context.getParams();
        incoming_connection * const connection = find_connection(m_state, m_id);
        if (connection == nullptr || !accepts_open(*connection, params))
        {
            ++m_state.m_counters.m_opens_rejected;
            // The same message for every reason, so that it reveals nothing to the
            // caller.
            return KJ_EXCEPTION(FAILED, "open rejected");
        }
        std::string const instance(params.getInstance().begin(),
                                   params.getInstance().size());
        bool const already_open =
            std::any_of(m_state.m_incoming.begin(), m_state.m_incoming.end(),
                        [&instance](auto const & entry)
                        { return entry.second->m_instance == instance; });
        if (already_open)
        {
            // Messages in flight on the earlier connection may be lost.
            end_session(m_state, instance);
        }
        connection->m_instance = instance;
        connection->m_incarnation = params.getIncarnation();
        context.getResults().setPeer(kj::heap<peer_server>(m_state, m_id));
        return kj::READY_NOW;
    }

private:
    bool accepts_open(incoming_connection const & connection,
                      peer_protocol::Entrance::OpenParams::Reader params) const
    {
        exchange_options const & options = m_state.m_options;
        std::string_view const instance(params.getInstance().begin(),
                                        params.getInstance().size());
        std::string_view const target(params.getTarget().begin(),
                                      params.getTarget().size());
        return equals_secret(options.m_secret, params.getSecret()) &&
               connection.m_instance.empty() && codec::is_valid_key(instance) &&
               options.m_instance != instance && options.m_instance == target;
    }

    exchange_state & m_state;
    std::uint64_t m_id;
};

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

/// Closes a connection on which open() was not accepted in time.
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
        return;
    }
    set_socket_options(*stream);
    std::uint64_t const id = state.m_next_generation++;
    capnp::ReaderOptions reader_options;
    reader_options.traversalLimitInWords = limits.m_message_bytes / sizeof(capnp::word);
    auto connection = kj::heap<incoming_connection>(
        kj::mv(stream), kj::heap<bootstrap_server>(state, id), reader_options);
    connection->m_rpc.setFlowLimit(flow_limit_bytes / sizeof(capnp::word));
    state.m_tasks.add(connection->m_network.onDisconnect().then(
        [&state, id] { handle_close(state, id); }));
    state.m_tasks.add(state.m_timer.afterDelay(to_kj(limits.m_call_timeout))
                          .then([&state, id] { close_unopened(state, id); }));
    state.m_incoming.emplace(id, kj::mv(connection));
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
