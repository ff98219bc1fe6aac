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

/// Pause after a failed accept, for example when no descriptor is free.
constexpr std::chrono::milliseconds accept_pause{50};
/// Unacknowledged data older than this breaks a caller's connection.
constexpr duration caller_user_timeout = std::chrono::seconds(10);

/// A caller's connection. Handlers share ownership of it.
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
    exchange_id m_exchange = 0;               ///< waits for its answer; 0: none
    bool m_keep_alive = false;
    bool m_watched = false;
    bool m_open = true;
};

using server_connection_pointer = std::shared_ptr<server_connection>;

} // namespace internal

struct async_server_state
{
    boost::asio::io_context & m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    async_server_options m_options;
    async_server_handlers m_handlers;
    std::unordered_set<internal::server_connection_pointer> m_connections;
    std::unordered_map<exchange_id, internal::server_connection_pointer> m_exchanges;
    exchange_id m_next_exchange = 1;
    std::shared_ptr<async_server_state> m_self;
    bool m_accepting = true;
    bool m_closed = false;

    async_server_state(boost::asio::io_context & loop, async_server_options options,
                       async_server_handlers handlers)
        : m_loop(loop), m_acceptor(loop), m_pause(loop), m_options(std::move(options)),
          m_handlers(std::move(handlers))
    {
    }
};

namespace internal
{

using server_pointer = std::shared_ptr<async_server_state>;

void receive_request(server_pointer const & server,
                     server_connection_pointer const & used);

void close_connection(server_pointer const & server,
                      server_connection_pointer const & used)
{
    if (!used->m_open)
    {
        return;
    }
    used->m_open = false;
    boost::system::error_code ignored;
    used->m_timer.cancel(ignored);
    used->m_socket.close(ignored);
    server->m_connections.erase(used);
    if (used->m_exchange != 0)
    {
        exchange_id const exchange = std::exchange(used->m_exchange, 0);
        server->m_exchanges.erase(exchange);
        if (!server->m_closed)
        {
            server->m_handlers.m_gone(exchange);
        }
    }
}

/// Notices that the caller leaves while its request is being served.
void watch_caller(server_pointer const & server, server_connection_pointer const & used)
{
    if (used->m_watched)
    {
        return;
    }
    used->m_watched = true;
    used->m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                              [server, used](boost::system::error_code error)
                              {
                                  used->m_watched = false;
                                  if (!used->m_open || used->m_exchange == 0)
                                  {
                                      return;
                                  }
                                  boost::system::error_code failure;
                                  std::size_t const available =
                                      used->m_socket.available(failure);
                                  if (error || failure || available == 0)
                                  {
                                      close_connection(server, used);
                                  }
                              });
}

void set_limit(server_pointer const & server, server_connection_pointer const & used,
               duration limit)
{
    used->m_timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit));
    used->m_timer.async_wait(
        [server, used](boost::system::error_code error)
        {
            if (!error && used->m_exchange == 0 && !used->m_response)
            {
                close_connection(server, used);
            }
        });
}

void write_response(server_pointer const & server, server_connection_pointer const & used,
                    response answer)
{
    used->m_response =
        to_beast(std::move(answer), used->m_keep_alive && server->m_accepting);
    beast::http::async_write(used->m_socket, *used->m_response,
                             [server, used](boost::system::error_code error, std::size_t)
                             {
                                 bool const keep = used->m_response->keep_alive();
                                 used->m_response.reset();
                                 if (error || !keep)
                                 {
                                     close_connection(server, used);
                                     return;
                                 }
                                 receive_request(server, used);
                             });
}

void refuse_malformed(server_pointer const & server,
                      server_connection_pointer const & used,
                      boost::system::error_code error)
{
    constexpr int bad_request = 400;
    constexpr int content_too_large = 413;
    constexpr int header_too_large = 431;

    response refusal;
    refusal.m_status = error == beast::http::error::body_limit     ? content_too_large
                       : error == beast::http::error::header_limit ? header_too_large
                                                                   : bad_request;
    used->m_keep_alive = false;
    write_response(server, used, std::move(refusal));
}

/// \returns true when the caller has closed or reset its connection.
/// \pre \p socket does not block
bool has_left(asio::ip::tcp::socket & socket)
{
    char next = 0;
    boost::system::error_code error;
    socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block;
}

void take_request(server_pointer const & server, server_connection_pointer const & used)
{
    boost::system::error_code ignored;
    used->m_timer.cancel(ignored);
    used->m_keep_alive = used->m_parser->keep_alive();
    request received = from_beast(used->m_parser->release());
    // A caller whose connection breaks before its request is read sends it again at once.
    if (has_left(used->m_socket))
    {
        close_connection(server, used);
        if (server->m_handlers.m_abandoned)
        {
            server->m_handlers.m_abandoned(std::move(received));
        }
        return;
    }
    used->m_exchange = server->m_next_exchange++;
    server->m_exchanges.emplace(used->m_exchange, used);
    watch_caller(server, used);
    server->m_handlers.m_request(used->m_exchange, std::move(received));
}

void receive_request(server_pointer const & server,
                     server_connection_pointer const & used)
{
    used->m_parser.emplace();
    used->m_parser->header_limit(
        static_cast<std::uint32_t>(server->m_options.m_max_header_bytes));
    used->m_parser->body_limit(server->m_options.m_max_body_bytes);
    set_limit(server, used,
              used->m_buffer.size() == 0 ? server->m_options.m_idle_timeout
                                         : server->m_options.m_request_timeout);
    beast::http::async_read(
        used->m_socket, used->m_buffer, *used->m_parser,
        [server, used](boost::system::error_code error, std::size_t)
        {
            if (!used->m_open || server->m_closed)
            {
                return;
            }
            if (!error)
            {
                take_request(server, used);
            }
            else if (error.category() ==
                         beast::http::make_error_code(beast::http::error::body_limit)
                             .category() &&
                     error != beast::http::error::end_of_stream &&
                     error != beast::http::error::partial_message)
            {
                refuse_malformed(server, used, error);
            }
            else
            {
                close_connection(server, used);
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
                server->m_pause.expires_after(accept_pause);
                server->m_pause.async_wait(
                    [server](boost::system::error_code stopped)
                    {
                        if (!stopped && !server->m_closed)
                        {
                            accept_next(server);
                        }
                    });
                return;
            }
            boost::system::error_code blocks;
            socket.non_blocking(true, blocks);
            if (!blocks &&
                server->m_connections.size() < server->m_options.m_max_connections)
            {
                tune_socket(socket, caller_user_timeout);
                auto const used = std::make_shared<server_connection>(std::move(socket));
                server->m_connections.insert(used);
                receive_request(server, used);
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
    state->m_pause.cancel(ignored);
    auto const connections = std::move(state->m_connections);
    state->m_connections.clear();
    for (internal::server_connection_pointer const & used : connections)
    {
        used->m_open = false;
        used->m_timer.cancel(ignored);
        used->m_socket.close(ignored);
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

void respond(async_server_state & server, exchange_id exchange, response answer)
{
    auto const found = server.m_exchanges.find(exchange);
    if (found == server.m_exchanges.end())
    {
        return;
    }
    internal::server_connection_pointer const used = found->second;
    server.m_exchanges.erase(found);
    used->m_exchange = 0;
    internal::write_response(server.m_self, used, std::move(answer));
}

void stop_accepting(async_server_state & server)
{
    server.m_accepting = false;
    boost::system::error_code ignored;
    server.m_acceptor.close(ignored);
    server.m_pause.cancel(ignored);
    std::vector<internal::server_connection_pointer> idle;
    for (internal::server_connection_pointer const & used : server.m_connections)
    {
        if (used->m_exchange == 0 && !used->m_response && used->m_buffer.size() == 0)
        {
            idle.push_back(used);
        }
    }
    for (internal::server_connection_pointer const & used : idle)
    {
        internal::close_connection(server.m_self, used);
    }
}

std::size_t open_exchanges(async_server_state const & server) noexcept
{
    return server.m_exchanges.size();
}

} // namespace cassiahub::http
