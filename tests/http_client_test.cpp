/// \file Tests of the blocking HTTP client with servers that send no or half a response.

#include <cassiahub/http.hpp>

#include <arpa/inet.h>
#include <civetweb.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <future>
#include <string>
#include <thread>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

/// A server that accepts one connection and reads one request without a body from it.
class raw_server
{
public:
    raw_server() : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        CPPUNIT_ASSERT(
            bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        CPPUNIT_ASSERT(listen(m_fd, 1) == 0);
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &length);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }

    raw_server(raw_server const &) = delete;
    raw_server & operator=(raw_server const &) = delete;

    ~raw_server()
    {
        close(m_fd);
    }

    std::string const & address() const
    {
        return m_address;
    }

    /// Reads a request, sends \p response, waits until \p done is ready and closes the
    /// connection.
    void serve(std::string_view response, std::future<void> const & done) const
    {
        int const connection = accept(m_fd, nullptr, nullptr);
        std::string received;
        char buffer[4096];
        ssize_t count = 0;
        while (received.find("\r\n\r\n") == std::string::npos &&
               (count = recv(connection, buffer, sizeof buffer, 0)) > 0)
        {
            received.append(buffer, static_cast<std::size_t>(count));
        }
        send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        done.wait();
        close(connection);
    }

private:
    int m_fd;
    std::string m_address;
};

// Guards against a server that crashes over a request and is taken for a slow one, and
// against a slow one that is taken for crashed.
class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(connection_that_breaks_before_response_is_reported_as_broken);
    CPPUNIT_TEST(connection_that_breaks_within_response_is_reported_as_lost_response);
    CPPUNIT_TEST(connection_that_breaks_within_header_is_reported_as_lost_response);
    CPPUNIT_TEST(timeout_before_response_is_reported_as_lost_response);
    CPPUNIT_TEST(refused_connection_is_reported_as_failed);
    CPPUNIT_TEST_SUITE_END();

    /// \returns the error of a request to a server that sends \p response and then closes
    /// the connection, or keeps it open if \p keep_open is set.
    static std::error_code request_from(std::string_view response, duration timeout,
                                        bool keep_open = false)
    {
        raw_server const server;
        std::promise<void> done;
        std::jthread const thread([&server, response, close_at = done.get_future()]
                                  { server.serve(response, close_at); });
        if (!keep_open)
        {
            done.set_value();
        }
        http::response received;
        std::error_code const error = http::exchange_once(
            server.address(), {"GET", "/", {}, {}, {}}, timeout, received);
        if (keep_open)
        {
            done.set_value();
        }
        return error;
    }

public:
    void setUp() override
    {
        mg_init_library(MG_FEATURES_DEFAULT);
    }

    void connection_that_breaks_before_response_is_reported_as_broken()
    {
        std::error_code const error = request_from("", 30s);
        CPPUNIT_ASSERT(error == http::http_errc::connection_broken);
        CPPUNIT_ASSERT(http::may_have_arrived(error));
    }

    void connection_that_breaks_within_response_is_reported_as_lost_response()
    {
        std::error_code const error =
            request_from("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", 30s);
        CPPUNIT_ASSERT(error == http::http_errc::response_lost);
        CPPUNIT_ASSERT(http::may_have_arrived(error));
    }

    void connection_that_breaks_within_header_is_reported_as_lost_response()
    {
        CPPUNIT_ASSERT(request_from("HTTP/1.1 200 O", 30s) ==
                       http::http_errc::response_lost);
    }

    void timeout_before_response_is_reported_as_lost_response()
    {
        CPPUNIT_ASSERT(request_from("", 200ms, true) == http::http_errc::response_lost);
    }

    void refused_connection_is_reported_as_failed()
    {
        std::string address;
        {
            raw_server const closed;
            address = closed.address();
        }
        http::response received;
        std::error_code const error =
            http::exchange_once(address, {"GET", "/", {}, {}, {}}, 30s, received);
        CPPUNIT_ASSERT(error == http::http_errc::connect_failed);
        CPPUNIT_ASSERT(!http::may_have_arrived(error));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace
