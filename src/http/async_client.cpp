#include "http/beast_message.hpp"

#include <cassiahub/http/async_client.hpp>
#include <cassiahub/http/error.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/assert.hpp>
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

/// Largest part of a response that is buffered before it is parsed: the header, the
/// extension of a chunk or the trailer section.
constexpr std::size_t max_buffer_bytes = 64 * 1024;

/// A request that waits for a connection or for its response.
struct client_request
{
    beast_request m_message;
    std::chrono::steady_clock::time_point m_deadline;
    response_handler m_handler;
};

/// A connection to a server. Completion handlers share its ownership.
struct client_connection
{
    explicit client_connection(asio::io_context & loop, std::string address)
        : m_socket(loop), m_timer(loop), m_address(std::move(address))
    {
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_address;
    beast::flat_buffer m_buffer{max_buffer_bytes};
    std::optional<response_parser> m_parser;
    std::optional<client_request> m_request; ///< waiting for its response
    beast_request m_message; ///< kept here, since m_request can end before its write
    /// When a part of the response last arrived; only with a stall timeout.
    std::chrono::steady_clock::time_point m_progress_at{};
    bool m_writing = false;
    bool m_write_started = false; ///< the server may have received the request
    bool m_too_large = false;     ///< the response exceeds a limit
    bool m_open = true;
};

using connection_pointer = std::shared_ptr<client_connection>;

/// Connections to one address, and requests that wait for a connection.
struct address_state
{
    std::vector<connection_pointer> m_connections;
    std::vector<connection_pointer> m_idle; ///< subset of m_connections
    std::deque<client_request> m_waiting;
    /// Expires at the earliest deadline in m_waiting.
    std::unique_ptr<asio::steady_timer> m_expiry_timer;
};

} // namespace internal

struct async_client_state
{
    boost::asio::io_context & m_loop;
    async_client_options m_options;
    std::map<std::string, internal::address_state, std::less<>> m_addresses;
    std::uint64_t m_opened_connections = 0;
    /// Reset with the client. Completion handlers that run later hold their own
    /// reference.
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

void start_waiting(client_pointer const & client, std::string const & address);

void close_connection(client_pointer const & client,
                      connection_pointer const & connection)
{
    if (!connection->m_open)
    {
        return;
    }
    connection->m_open = false;
    boost::system::error_code ignored;
    connection->m_timer.cancel(ignored);
    connection->m_socket.close(ignored);
    address_state & target = client->m_addresses[connection->m_address];
    std::erase(target.m_connections, connection);
    std::erase(target.m_idle, connection);
}

void finish_request(client_pointer const & client, connection_pointer const & connection,
                    std::error_code error, response received)
{
    if (!connection->m_request)
    {
        return;
    }
    response_handler const handler = std::move(connection->m_request->m_handler);
    connection->m_request.reset();
    boost::system::error_code ignored;
    connection->m_timer.cancel(ignored);
    if (!client->m_closed)
    {
        handler(error, std::move(received));
    }
}

/// Closes the connection and ends its request with an error.
void fail_connection(client_pointer const & client, connection_pointer const & connection)
{
    close_connection(client, connection);
    finish_request(client, connection,
                   connection->m_too_large       ? http_errc::response_too_large
                   : connection->m_write_started ? http_errc::response_lost
                                                 : http_errc::connect_failed,
                   {});
    if (!client->m_closed)
    {
        start_waiting(client, connection->m_address);
    }
}

/// Closes an idle connection when the server closes its end or sends unexpected data.
void watch_idle_connection(client_pointer const & client,
                           connection_pointer const & connection)
{
    connection->m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                                    [client, connection](boost::system::error_code)
                                    {
                                        if (connection->m_open && !connection->m_request)
                                        {
                                            close_connection(client, connection);
                                        }
                                    });
}

/// \returns true for the error of a response that exceeds a limit of its parser.
bool is_limit(boost::system::error_code error)
{
    return error == beast::http::error::body_limit ||
           error == beast::http::error::header_limit ||
           error == beast::http::error::buffer_overflow;
}

/// Handles the end of a read. \returns true when it has failed.
bool fail_after_read(client_pointer const & client, connection_pointer const & connection,
                     boost::system::error_code error)
{
    if (!error && connection->m_open)
    {
        return false;
    }
    connection->m_too_large = connection->m_open && is_limit(error);
    fail_connection(client, connection);
    return true;
}

void finish_response(client_pointer const & client, connection_pointer const & connection)
{
    bool const keep_open = connection->m_parser->keep_alive() && !connection->m_writing;
    response received = from_beast(connection->m_parser->release());
    if (keep_open)
    {
        client->m_addresses[connection->m_address].m_idle.push_back(connection);
        watch_idle_connection(client, connection);
    }
    else
    {
        close_connection(client, connection);
    }
    finish_request(client, connection, {}, std::move(received));
    if (!client->m_closed)
    {
        start_waiting(client, connection->m_address);
    }
}

/// Finishes the response if it is complete, or reads its next part.
void receive_body(client_pointer const & client, connection_pointer const & connection)
{
    connection->m_progress_at = std::chrono::steady_clock::now();
    if (connection->m_parser->is_done())
    {
        finish_response(client, connection);
        return;
    }
    beast::http::async_read_some(
        connection->m_socket, connection->m_buffer, *connection->m_parser,
        [client, connection](boost::system::error_code error, std::size_t)
        {
            if (!fail_after_read(client, connection, error))
            {
                receive_body(client, connection);
            }
        });
}

/// Reads the header before the body: with Beast 1.74 a read of both loses the error of a
/// declared length beyond the limit when part of the body has arrived with the header.
void receive_response(client_pointer const & client,
                      connection_pointer const & connection)
{
    connection->m_parser.emplace();
    connection->m_parser->body_limit(client->m_options.m_max_body_bytes);
    beast::http::async_read_header(
        connection->m_socket, connection->m_buffer, *connection->m_parser,
        [client, connection](boost::system::error_code header_error, std::size_t)
        {
            if (fail_after_read(client, connection, header_error))
            {
                return;
            }
            connection->m_parser->eager(true);
            receive_body(client, connection);
        });
}

/// Fails the connection if its request is unfinished at \p deadline, or at the end of the
/// stall timeout since a part of the response arrived if that is later.
void set_deadline(client_pointer const & client, connection_pointer const & connection,
                  std::chrono::steady_clock::time_point deadline)
{
    connection->m_timer.expires_at(deadline);
    connection->m_timer.async_wait(
        [client, connection](boost::system::error_code error)
        {
            auto const now = std::chrono::steady_clock::now();
            if (error || !connection->m_open || !connection->m_request ||
                connection->m_timer.expiry() > now)
            {
                return;
            }
            auto const stalled_at =
                connection->m_progress_at +
                std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                    client->m_options.m_stall_timeout);
            if (client->m_options.m_stall_timeout > duration::zero() && stalled_at > now)
            {
                set_deadline(client, connection, stalled_at);
                return;
            }
            fail_connection(client, connection);
        });
}

void write_request(client_pointer const & client, connection_pointer const & connection)
{
    connection->m_write_started = true;
    connection->m_writing = true;
    connection->m_progress_at = {};
    connection->m_message = std::move(connection->m_request->m_message);
    set_deadline(client, connection, connection->m_request->m_deadline);
    beast::http::async_write(
        connection->m_socket, connection->m_message,
        [client, connection](boost::system::error_code error, std::size_t)
        {
            connection->m_writing = false;
            if (error && connection->m_open)
            {
                fail_connection(client, connection);
            }
        });
    receive_response(client, connection);
}

/// \pre \p address is valid.
void open_connection(client_pointer const & client, std::string const & address,
                     client_request first_request)
{
    auto const endpoint = parse_endpoint(address);
    BOOST_ASSERT(endpoint);
    auto const connection = std::make_shared<client_connection>(client->m_loop, address);
    client->m_addresses[address].m_connections.push_back(connection);
    ++client->m_opened_connections;
    auto const connect_deadline =
        std::chrono::steady_clock::now() + client->m_options.m_connect_timeout;
    auto const deadline = std::min(first_request.m_deadline, connect_deadline);
    connection->m_request = std::move(first_request);
    set_deadline(client, connection, deadline);
    connection->m_socket.async_connect(
        *endpoint,
        [client, connection](boost::system::error_code error)
        {
            // After a suspension of the process the connection may be ready before the
            // timer has expired.
            if (error || !connection->m_open ||
                connection->m_request->m_deadline <= std::chrono::steady_clock::now())
            {
                fail_connection(client, connection);
                return;
            }
            set_socket_options(connection->m_socket, client->m_options.m_user_timeout);
            write_request(client, connection);
        });
}

/// Ends waiting requests with connect_failed at their deadline.
void schedule_expiry(client_pointer const & client, std::string const & address)
{
    address_state & target = client->m_addresses[address];
    if (target.m_waiting.empty())
    {
        return;
    }
    if (!target.m_expiry_timer)
    {
        target.m_expiry_timer = std::make_unique<asio::steady_timer>(client->m_loop);
    }
    auto const earliest =
        std::min_element(target.m_waiting.begin(), target.m_waiting.end(),
                         [](client_request const & left, client_request const & right)
                         { return left.m_deadline < right.m_deadline; });
    target.m_expiry_timer->expires_at(earliest->m_deadline);
    target.m_expiry_timer->async_wait(
        [client, address](boost::system::error_code error)
        {
            if (error || client->m_closed)
            {
                return;
            }
            auto & waiting = client->m_addresses[address].m_waiting;
            auto const now = std::chrono::steady_clock::now();
            auto const expired =
                std::stable_partition(waiting.begin(), waiting.end(),
                                      [now](client_request const & request)
                                      { return request.m_deadline > now; });
            std::vector<client_request> expired_requests(
                std::make_move_iterator(expired), std::make_move_iterator(waiting.end()));
            waiting.erase(expired, waiting.end());
            for (client_request const & request : expired_requests)
            {
                request.m_handler(http_errc::connect_failed, {});
            }
            schedule_expiry(client, address);
        });
}

/// Starts waiting requests, as long as a connection is idle or another may be opened.
void start_waiting(client_pointer const & client, std::string const & address)
{
    address_state & target = client->m_addresses[address];
    while (!target.m_waiting.empty() &&
           (!target.m_idle.empty() ||
            target.m_connections.size() < client->m_options.m_connections))
    {
        client_request next = std::move(target.m_waiting.front());
        target.m_waiting.pop_front();
        if (next.m_deadline <= std::chrono::steady_clock::now())
        {
            next.m_handler(http_errc::connect_failed, {});
        }
        else if (target.m_idle.empty())
        {
            open_connection(client, address, std::move(next));
        }
        else
        {
            connection_pointer const connection = target.m_idle.back();
            target.m_idle.pop_back();
            connection->m_request = std::move(next);
            write_request(client, connection);
        }
    }
}

} // namespace internal

void async_client_deleter::operator()(async_client_state * state) const noexcept
{
    state->m_closed = true;
    for (auto & [address, target] : state->m_addresses)
    {
        for (internal::connection_pointer const & connection : target.m_connections)
        {
            boost::system::error_code ignored;
            connection->m_open = false;
            connection->m_timer.cancel(ignored);
            connection->m_socket.close(ignored);
        }
        target.m_connections.clear();
        target.m_idle.clear();
        target.m_expiry_timer.reset();
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

void send_request(async_client_state & client, std::string const & address,
                  request message, duration timeout, response_handler handler)
{
    if (!internal::parse_endpoint(address))
    {
        handler(http_errc::bad_address, {});
        return;
    }
    internal::client_request waiting_request{
        internal::to_beast(std::move(message), address),
        std::chrono::steady_clock::now() +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout),
        std::move(handler)};
    client.m_addresses[address].m_waiting.push_back(std::move(waiting_request));
    internal::start_waiting(client.m_self, address);
    internal::schedule_expiry(client.m_self, address);
}

std::uint64_t opened_connections(async_client_state const & client) noexcept
{
    return client.m_opened_connections;
}

} // namespace cassiahub::http
