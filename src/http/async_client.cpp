#include "http/beast_message.hpp"

#include <cassiahub/http/async_client.hpp>
#include <cassiahub/http/error.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cassiahub::http
{

namespace internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using response_parser = beast::http::response_parser<beast::http::string_body>;

/// A request that has not been answered.
struct client_request
{
    beast_request m_message;
    std::chrono::steady_clock::time_point m_limit;
    response_handler m_handler;
};

/// One connection. Handlers share ownership of it.
struct client_connection
{
    explicit client_connection(asio::io_context & loop, std::string address)
        : m_socket(loop), m_timer(loop), m_address(std::move(address))
    {
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_address;
    beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::optional<client_request> m_request; ///< in progress
    beast_request m_message; ///< outlives m_request: a write may still refer to it
    bool m_writing = false;
    bool m_sent = false; ///< the request may have left
    bool m_open = true;
};

using connection_pointer = std::shared_ptr<client_connection>;

/// Connections to one address, and requests that wait for one.
struct client_address
{
    std::vector<connection_pointer> m_connections;
    std::vector<connection_pointer> m_idle;
    std::deque<client_request> m_waiting;
    std::unique_ptr<asio::steady_timer> m_expiry; ///< earliest limit of m_waiting
};

} // namespace internal

struct async_client_state
{
    boost::asio::io_context & m_loop;
    async_client_options m_options;
    std::map<std::string, internal::client_address, std::less<>> m_addresses;
    std::uint64_t m_opened = 0;
    /// Keeps the state alive for handlers that run after the client was reset.
    std::shared_ptr<async_client_state> m_self;
    bool m_closed = false;

    async_client_state(boost::asio::io_context & loop, async_client_options options)
        : m_loop(loop), m_options(options)
    {
    }
};

namespace internal
{

using client_pointer = std::shared_ptr<async_client_state>;

void start_next(client_pointer const & client, std::string const & address);

void close_connection(client_pointer const & client, connection_pointer const & used)
{
    if (!used->m_open)
    {
        return;
    }
    used->m_open = false;
    boost::system::error_code ignored;
    used->m_timer.cancel(ignored);
    used->m_socket.close(ignored);
    client_address & target = client->m_addresses[used->m_address];
    std::erase(target.m_connections, used);
    std::erase(target.m_idle, used);
}

void finish_request(client_pointer const & client, connection_pointer const & used,
                    std::error_code error, response answer)
{
    if (!used->m_request)
    {
        return;
    }
    response_handler const handler = std::move(used->m_request->m_handler);
    used->m_request.reset();
    boost::system::error_code ignored;
    used->m_timer.cancel(ignored);
    if (!client->m_closed)
    {
        handler(error, std::move(answer));
    }
}

void fail_connection(client_pointer const & client, connection_pointer const & used)
{
    close_connection(client, used);
    finish_request(client, used,
                   used->m_sent ? http_errc::response_lost : http_errc::connect_failed,
                   {});
    if (!client->m_closed)
    {
        start_next(client, used->m_address);
    }
}

/// Notices that the other side closes an idle connection.
void watch_idle(client_pointer const & client, connection_pointer const & used)
{
    used->m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                              [client, used](boost::system::error_code)
                              {
                                  if (used->m_open && !used->m_request)
                                  {
                                      close_connection(client, used);
                                  }
                              });
}

void receive_response(client_pointer const & client, connection_pointer const & used)
{
    used->m_parser.emplace();
    used->m_parser->body_limit(client->m_options.m_max_body_bytes);
    beast::http::async_read(
        used->m_socket, used->m_buffer, *used->m_parser,
        [client, used](boost::system::error_code error, std::size_t)
        {
            if (error || !used->m_open)
            {
                fail_connection(client, used);
                return;
            }
            bool const keep = used->m_parser->keep_alive() && !used->m_writing;
            response answer = from_beast(used->m_parser->release());
            if (keep)
            {
                client->m_addresses[used->m_address].m_idle.push_back(used);
                watch_idle(client, used);
            }
            else
            {
                close_connection(client, used);
            }
            finish_request(client, used, {}, std::move(answer));
            if (!client->m_closed)
            {
                start_next(client, used->m_address);
            }
        });
}

void set_limit(client_pointer const & client, connection_pointer const & used,
               std::chrono::steady_clock::time_point limit)
{
    used->m_timer.expires_at(limit);
    used->m_timer.async_wait(
        [client, used](boost::system::error_code error)
        {
            if (!error && used->m_open && used->m_request &&
                used->m_timer.expiry() <= std::chrono::steady_clock::now())
            {
                fail_connection(client, used);
            }
        });
}

void write_request(client_pointer const & client, connection_pointer const & used)
{
    used->m_sent = true;
    used->m_writing = true;
    used->m_message = std::move(used->m_request->m_message);
    set_limit(client, used, used->m_request->m_limit);
    beast::http::async_write(used->m_socket, used->m_message,
                             [client, used](boost::system::error_code error, std::size_t)
                             {
                                 used->m_writing = false;
                                 if (error && used->m_open)
                                 {
                                     fail_connection(client, used);
                                 }
                             });
    receive_response(client, used);
}

void open_connection(client_pointer const & client, std::string const & address,
                     client_request first)
{
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        first.m_handler(http_errc::bad_address, {});
        return;
    }
    auto const used = std::make_shared<client_connection>(client->m_loop, address);
    client->m_addresses[address].m_connections.push_back(used);
    ++client->m_opened;
    auto const connect_limit =
        std::chrono::steady_clock::now() + client->m_options.m_connect_timeout;
    auto const limit = std::min(first.m_limit, connect_limit);
    used->m_request = std::move(first);
    set_limit(client, used, limit);
    used->m_socket.async_connect(*endpoint,
                                 [client, used](boost::system::error_code error)
                                 {
                                     if (error || !used->m_open)
                                     {
                                         fail_connection(client, used);
                                         return;
                                     }
                                     tune_socket(used->m_socket,
                                                 client->m_options.m_user_timeout);
                                     write_request(client, used);
                                 });
}

/// Ends waiting requests at their limit.
void watch_limits(client_pointer const & client, std::string const & address)
{
    client_address & target = client->m_addresses[address];
    if (target.m_waiting.empty())
    {
        return;
    }
    if (!target.m_expiry)
    {
        target.m_expiry = std::make_unique<asio::steady_timer>(client->m_loop);
    }
    auto const earliest =
        std::min_element(target.m_waiting.begin(), target.m_waiting.end(),
                         [](client_request const & left, client_request const & right)
                         { return left.m_limit < right.m_limit; });
    target.m_expiry->expires_at(earliest->m_limit);
    target.m_expiry->async_wait(
        [client, address](boost::system::error_code error)
        {
            if (error || client->m_closed)
            {
                return;
            }
            auto & waiting = client->m_addresses[address].m_waiting;
            auto const now = std::chrono::steady_clock::now();
            auto const expired = std::stable_partition(
                waiting.begin(), waiting.end(),
                [now](client_request const & request) { return request.m_limit > now; });
            std::vector<client_request> ended(std::make_move_iterator(expired),
                                              std::make_move_iterator(waiting.end()));
            waiting.erase(expired, waiting.end());
            for (client_request const & request : ended)
            {
                request.m_handler(http_errc::connect_failed, {});
            }
            watch_limits(client, address);
        });
}

/// Gives a waiting request a connection, if one is free or may be opened.
void start_next(client_pointer const & client, std::string const & address)
{
    client_address & target = client->m_addresses[address];
    while (!target.m_waiting.empty() &&
           (!target.m_idle.empty() ||
            target.m_connections.size() < client->m_options.m_connections))
    {
        client_request next = std::move(target.m_waiting.front());
        target.m_waiting.pop_front();
        if (next.m_limit <= std::chrono::steady_clock::now())
        {
            next.m_handler(http_errc::connect_failed, {});
        }
        else if (target.m_idle.empty())
        {
            open_connection(client, address, std::move(next));
        }
        else
        {
            connection_pointer const used = target.m_idle.back();
            target.m_idle.pop_back();
            used->m_request = std::move(next);
            write_request(client, used);
        }
    }
}

} // namespace internal

void async_client_deleter::operator()(async_client_state * state) const noexcept
{
    state->m_closed = true;
    for (auto & [address, target] : state->m_addresses)
    {
        for (internal::connection_pointer const & used : target.m_connections)
        {
            boost::system::error_code ignored;
            used->m_open = false;
            used->m_timer.cancel(ignored);
            used->m_socket.close(ignored);
        }
        target.m_connections.clear();
        target.m_idle.clear();
        target.m_expiry.reset();
    }
    state->m_self.reset();
}

async_client make_async_client(boost::asio::io_context & loop,
                               async_client_options options)
{
    auto state = std::make_shared<async_client_state>(loop, options);
    state->m_self = state;
    return async_client(state.get());
}

void send_request(async_client_state & client, std::string const & address, request sent,
                  duration timeout, response_handler handler)
{
    internal::client_request entry{
        internal::to_beast(std::move(sent), address),
        std::chrono::steady_clock::now() +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout),
        std::move(handler)};
    client.m_addresses[address].m_waiting.push_back(std::move(entry));
    internal::start_next(client.m_self, address);
    internal::watch_limits(client.m_self, address);
}

std::uint64_t opened_connections(async_client_state const & client) noexcept
{
    return client.m_opened;
}

} // namespace cassiahub::http
