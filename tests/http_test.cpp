/// \file Tests of the blocking HTTP server with malformed, slow and too large requests.

#include <cassiahub/http.hpp>
#include <cassiahub/runtime.hpp>

#include <arpa/inet.h>
#include <civetweb.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <random>
#include <string>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

constexpr duration response_timeout = 30s;

/// A TCP client that sends arbitrary bytes.
class raw_client
{
public:
    explicit raw_client(int port) : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        target.sin_port = htons(static_cast<std::uint16_t>(port));
        timeval const receive_timeout{30, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
                   sizeof receive_timeout);
        CPPUNIT_ASSERT(
            ::connect(m_fd, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0);
    }

    raw_client(raw_client const &) = delete;
    raw_client & operator=(raw_client const &) = delete;

    ~raw_client()
    {
        close(m_fd);
    }

    void send(std::string_view bytes) const
    {
        ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// \returns the bytes received until the server closes the connection.
    std::string read_until_closed() const
    {
        std::string text;
        char buffer[4096];
        ssize_t count = 0;
        while ((count = recv(m_fd, buffer, sizeof buffer, 0)) > 0)
        {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        // A connection reset counts as a close; a receive timeout doesn't.
        CPPUNIT_ASSERT(count == 0 || errno == ECONNRESET);
        return text;
    }

private:
    int m_fd;
};

// Guards against a server that crashes, hangs or handles an incomplete request.
class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(random_bytes_never_stop_server);
    CPPUNIT_TEST(corrupted_requests_never_stop_server);
    CPPUNIT_TEST(slow_request_header_is_closed);
    CPPUNIT_TEST(slow_request_body_is_closed_and_not_handled);
    CPPUNIT_TEST(too_large_body_returns_413_and_is_not_handled);
    CPPUNIT_TEST(too_large_header_is_refused);
    CPPUNIT_TEST(endless_chunked_body_is_refused);
    CPPUNIT_TEST(response_above_limit_is_lost);
    CPPUNIT_TEST(handler_that_throws_returns_500_and_server_keeps_serving);
    CPPUNIT_TEST_SUITE_END();

    http::server m_server;
    int m_port = 0;
    std::atomic<int> m_handled{0};

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    void assert_server_responds() const
    {
        http::response received;
        std::error_code const error = http::exchange_once(
            address(), {"POST", "/", {}, {}, "sound"}, response_timeout, received);
        CPPUNIT_ASSERT_EQUAL(std::string("Success"), error.message());
        CPPUNIT_ASSERT_EQUAL(std::string("sound"), received.m_body);
    }

    /// Sends \p bytes and closes the connection without waiting for a response.
    void send_and_close(std::string_view bytes) const
    {
        raw_client(m_port).send(bytes);
    }

public:
    void setUp() override
    {
        mg_init_library(MG_FEATURES_DEFAULT);
        m_handled = 0;
        http::server_options options;
        options.m_threads = 8;
        options.m_max_body_bytes = 1024;
        options.m_request_timeout = 300ms;
        options.m_keep_alive_timeout = 300ms;
        std::mt19937 random(std::random_device{}());
        std::error_code error = http::http_errc::bind_failed;
        for (int attempt = 0; attempt < 50 && error; ++attempt)
        {
            m_port = std::uniform_int_distribution<int>(10'000, 30'000)(random);
            options.m_address = address();
            m_server = http::start_server(
                options,
                [this](http::request const & received)
                {
                    ++m_handled;
                    std::string const size = http::query_value(received.m_query, "size");
                    return http::response{
                        200,
                        "text/plain",
                        {},
                        size.empty()
                            ? received.m_body
                            : std::string(std::min(std::stoul(size), 1000UL), 'x')};
                },
                error);
        }
        CPPUNIT_ASSERT(!error);
    }

    void tearDown() override
    {
        m_server.reset();
    }

    void random_bytes_never_stop_server()
    {
        std::mt19937_64 random(20'261'204);
        for (int round = 0; round < 5'000; ++round)
        {
            std::string bytes(random() % 256, '\0');
            for (char & byte : bytes)
            {
                byte = static_cast<char>(random());
            }
            send_and_close(bytes);
        }
        assert_server_responds();
    }

    void corrupted_requests_never_stop_server()
    {
        std::string const valid_request = "POST /v1/jobs?size=1 HTTP/1.1\r\nHost: a\r\n"
                                          "Content-Length: 5\r\n\r\nhello";
        std::mt19937_64 random(20'261'205);
        for (int round = 0; round < 5'000; ++round)
        {
            std::string bytes =
                valid_request.substr(0, random() % (valid_request.size() + 1));
            for (std::size_t mutation = random() % 4; mutation > 0 && !bytes.empty();
                 --mutation)
            {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            send_and_close(bytes);
        }
        assert_server_responds();
    }

    void slow_request_header_is_closed()
    {
        raw_client const client(m_port);
        client.send("POST / HTTP/1.1\r\nHost:");
        client.read_until_closed();
        CPPUNIT_ASSERT_EQUAL(0, m_handled.load());
    }

    void slow_request_body_is_closed_and_not_handled()
    {
        raw_client const client(m_port);
        client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe");
        client.read_until_closed();
        CPPUNIT_ASSERT_EQUAL(0, m_handled.load());
    }

    void too_large_body_returns_413_and_is_not_handled()
    {
        http::response received;
        CPPUNIT_ASSERT(!http::exchange_once(
            address(), {"POST", "/", {}, {}, std::string(2'000, 'x')}, response_timeout,
            received));
        CPPUNIT_ASSERT_EQUAL(413, received.m_status);
        CPPUNIT_ASSERT_EQUAL(0, m_handled.load());
    }

    void too_large_header_is_refused()
    {
        raw_client const client(m_port);
        client.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(40'000, 'x') +
                    "\r\n\r\n");
        client.read_until_closed();
        CPPUNIT_ASSERT_EQUAL(0, m_handled.load());
    }

    void endless_chunked_body_is_refused()
    {
        raw_client const client(m_port);
        client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int chunk = 0; chunk < 100; ++chunk)
        {
            client.send("40\r\n" + std::string(0x40, 'x') + "\r\n");
        }
        client.read_until_closed();
        CPPUNIT_ASSERT_EQUAL(0, m_handled.load());
    }

    void handler_that_throws_returns_500_and_server_keeps_serving()
    {
        http::response received;
        CPPUNIT_ASSERT(!http::exchange_once(address(), {"GET", "/", "size=none", {}, {}},
                                            response_timeout, received));
        CPPUNIT_ASSERT_EQUAL(500, received.m_status);
        assert_server_responds();
    }

    void response_above_limit_is_lost()
    {
        std::error_code error;
        http::connection opened_connection = http::connect(address(), error);
        opened_connection.m_max_body_bytes = 100;
        http::response received;
        CPPUNIT_ASSERT(http::exchange(opened_connection, {"GET", "/", "size=101", {}, {}},
                                      address(), response_timeout,
                                      received) == http::http_errc::response_lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace
