#ifndef CASSIAHUB_TESTS_THROTTLED_RELAY_HPP
#define CASSIAHUB_TESTS_THROTTLED_RELAY_HPP

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

/// \file A relay to a server that limits the rate of the bytes that come back.

namespace gateway_fixture
{

/// Listens on a loopback address of its own. All connections together return at most a
/// given number of bytes a second, each in turn. Requests are passed on at once.
class throttled_relay
{
public:
    /// \param target "ip:port" of the server.
    /// \pre bytes_per_second > 0
    throttled_relay(std::string const & target, std::int64_t bytes_per_second)
        : m_target(
              boost::asio::ip::make_address_v4(target.substr(0, target.find(':'))),
              static_cast<std::uint16_t>(std::stoi(target.substr(target.find(':') + 1)))),
          m_bytes_per_second(bytes_per_second),
          m_acceptor(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
        m_thread = std::thread([this] { m_loop.run(); });
    }

    throttled_relay(throttled_relay const &) = delete;
    throttled_relay & operator=(throttled_relay const &) = delete;

    ~throttled_relay()
    {
        m_loop.stop();
        m_thread.join();
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    /// Returns nothing from now on; connections stay open. Thread-safe.
    void hold() noexcept
    {
        m_held = true;
    }

private:
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    struct connection
    {
        explicit connection(boost::asio::io_context & loop)
            : m_client(loop), m_server(loop), m_timer(loop)
        {
        }

        tcp::socket m_client;
        tcp::socket m_server;
        boost::asio::steady_timer m_timer;
        std::array<char, 4096> m_request{};
        std::array<char, 4096> m_response{};
    };

    using connection_pointer = std::shared_ptr<connection>;

    static void close(connection & closed)
    {
        error_code ignored;
        closed.m_timer.cancel(ignored);
        closed.m_client.close(ignored);
        closed.m_server.close(ignored);
    }

    void accept()
    {
        auto const next = std::make_shared<connection>(m_loop);
        m_acceptor.async_accept(next->m_client,
                                [this, next](error_code error)
                                {
                                    error_code refused = error;
                                    if (!error)
                                    {
                                        next->m_server.connect(m_target, refused);
                                    }
                                    if (!refused)
                                    {
                                        pass_requests(next);
                                        pass_responses(next);
                                    }
                                    accept();
                                });
    }

    void pass_requests(connection_pointer const & passed)
    {
        passed->m_client.async_read_some(
            boost::asio::buffer(passed->m_request),
            [this, passed](error_code error, std::size_t size)
            {
                if (!error)
                {
                    boost::asio::write(
                        passed->m_server,
                        boost::asio::buffer(passed->m_request.data(), size), error);
                }
                if (error)
                {
                    close(*passed);
                    return;
                }
                pass_requests(passed);
            });
    }

    void pass_responses(connection_pointer const & passed)
    {
        passed->m_server.async_read_some(
            boost::asio::buffer(passed->m_response),
            [this, passed](error_code error, std::size_t size)
            {
                if (error)
                {
                    close(*passed);
                    return;
                }
                delay_response(passed, size);
            });
    }

    /// Passes \p size bytes on when the bytes before them have passed the path.
    void delay_response(connection_pointer const & passed, std::size_t size)
    {
        auto const taken = std::chrono::nanoseconds(static_cast<std::int64_t>(size) *
                                                    1'000'000'000 / m_bytes_per_second);
        m_free_at = std::max(m_free_at, std::chrono::steady_clock::now()) + taken;
        passed->m_timer.expires_at(m_free_at);
        passed->m_timer.async_wait(
            [this, passed, size](error_code error)
            {
                if (m_held)
                {
                    return;
                }
                if (!error)
                {
                    boost::asio::write(
                        passed->m_client,
                        boost::asio::buffer(passed->m_response.data(), size), error);
                }
                if (error)
                {
                    close(*passed);
                    return;
                }
                pass_responses(passed);
            });
    }

    boost::asio::io_context m_loop{1};
    tcp::endpoint m_target;
    std::int64_t m_bytes_per_second;
    std::chrono::steady_clock::time_point m_free_at{}; ///< end of the last byte's passage
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_held{false};
    std::thread m_thread;
};

} // namespace gateway_fixture

#endif
