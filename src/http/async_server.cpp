#include "http/beast_message.hpp"

#include <cassiahub/http/async_server.hpp>
#include <cassiahub/http/error.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace cassiahub::http
{

namespace internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace intrusive = boost::intrusive;
using request_parser = beast::http::request_parser<beast::http::string_body>;

/// Pause after a failed accept, for example for lack of file descriptors, before the next
/// attempt.
constexpr std::chrono::milliseconds accept_retry_delay{50};
/// A connection fails when sent data stays unacknowledged for longer (TCP_USER_TIMEOUT).
constexpr duration client_user_timeout = std::chrono::seconds(10);
/// Most bytes taken with one read.
constexpr std::size_t read_bytes = 16 * 1024;
/// Socket buffers of a connection, which the kernel doubles. A client that sends or reads
/// nothing holds that much of the machine's memory; a request of a few KiB fits.
constexpr int socket_buffer_bytes = 16 * 1024;
/// Bytes that one header field takes beside its text.
constexpr std::size_t field_overhead = 96;
/// Most bytes discarded after a refusal, so that a client which sends its request to the
/// end before it reads can read the refusal.
constexpr std::size_t max_discarded_bytes = 1024 * 1024;
/// Retry-After of a refusal for lack of memory, in seconds.
constexpr char const * refusal_retry_after = "1";

using phase_hook =
    intrusive::list_base_hook<intrusive::link_mode<intrusive::auto_unlink>>;

/// A connection from a client. Completion handlers share its ownership.
struct server_connection : phase_hook, std::enable_shared_from_this<server_connection>
{
    explicit server_connection(asio::ip::tcp::socket socket) : m_socket(std::move(socket))
    {
    }

    asio::ip::tcp::socket m_socket;
    std::string m_unparsed;                   ///< received and not yet parsed
    std::optional<request_parser> m_parser;   ///< of the request being received
    std::optional<beast_response> m_response; ///< being written
    exchange_id m_open_exchange = 0;          ///< waits for respond(); 0: none
    time_point m_phase_start{};
    std::size_t m_header_size = 0;   ///< bytes held for the header of the request
    std::size_t m_request_bytes = 0; ///< see hold_bytes()
    std::size_t m_held_bytes = 0;    ///< part of async_server_state::m_held_bytes
    std::size_t m_discarded_bytes = 0;
    connection_phase m_phase = connection_phase::opened;
    bool m_keep_alive = false;
    bool m_refused = false;       ///< discards further data after its response
    bool m_readable_wait = false; ///< the wait of wait_readable() is pending
    bool m_open = true;
};

using server_connection_pointer = std::shared_ptr<server_connection>;
/// Connections in one phase, in the order in which they entered it.
using phase_list =
    intrusive::list<server_connection, intrusive::constant_time_size<false>>;

} // namespace internal

struct async_server_state
{
    boost::asio::io_context & m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_accept_retry_timer;
    /// Expires at m_next_expiry; one timer serves all connections.
    boost::asio::steady_timer m_expiry_timer;
    time_point m_next_expiry = time_point::max();
    async_server_options m_options;
    async_server_handlers m_handlers;
    std::array<internal::phase_list, connection_phase_count> m_phases;
    std::unordered_set<internal::server_connection_pointer> m_connections;
    std::unordered_map<exchange_id, internal::server_connection_pointer> m_exchanges;
    exchange_id m_next_exchange = 1;
    std::size_t m_held_bytes = 0; ///< held for all connections
    /// Data is received here and stays only as far as a request is incomplete, so that
    /// an idle connection has no buffer.
    std::array<char, internal::read_bytes> m_received;
    /// Reset with the server. Completion handlers that run later hold their own
    /// reference.
    std::shared_ptr<async_server_state> m_self;
    bool m_accepting = true;
    bool m_closed = false;

    async_server_state(boost::asio::io_context & loop, async_server_options options,
                       async_server_handlers handlers)
        : m_loop(loop), m_acceptor(loop), m_accept_retry_timer(loop),
          m_expiry_timer(loop), m_options(std::move(options)),
          m_handlers(std::move(handlers))
    {
    }
};

namespace internal
{

using server_pointer = std::shared_ptr<async_server_state>;

void receive_request(server_pointer const & server,
                     server_connection_pointer const & connection);
void handle_readable(server_pointer const & server,
                     server_connection_pointer const & connection);
void close_expired(server_pointer const & server);

phase_list & connections_in(async_server_state & server, connection_phase phase)
{
    return server.m_phases[static_cast<std::size_t>(phase)];
}

void report_limit(async_server_state & server, server_connection const & connection,
                  client_limit limit)
{
    if (server.m_handlers.m_limit_reached)
    {
        boost::system::error_code error;
        server.m_handlers.m_limit_reached(
            limit, connection.m_socket.remote_endpoint(error).address().to_v4());
    }
}

/// Updates the bytes that are held for \p connection.
void update_held_bytes(async_server_state & server, server_connection & connection)
{
    std::size_t held = connection.m_unparsed.capacity() + connection.m_header_size +
                       connection.m_request_bytes;
    if (connection.m_parser)
    {
        held += connection.m_parser->chunked()
                    ? connection.m_parser->get().body().capacity()
                    : connection.m_parser->get().body().size();
    }
    if (connection.m_response)
    {
        held += connection.m_response->body().size();
    }
    server.m_held_bytes += held;
    server.m_held_bytes -= connection.m_held_bytes;
    connection.m_held_bytes = held;
}

void close_connection(server_pointer const & server,
                      server_connection_pointer const & connection)
{
    if (!connection->m_open)
    {
        return;
    }
    connection->m_open = false;
    boost::system::error_code ignored;
    connection->m_socket.close(ignored);
    connection->unlink();
    server->m_held_bytes -= std::exchange(connection->m_held_bytes, 0);
    server->m_connections.erase(connection);
    if (connection->m_open_exchange != 0)
    {
        exchange_id const exchange = std::exchange(connection->m_open_exchange, 0);
        server->m_exchanges.erase(exchange);
        if (!server->m_closed)
        {
            server->m_handlers.m_disconnected(exchange);
        }
    }
}

/// Closes the connection that has been longest in \p phase.
/// \pre there is one.
void close_oldest(server_pointer const & server, connection_phase phase,
                  client_limit limit)
{
    server_connection_pointer const oldest =
        connections_in(*server, phase).front().shared_from_this();
    report_limit(*server, *oldest, limit);
    close_connection(server, oldest);
}

oldest_by_phase find_oldest(async_server_state const & server)
{
    oldest_by_phase oldest;
    for (std::size_t phase = 0; phase < oldest.size(); ++phase)
    {
        if (!server.m_phases[phase].empty())
        {
            oldest[phase] = server.m_phases[phase].front().m_phase_start;
        }
    }
    return oldest;
}

/// Lets the expiry timer expire at \p expiry, unless it expires earlier.
void expire_by(server_pointer const & server, time_point expiry, time_point now)
{
    if (expiry >= server->m_next_expiry)
    {
        return;
    }
    server->m_next_expiry = expiry;
    server->m_expiry_timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(expiry - now));
    server->m_expiry_timer.async_wait(
        [server](boost::system::error_code error)
        {
            if (!error && !server->m_closed)
            {
                close_expired(server);
            }
        });
}

void enter_phase(server_pointer const & server, server_connection & connection,
                 connection_phase phase)
{
    time_point const now = runtime::read_boot_clock();
    connection.unlink();
    connection.m_phase = phase;
    connection.m_phase_start = now;
    connections_in(*server, phase).push_back(connection);
    if (auto const timeout = phase_timeout(server->m_options.m_limits, phase))
    {
        expire_by(server, now + *timeout, now);
    }
}

/// Closes the connections whose phase has lasted too long.
void close_expired(server_pointer const & server)
{
    time_point const now = runtime::read_boot_clock();
    time_point next_expiry = time_point::max();
    for (std::size_t index = 0; index < connection_phase_count; ++index)
    {
        auto const phase = static_cast<connection_phase>(index);
        auto const timeout = phase_timeout(server->m_options.m_limits, phase);
        phase_list const & connections = connections_in(*server, phase);
        while (timeout && !connections.empty() &&
               connections.front().m_phase_start + *timeout <= now)
        {
            close_oldest(server, phase, timeout_limit(phase));
        }
        if (timeout && !connections.empty())
        {
            next_expiry =
                std::min(next_expiry, connections.front().m_phase_start + *timeout);
        }
    }
    server->m_next_expiry = time_point::max();
    expire_by(server, next_expiry, now);
}

/// Calls handle_readable() when data arrives or the client disconnects.
void wait_readable(server_pointer const & server,
                   server_connection_pointer const & connection)
{
    if (connection->m_readable_wait)
    {
        return;
    }
    connection->m_readable_wait = true;
    connection->m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                                    [server, connection](boost::system::error_code error)
                                    {
                                        connection->m_readable_wait = false;
                                        if (!connection->m_open || server->m_closed)
                                        {
                                            return;
                                        }
                                        if (error)
                                        {
                                            close_connection(server, connection);
                                            return;
                                        }
                                        handle_readable(server, connection);
                                    });
}

/// Shuts the connection down and discards what the client still sends.
void start_discarding(server_pointer const & server,
                      server_connection_pointer const & connection)
{
    boost::system::error_code ignored;
    connection->m_socket.shutdown(asio::socket_base::shutdown_send, ignored);
    enter_phase(server, *connection, connection_phase::discarding);
    wait_readable(server, connection);
}

void write_response(server_pointer const & server,
                    server_connection_pointer const & connection, response message)
{
    connection->m_response =
        to_beast(std::move(message), connection->m_keep_alive && server->m_accepting);
    connection->m_request_bytes = 0;
    update_held_bytes(*server, *connection);
    enter_phase(server, *connection, connection_phase::responding);
    beast::http::async_write(
        connection->m_socket, *connection->m_response,
        [server, connection](boost::system::error_code error, std::size_t)
        {
            bool const keep_open = connection->m_response->keep_alive();
            connection->m_response.reset();
            if (!connection->m_open || server->m_closed)
            {
                return;
            }
            update_held_bytes(*server, *connection);
            if (!error && connection->m_refused)
            {
                start_discarding(server, connection);
            }
            else if (error || !keep_open)
            {
                close_connection(server, connection);
            }
            else
            {
                receive_request(server, connection);
            }
        });
}

/// Sends a refusal and closes the connection. The request was not passed on.
void refuse_request(server_pointer const & server,
                    server_connection_pointer const & connection, int status)
{
    constexpr int unavailable = 503;

    response refusal;
    refusal.m_status = status;
    if (status == unavailable)
    {
        refusal.m_headers.push_back({"Retry-After", refusal_retry_after});
    }
    connection->m_keep_alive = false;
    connection->m_refused = true;
    connection->m_parser.reset();
    connection->m_header_size = 0;
    connection->m_unparsed = std::string();
    write_response(server, connection, std::move(refusal));
}

void refuse_for_limit(server_pointer const & server,
                      server_connection_pointer const & connection, client_limit limit)
{
    report_limit(*server, *connection, limit);
    refuse_request(server, connection, refusal_status(limit));
}

/// Refuses a request that the parser has rejected.
void refuse_malformed(server_pointer const & server,
                      server_connection_pointer const & connection,
                      boost::system::error_code error)
{
    constexpr int bad_request = 400;

    if (error == beast::http::error::header_limit)
    {
        refuse_for_limit(server, connection, client_limit::header_bytes);
    }
    else if (error == beast::http::error::body_limit)
    {
        refuse_for_limit(server, connection, client_limit::body_bytes);
    }
    else
    {
        refuse_request(server, connection, bad_request);
    }
}

/// Closes slow connections other than \p connection until all connections together hold
/// no more than the limit.
void free_held_bytes(server_pointer const & server, server_connection const & connection)
{
    while (server->m_held_bytes > server->m_options.m_limits.m_max_held_bytes)
    {
        auto const slow = choose_slow(find_oldest(*server), runtime::read_boot_clock());
        if (!slow || &connections_in(*server, *slow).front() == &connection)
        {
            return;
        }
        close_oldest(server, *slow, client_limit::held_bytes);
    }
}

/// \returns the limit that \p connection exceeds, if any. Frees bytes of slow connections
/// first.
std::optional<client_limit> check_held_bytes(server_pointer const & server,
                                             server_connection & connection)
{
    update_held_bytes(*server, connection);
    free_held_bytes(server, connection);
    bool const in_chunk = connection.m_parser && connection.m_parser->is_header_done();
    return exceeded_limit(server->m_options.m_limits,
                          {in_chunk ? connection.m_unparsed.size() : 0,
                           connection.m_held_bytes, server->m_held_bytes});
}

/// \returns true when the client has closed or reset the connection.
/// \pre \p socket is non-blocking.
bool is_disconnected(asio::ip::tcp::socket & socket)
{
    char next = 0;
    boost::system::error_code error;
    socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block;
}

/// Passes the request that was read to the server's handlers.
void dispatch_request(server_pointer const & server,
                      server_connection_pointer const & connection)
{
    connection->m_keep_alive = connection->m_parser->keep_alive();
    request received = from_beast(connection->m_parser->release());
    connection->m_parser.reset();
    connection->m_header_size = 0;
    update_held_bytes(*server, *connection);
    // A client whose connection breaks before its request is read resends the request
    // at once, so serving this copy too would do the work twice.
    if (is_disconnected(connection->m_socket))
    {
        close_connection(server, connection);
        if (server->m_handlers.m_abandoned)
        {
            server->m_handlers.m_abandoned(std::move(received));
        }
        return;
    }
    enter_phase(server, *connection, connection_phase::running);
    connection->m_open_exchange = server->m_next_exchange++;
    server->m_exchanges.emplace(connection->m_open_exchange, connection);
    wait_readable(server, connection);
    server->m_handlers.m_request(connection->m_open_exchange, std::move(received));
}

/// Parses \p received, which follows the bytes that were parsed before, and keeps what
/// belongs to the next part of the message.
/// \returns an error when the request is malformed or exceeds a limit of the parser.
boost::system::error_code parse(server_connection & connection, std::string_view received)
{
    bool const joined = !connection.m_unparsed.empty();
    if (joined)
    {
        connection.m_unparsed.append(received);
        received = connection.m_unparsed;
    }
    std::size_t parsed = 0;
    boost::system::error_code error;
    while (!error && parsed < received.size() && !connection.m_parser->is_done())
    {
        parsed += connection.m_parser->put(
            asio::const_buffer(received.data() + parsed, received.size() - parsed),
            error);
    }
    if (parsed == received.size())
    {
        connection.m_unparsed = std::string();
    }
    else if (joined)
    {
        connection.m_unparsed.erase(0, parsed);
    }
    else
    {
        connection.m_unparsed = received.substr(parsed);
    }
    return error == beast::http::error::need_more ? boost::system::error_code() : error;
}

/// Notes the bytes held for the header once it is complete. A field takes more memory
/// than its text.
void measure_header(server_connection & connection)
{
    if (connection.m_header_size == 0)
    {
        for (auto const & field : connection.m_parser->get())
        {
            connection.m_header_size +=
                field.name_string().size() + field.value().size() + field_overhead;
        }
    }
}

/// Parses \p received and passes the request on when it is complete.
void receive_bytes(server_pointer const & server,
                   server_connection_pointer const & connection,
                   std::string_view received)
{
    if (!connection->m_parser)
    {
        connection_limits const & limits = server->m_options.m_limits;
        connection->m_parser.emplace();
        connection->m_parser->eager(true);
        connection->m_parser->header_limit(
            static_cast<std::uint32_t>(limits.m_max_header_bytes));
        connection->m_parser->body_limit(limits.m_max_body_bytes);
    }
    if (boost::system::error_code const error = parse(*connection, received))
    {
        refuse_malformed(server, connection, error);
        return;
    }
    if (connection->m_parser->is_done())
    {
        dispatch_request(server, connection);
        return;
    }
    bool const header_done = connection->m_parser->is_header_done();
    if (header_done)
    {
        measure_header(*connection);
    }
    connection_phase const phase =
        header_done ? connection_phase::body : connection_phase::head;
    if (connection->m_phase != phase)
    {
        enter_phase(server, *connection, phase);
    }
    if (auto const limit = check_held_bytes(server, *connection))
    {
        refuse_for_limit(server, connection, *limit);
        return;
    }
    wait_readable(server, connection);
}

/// Discards received data until the client disconnects.
void discard_bytes(server_pointer const & server,
                   server_connection_pointer const & connection, std::size_t count)
{
    connection->m_discarded_bytes += count;
    if (connection->m_discarded_bytes > max_discarded_bytes)
    {
        close_connection(server, connection);
        return;
    }
    wait_readable(server, connection);
}

/// Closes the connection when its client has disconnected. The watch ends when the client
/// sends further data.
void watch_disconnect(server_pointer const & server,
                      server_connection_pointer const & connection)
{
    boost::system::error_code failure;
    std::size_t const available = connection->m_socket.available(failure);
    if (failure || available == 0)
    {
        close_connection(server, connection);
    }
}

void handle_readable(server_pointer const & server,
                     server_connection_pointer const & connection)
{
    if (connection->m_phase == connection_phase::running)
    {
        watch_disconnect(server, connection);
        return;
    }
    if (connection->m_phase == connection_phase::responding)
    {
        return; // nothing is read before the response is written
    }
    boost::system::error_code error;
    std::size_t const count =
        connection->m_socket.read_some(asio::buffer(server->m_received), error);
    if (error == asio::error::would_block)
    {
        wait_readable(server, connection);
    }
    else if (error)
    {
        close_connection(server, connection);
    }
    else if (connection->m_phase == connection_phase::discarding)
    {
        discard_bytes(server, connection, count);
    }
    else
    {
        receive_bytes(server, connection, {server->m_received.data(), count});
    }
}

/// Receives the next request of a connection whose response was written.
void receive_request(server_pointer const & server,
                     server_connection_pointer const & connection)
{
    enter_phase(server, *connection, connection_phase::idle);
    if (connection->m_unparsed.empty())
    {
        wait_readable(server, connection);
        return;
    }
    std::string const received = std::exchange(connection->m_unparsed, std::string());
    receive_bytes(server, connection, received);
}

/// Adds an accepted connection. When there are too many, another one is closed, or this
/// one when all of them wait for a response.
void add_connection(server_pointer const & server, asio::ip::tcp::socket socket)
{
    auto const connection = std::make_shared<server_connection>(std::move(socket));
    if (server->m_connections.size() >= server->m_options.m_limits.m_max_connections)
    {
        auto const evicted =
            choose_eviction(find_oldest(*server), runtime::read_boot_clock());
        if (!evicted)
        {
            report_limit(*server, *connection, client_limit::connections);
            return;
        }
        close_oldest(server, *evicted, client_limit::connections);
    }
    set_socket_options(connection->m_socket, client_user_timeout);
    server->m_connections.insert(connection);
    enter_phase(server, *connection, connection_phase::opened);
    wait_readable(server, connection);
}

void accept_next(server_pointer const & server)
{
    server->m_acceptor.async_accept(
        [server](boost::system::error_code error, asio::ip::tcp::socket socket)
        {
            if (server->m_closed || !server->m_accepting)
            {
                return;
            }
            if (error)
            {
                server->m_accept_retry_timer.expires_after(accept_retry_delay);
                server->m_accept_retry_timer.async_wait(
                    [server](boost::system::error_code cancelled)
                    {
                        if (!cancelled && !server->m_closed)
                        {
                            accept_next(server);
                        }
                    });
                return;
            }
            boost::system::error_code non_blocking_error;
            socket.non_blocking(true, non_blocking_error);
            if (!non_blocking_error)
            {
                add_connection(server, std::move(socket));
            }
            accept_next(server);
        });
}

bool listen(async_server_state & server, asio::ip::tcp::endpoint const & endpoint)
{
    boost::system::error_code error;
    server.m_acceptor.open(endpoint.protocol(), error);
    if (!error)
    {
        server.m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error)
    {
        // Accepted connections inherit the sizes.
        server.m_acceptor.set_option(
            asio::socket_base::receive_buffer_size(socket_buffer_bytes), error);
    }
    if (!error)
    {
        server.m_acceptor.set_option(
            asio::socket_base::send_buffer_size(socket_buffer_bytes), error);
    }
    if (!error)
    {
        server.m_acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        server.m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return !error;
}

} // namespace internal

void async_server_deleter::operator()(async_server_state * state) const noexcept
{
    state->m_closed = true;
    boost::system::error_code ignored;
    state->m_acceptor.close(ignored);
    state->m_accept_retry_timer.cancel(ignored);
    state->m_expiry_timer.cancel(ignored);
    auto const connections = std::move(state->m_connections);
    state->m_connections.clear();
    for (internal::server_connection_pointer const & connection : connections)
    {
        connection->m_open = false;
        connection->unlink();
        connection->m_socket.close(ignored);
    }
    state->m_exchanges.clear();
    state->m_self.reset();
}

async_server start_async_server(boost::asio::io_context & loop,
                                async_server_options options,
                                async_server_handlers handlers, std::error_code & error)
{
    auto const endpoint = internal::parse_endpoint(options.m_address);
    if (!endpoint)
    {
        error = http_errc::bad_address;
        return {};
    }
    auto state = std::make_shared<async_server_state>(loop, std::move(options),
                                                      std::move(handlers));
    if (!internal::listen(*state, *endpoint))
    {
        error = http_errc::bind_failed;
        return {};
    }
    state->m_self = state;
    internal::accept_next(state);
    return async_server(state.get());
}

void respond(async_server_state & server, exchange_id exchange, response message)
{
    auto const found = server.m_exchanges.find(exchange);
    if (found == server.m_exchanges.end())
    {
        return;
    }
    internal::server_connection_pointer const connection = found->second;
    server.m_exchanges.erase(found);
    connection->m_open_exchange = 0;
    internal::write_response(server.m_self, connection, std::move(message));
}

void stop_accepting(async_server_state & server)
{
    server.m_accepting = false;
    boost::system::error_code ignored;
    server.m_acceptor.close(ignored);
    server.m_accept_retry_timer.cancel(ignored);
    for (connection_phase const phase :
         {connection_phase::opened, connection_phase::idle})
    {
        internal::phase_list & idle = internal::connections_in(server, phase);
        while (!idle.empty())
        {
            internal::close_connection(server.m_self, idle.front().shared_from_this());
        }
    }
}

bool hold_bytes(async_server_state & server, exchange_id exchange, std::size_t bytes)
{
    auto const found = server.m_exchanges.find(exchange);
    if (found == server.m_exchanges.end())
    {
        return true;
    }
    internal::server_connection & connection = *found->second;
    connection.m_request_bytes = bytes;
    auto const limit = internal::check_held_bytes(server.m_self, connection);
    if (limit)
    {
        connection.m_request_bytes = 0;
        internal::update_held_bytes(server, connection);
        internal::report_limit(server, connection, *limit);
    }
    return !limit;
}

std::size_t open_exchanges(async_server_state const & server) noexcept
{
    return server.m_exchanges.size();
}

} // namespace cassiahub::http
