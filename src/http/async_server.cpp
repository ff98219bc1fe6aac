#include "http/beast_message.hpp"

#include <cassiahub/http/async_server.hpp>
#include <cassiahub/http/error.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cassiahub::http
{

namespace internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using request_parser = beast::http::request_parser<beast::http::string_body>;

/// Pause after a failed accept, for example for lack of file descriptors, before the next
/// attempt.
constexpr std::chrono::milliseconds accept_retry_delay{50};
/// A connection fails when sent data stays unacknowledged for longer (TCP_USER_TIMEOUT).
constexpr duration client_user_timeout = std::chrono::seconds(10);

/// A connection from a client. Completion handlers share its ownership.
struct server_connection
{
    explicit server_connection(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor())
    {
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::optional<beast_response> m_response; ///< being written
    exchange_id m_open_exchange = 0;          ///< waits for respond(); 0: none
    bool m_keep_alive = false;
    bool m_disconnect_watched = false; ///< the wait of watch_disconnect() is pending
    bool m_open = true;
};

using server_connection_pointer = std::shared_ptr<server_connection>;

} // namespace internal

struct async_server_state
{
    boost::asio::io_context & m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_accept_retry_timer;
    async_server_options m_options;
    async_server_handlers m_handlers;
    std::unordered_set<internal::server_connection_pointer> m_connections;
    std::unordered_map<exchange_id, internal::server_connection_pointer> m_exchanges;
    exchange_id m_next_exchange = 1;
    /// Reset with the server. Completion handlers that run later hold their own
    /// reference.
    std::shared_ptr<async_server_state> m_self;
    bool m_accepting = true;
    bool m_closed = false;

    async_server_state(boost::asio::io_context & loop, async_server_options options,
                       async_server_handlers handlers)
        : m_loop(loop), m_acceptor(loop), m_accept_retry_timer(loop),
          m_options(std::move(options)), m_handlers(std::move(handlers))
    {
    }
};

namespace internal
{

using server_pointer = std::shared_ptr<async_server_state>;

void receive_request(server_pointer const & server,
                     server_connection_pointer const & connection);

void close_connection(server_pointer const & server,
                      server_connection_pointer const & connection)
{
    if (!connection->m_open)
    {
        return;
    }
    connection->m_open = false;
    boost::system::error_code ignored;
    connection->m_timer.cancel(ignored);
    connection->m_socket.close(ignored);
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

/// Closes the connection when the client disconnects while its request is being served.
/// The watch ends early when the client sends further data.
void watch_disconnect(server_pointer const & server,
                      server_connection_pointer const & connection)
{
    if (connection->m_disconnect_watched)
    {
        return;
    }
    connection->m_disconnect_watched = true;
    connection->m_socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [server, connection](boost::system::error_code error)
        {
            connection->m_disconnect_watched = false;
            if (!connection->m_open || connection->m_open_exchange == 0)
            {
                return;
            }
            boost::system::error_code failure;
            std::size_t const available = connection->m_socket.available(failure);
            if (error || failure || available == 0)
            {
                close_connection(server, connection);
            }
        });
}

/// Closes the connection if no complete request has arrived within \p timeout.
void set_read_timeout(server_pointer const & server,
                      server_connection_pointer const & connection, duration timeout)
{
    connection->m_timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
    connection->m_timer.async_wait(
        [server, connection](boost::system::error_code error)
        {
            if (!error && connection->m_open_exchange == 0 && !connection->m_response)
            {
                close_connection(server, connection);
            }
        });
}

void write_response(server_pointer const & server,
                    server_connection_pointer const & connection, response message)
{
    connection->m_response =
        to_beast(std::move(message), connection->m_keep_alive && server->m_accepting);
    beast::http::async_write(
        connection->m_socket, *connection->m_response,
        [server, connection](boost::system::error_code error, std::size_t)
        {
            bool const keep_open = connection->m_response->keep_alive();
            connection->m_response.reset();
            if (error || !keep_open)
            {
                close_connection(server, connection);
                return;
            }
            receive_request(server, connection);
        });
}

/// Sends status 400, 413 or 431 and closes the connection.
void refuse_request(server_pointer const & server,
                    server_connection_pointer const & connection,
                    boost::system::error_code error)
{
    constexpr int bad_request = 400;
    constexpr int content_too_large = 413;
    constexpr int header_too_large = 431;

    response refusal;
    refusal.m_status = error == beast::http::error::body_limit     ? content_too_large
                       : error == beast::http::error::header_limit ? header_too_large
                                                                   : bad_request;
    connection->m_keep_alive = false;
    write_response(server, connection, std::move(refusal));
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
    boost::system::error_code ignored;
    connection->m_timer.cancel(ignored);
    connection->m_keep_alive = connection->m_parser->keep_alive();
    request received = from_beast(connection->m_parser->release());
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
    connection->m_open_exchange = server->m_next_exchange++;
    server->m_exchanges.emplace(connection->m_open_exchange, connection);
    watch_disconnect(server, connection);
    server->m_handlers.m_request(connection->m_open_exchange, std::move(received));
}

void receive_request(server_pointer const & server,
                     server_connection_pointer const & connection)
{
    connection->m_parser.emplace();
    connection->m_parser->header_limit(
        static_cast<std::uint32_t>(server->m_options.m_max_header_bytes));
    connection->m_parser->body_limit(server->m_options.m_max_body_bytes);
    set_read_timeout(server, connection,
                     connection->m_buffer.size() == 0
                         ? server->m_options.m_idle_timeout
                         : server->m_options.m_request_timeout);
    beast::http::async_read(
        connection->m_socket, connection->m_buffer, *connection->m_parser,
        [server, connection](boost::system::error_code error, std::size_t)
        {
            if (!connection->m_open || server->m_closed)
            {
                return;
            }
            if (!error)
            {
                dispatch_request(server, connection);
            }
            else if (error.category() ==
                         beast::http::make_error_code(beast::http::error::body_limit)
                             .category() &&
                     error != beast::http::error::end_of_stream &&
                     error != beast::http::error::partial_message)
            {
                refuse_request(server, connection, error);
            }
            else
            {
                close_connection(server, connection);
            }
        });
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
            if (!non_blocking_error &&
                server->m_connections.size() < server->m_options.m_max_connections)
            {
                set_socket_options(socket, client_user_timeout);
                auto const connection =
                    std::make_shared<server_connection>(std::move(socket));
                server->m_connections.insert(connection);
                receive_request(server, connection);
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
    auto const connections = std::move(state->m_connections);
    state->m_connections.clear();
    for (internal::server_connection_pointer const & connection : connections)
    {
        connection->m_open = false;
        connection->m_timer.cancel(ignored);
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
    std::vector<internal::server_connection_pointer> idle;
    for (internal::server_connection_pointer const & connection : server.m_connections)
    {
        if (connection->m_open_exchange == 0 && !connection->m_response &&
            connection->m_buffer.size() == 0)
        {
            idle.push_back(connection);
        }
    }
    for (internal::server_connection_pointer const & connection : idle)
    {
        internal::close_connection(server.m_self, connection);
    }
}

std::size_t open_exchanges(async_server_state const & server) noexcept
{
    return server.m_exchanges.size();
}

} // namespace cassiahub::http
