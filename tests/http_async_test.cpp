/// \file Tests of the asynchronous HTTP client and server, connected to each other or to
/// raw sockets.

#include "free_port.hpp"

#include <cassiahub/http/async_client.hpp>
#include <cassiahub/http/async_server.hpp>
#include <cassiahub/http/error.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace cassiahub;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

// Guards against requests that are lost without an error or wait forever, and against
// work for a client that has disconnected.
class http_async_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_async_test);
    CPPUNIT_TEST(two_requests_share_a_connection);
    CPPUNIT_TEST(request_above_connection_limit_waits_for_connection);
    CPPUNIT_TEST(request_to_closed_port_fails_as_not_sent);
    CPPUNIT_TEST(request_without_response_at_its_deadline_fails_as_response_lost);
    CPPUNIT_TEST(request_waiting_at_its_deadline_fails_as_not_sent);
    CPPUNIT_TEST(request_whose_connection_opens_after_its_deadline_is_not_sent);
    CPPUNIT_TEST(request_at_its_deadline_while_written_is_lost);
    CPPUNIT_TEST(response_while_request_is_written_closes_connection);
    CPPUNIT_TEST(response_beyond_limits_fails_as_too_large);
    CPPUNIT_TEST(response_that_arrives_beyond_its_timeout_without_stall_is_complete);
    CPPUNIT_TEST(response_that_stalls_is_lost);
    CPPUNIT_TEST(client_that_disconnects_is_reported);
    CPPUNIT_TEST(request_of_connection_that_was_reset_is_not_served);
    CPPUNIT_TEST(body_beyond_limit_is_refused);
    CPPUNIT_TEST(malformed_request_is_refused);
    CPPUNIT_TEST(server_that_stops_accepting_responds_to_open_requests);
    CPPUNIT_TEST(bad_address_is_reported);
    CPPUNIT_TEST(bad_address_too_long_for_a_header_is_reported);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_loop{1};
    std::string m_address;
    std::uint16_t m_port = 0;
    http::async_server m_server;
    http::async_client m_client;
    std::vector<http::exchange_id> m_open_exchanges;
    std::vector<http::exchange_id> m_disconnected;
    std::vector<std::error_code> m_errors;
    std::vector<http::response> m_responses;
    bool m_echo = true; ///< the server responds to each request at once, with its body

    void run_for(duration time)
    {
        m_loop.restart();
        m_loop.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(time));
    }

    /// Runs until \p count responses have arrived, at most 5 s.
    void wait_for(std::size_t count)
    {
        for (int poll = 0; poll < 250 && m_errors.size() < count; ++poll)
        {
            run_for(20ms);
        }
        CPPUNIT_ASSERT_EQUAL(count, m_errors.size());
    }

    void send(std::string body, duration timeout = 3s)
    {
        http::send_request(*m_client, m_address, {"POST", "/x", "", {}, std::move(body)},
                           timeout,
                           [this](std::error_code error, http::response received)
                           {
                               m_errors.push_back(error);
                               m_responses.push_back(std::move(received));
                           });
    }

    asio::ip::tcp::socket connect_raw()
    {
        asio::ip::tcp::socket socket(m_loop);
        socket.connect({asio::ip::make_address_v4("127.0.0.1"), m_port});
        return socket;
    }

    static std::string read_some(asio::ip::tcp::socket & socket)
    {
        std::string text(512, '\0');
        boost::system::error_code ignored;
        text.resize(socket.read_some(asio::buffer(text), ignored));
        return text;
    }

    /// Reads while the client runs, until the client closes the connection, at most 5 s.
    /// \returns the number of bytes read.
    std::size_t read_until_closed(asio::ip::tcp::socket & socket)
    {
        std::string buffer(65'536, '\0');
        std::size_t size = 0;
        boost::system::error_code error;
        socket.non_blocking(true);
        for (int poll = 0; poll < 2500; ++poll)
        {
            size += socket.read_some(asio::buffer(buffer), error);
            if (error && error != asio::error::would_block)
            {
                break;
            }
            run_for(error ? 2ms : 0ms);
        }
        return size;
    }

public:
    void setUp() override
    {
        m_port = find_free_port();
        m_address = "127.0.0.1:" + std::to_string(m_port);
        http::async_server_options options;
        options.m_address = m_address;
        options.m_limits.m_max_body_bytes = 1000;
        std::error_code error;
        m_server = http::start_async_server(
            m_loop, options,
            {[this](http::exchange_id exchange, http::request const & received)
             {
                 if (m_echo)
                 {
                     http::response message;
                     message.m_body = received.m_body;
                     http::respond(*m_server, exchange, std::move(message));
                     return;
                 }
                 m_open_exchanges.push_back(exchange);
             },
             [this](http::exchange_id exchange)
             {
                 m_disconnected.push_back(exchange);
             }},
            error);
        CPPUNIT_ASSERT(!error);
        http::async_client_options client;
        client.m_connections = 2;
        m_client = http::make_async_client(m_loop, client);
    }

    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
        run_for(10ms);
    }

    void two_requests_share_a_connection()
    {
        send("first");
        wait_for(1);
        send("second");
        wait_for(2);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), m_responses[1].m_body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), http::opened_connections(*m_client));
    }

    void request_above_connection_limit_waits_for_connection()
    {
        for (int index = 0; index < 10; ++index)
        {
            send(std::to_string(index));
        }
        wait_for(10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), http::opened_connections(*m_client));
        for (std::error_code const & error : m_errors)
        {
            CPPUNIT_ASSERT(!error);
        }
    }

    void request_to_closed_port_fails_as_not_sent()
    {
        m_server.reset();
        send("x");
        wait_for(1);
        CPPUNIT_ASSERT(m_errors[0] == http::http_errc::connect_failed);
    }

    void request_without_response_at_its_deadline_fails_as_response_lost()
    {
        m_echo = false;
        send("x", 200ms);
        wait_for(1);
        CPPUNIT_ASSERT(m_errors[0] == http::http_errc::response_lost);
    }

    void request_waiting_at_its_deadline_fails_as_not_sent()
    {
        m_echo = false;
        send("a", 300ms);
        send("b", 300ms);
        send("c", 100ms);
        wait_for(1);
        CPPUNIT_ASSERT(m_errors[0] == http::http_errc::connect_failed);
        wait_for(3);
        CPPUNIT_ASSERT(m_errors[1] == http::http_errc::response_lost);
    }

    // Guards against a start that reaches its upstream after a suspension of the process.
    void request_whose_connection_opens_after_its_deadline_is_not_sent()
    {
        for (std::size_t round = 0; round < 10; ++round)
        {
            m_echo = false;
            m_client = http::make_async_client(m_loop, {});
            send("a", 20ms);
            std::this_thread::sleep_for(30ms);
            wait_for(round + 1);
            CPPUNIT_ASSERT(m_errors[round] == http::http_errc::connect_failed);
        }
        CPPUNIT_ASSERT(m_open_exchanges.empty());
    }

    // Guards against freeing a message at its deadline while it is still being written.
    void request_at_its_deadline_while_written_is_lost()
    {
        m_server.reset();
        asio::ip::tcp::acceptor acceptor_without_accept(
            m_loop, {asio::ip::make_address_v4("127.0.0.1"), m_port});
        for (std::size_t round = 0; round < 20; ++round)
        {
            send(std::string(8'000'000, 'x'), 20ms);
            wait_for(round + 1);
            CPPUNIT_ASSERT(m_errors[round] == http::http_errc::response_lost);
        }
    }

    // Guards against freeing a message that is still being written when its response
    // arrives, and against reusing its connection.
    void response_while_request_is_written_closes_connection()
    {
        m_server.reset();
        asio::ip::tcp::acceptor acceptor(
            m_loop, {asio::ip::make_address_v4("127.0.0.1"), m_port});
        std::string const body(8'000'000, 'x');
        send(body);
        run_for(20ms);
        asio::ip::tcp::socket accepted = acceptor.accept();
        asio::write(accepted, asio::buffer(std::string(
                                  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        wait_for(1);
        CPPUNIT_ASSERT(!m_errors[0]);
        CPPUNIT_ASSERT(read_until_closed(accepted) < body.size());
        send("second");
        run_for(20ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), http::opened_connections(*m_client));
    }

    // Guards against memory that grows with a response without end.
    void response_beyond_limits_fails_as_too_large()
    {
        m_server.reset();
        asio::ip::tcp::acceptor acceptor(
            m_loop, {asio::ip::make_address_v4("127.0.0.1"), m_port});
        std::string const head = "HTTP/1.1 200 OK\r\n";
        std::string const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        std::string responses[] = {head + "Content-Length: 99999999\r\n\r\n",
                                   head + "X: ", chunked + "1;", chunked + "0\r\nX: "};
        for (std::string & response : responses)
        {
            response += std::string(200'000, 'x');
            std::size_t const failures = m_errors.size();
            send("x");
            run_for(20ms);
            asio::ip::tcp::socket accepted = acceptor.accept();
            asio::async_write(accepted, asio::buffer(response),
                              [](boost::system::error_code, std::size_t) {});
            wait_for(failures + 1);
            CPPUNIT_ASSERT(m_errors.back() == http::http_errc::response_too_large);
            accepted.close();
            run_for(10ms);
        }
    }

    /// Sends a request with a timeout of 100 ms by a client with a stall timeout of
    /// 200 ms, and responds with \p parts of the announced body, one every 50 ms.
    void respond_in_parts(std::size_t announced, std::size_t parts)
    {
        m_server.reset();
        asio::ip::tcp::acceptor acceptor(
            m_loop, {asio::ip::make_address_v4("127.0.0.1"), m_port});
        http::async_client_options options;
        options.m_stall_timeout = 200ms;
        m_client = http::make_async_client(m_loop, options);
        send("x", 100ms);
        run_for(20ms);
        asio::ip::tcp::socket accepted = acceptor.accept();
        asio::write(accepted, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                           std::to_string(announced) + "\r\n\r\n"));
        for (std::size_t part = 0; part < parts; ++part)
        {
            run_for(50ms);
            asio::write(accepted, asio::buffer(std::string("x")));
        }
        wait_for(1);
    }

    // Guards against a response of which only a part arrives before its timeout, however
    // often it is asked for.
    void response_that_arrives_beyond_its_timeout_without_stall_is_complete()
    {
        respond_in_parts(10, 10);
        CPPUNIT_ASSERT(!m_errors[0]);
        CPPUNIT_ASSERT_EQUAL(std::string(10, 'x'), m_responses[0].m_body);
    }

    // Guards against waiting on a connection that has gone silent within a response.
    void response_that_stalls_is_lost()
    {
        auto const begin = std::chrono::steady_clock::now();
        respond_in_parts(10, 3);
        CPPUNIT_ASSERT(m_errors[0] == http::http_errc::response_lost);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < 2s);
    }

    void client_that_disconnects_is_reported()
    {
        m_echo = false;
        {
            auto socket = connect_raw();
            asio::write(socket, asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\n"
                                                         "Content-Length: 1\r\n\r\nx")));
            run_for(100ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_open_exchanges.size());
            CPPUNIT_ASSERT(m_disconnected.empty());
        }
        run_for(100ms);
        CPPUNIT_ASSERT(m_disconnected == m_open_exchanges);
        http::respond(*m_server, m_open_exchanges[0], {});
    }

    // A client whose connection was reset resends its request at once, so the server must
    // not handle this copy.
    void request_of_connection_that_was_reset_is_not_served()
    {
        m_echo = false;
        asio::ip::tcp::socket raw_socket = connect_raw();
        run_for(20ms);
        asio::write(raw_socket, asio::buffer(std::string(
                                    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2"
                                    "\r\n\r\n{}")));
        raw_socket.set_option(asio::socket_base::linger(true, 0));
        raw_socket.close();
        run_for(50ms);
        CPPUNIT_ASSERT(m_open_exchanges.empty());
        CPPUNIT_ASSERT(m_disconnected.empty());
    }

    void body_beyond_limit_is_refused()
    {
        send(std::string(1001, 'x'));
        wait_for(1);
        CPPUNIT_ASSERT_EQUAL(413, m_responses[0].m_status);
    }

    void malformed_request_is_refused()
    {
        auto socket = connect_raw();
        asio::write(socket, asio::buffer(std::string("no request at all\r\n\r\n")));
        run_for(100ms);
        CPPUNIT_ASSERT(read_some(socket).starts_with("HTTP/1.1 400"));
    }

    void server_that_stops_accepting_responds_to_open_requests()
    {
        m_echo = false;
        send("x");
        run_for(100ms);
        http::stop_accepting(*m_server);
        http::respond(*m_server, m_open_exchanges.at(0), {});
        wait_for(1);
        CPPUNIT_ASSERT(!m_errors[0]);
        send("y");
        wait_for(2);
        CPPUNIT_ASSERT(m_errors[1] == http::http_errc::connect_failed);
    }

    void bad_address_is_reported()
    {
        m_address = "not an address";
        send("x");
        wait_for(1);
        CPPUNIT_ASSERT(m_errors[0] == http::http_errc::bad_address);
    }

    // Guards against an exception, since the address is also the Host header.
    void bad_address_too_long_for_a_header_is_reported()
    {
        m_address = std::string(70'000, '1');
        send("x");
        wait_for(1);
        CPPUNIT_ASSERT(m_errors[0] == http::http_errc::bad_address);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_async_test);

} // namespace
