/// \file Tests of the duty that sends calls to upstreams, with the platform's codec.

#include "free_port.hpp"
#include "gateway/context.hpp"
#include "platform/wire_format.hpp"

#include <cassiahub/gateway/error.hpp>
#include <cassiahub/http/async_server.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

constexpr duration wait_timeout = 5s;

/// Fails on a body that a sound reply never has, like a decoder with a fault.
lease::upstream_reply decode_unless_odd(http::response const & received)
{
    if (received.m_body.find("odd") != std::string::npos)
    {
        throw std::length_error(std::string(10'000, 'x'));
    }
    return platform::make_wire_format().m_decode_reply(received);
}

// Guards against a call or a reply that ends the calls of all other jobs.
class upstream_calls_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_calls_test);
    CPPUNIT_TEST(call_that_cannot_be_encoded_fails_alone_and_unsent);
    CPPUNIT_TEST(reply_that_cannot_be_decoded_fails_alone_as_lost);
    CPPUNIT_TEST_SUITE_END();

    config::gateway_settings m_settings;
    config::entry_settings m_entry_settings;
    entry::daemon_context m_daemon{m_entry_settings, true};
    gateway::wire_format m_wire = platform::make_wire_format();
    gateway::gateway_context m_context{m_daemon, m_settings, m_wire};
    std::string m_address = fmt::format("127.0.0.1:{}", find_free_port());
    std::string m_reply_body = R"({"clock-ms":1,"running":[],"ended":[]})";
    int m_received = 0; ///< calls that the upstream got; read after its loop has ended
    boost::asio::io_context m_loop{1};
    http::async_server m_upstream;
    std::jthread m_upstream_thread;
    std::jthread m_duty_thread;

    void send(lease::call_number number, std::string payload)
    {
        lease::start_call start{
            {{"5c0e7a21d94b36f8", 0, 0, 0}, 1}, std::move(payload), 9};
        m_daemon.m_upstream_calls.push(
            {number, "up-0", m_address, 1, 1s, std::move(start)}, {});
    }

    /// \returns the outcomes of the next \p count replies by the number of the call.
    std::map<lease::call_number, lease::call_outcome> take_outcomes(std::size_t count)
    {
        std::map<lease::call_number, lease::call_outcome> outcomes;
        while (outcomes.size() < count)
        {
            auto const event = m_daemon.m_events.pop(wait_timeout);
            CPPUNIT_ASSERT_MESSAGE("the duty has ended", event);
            auto const & reply = std::get<decision::upstream_replied>(*event).m_reply;
            outcomes.emplace(reply.m_number, reply.m_outcome);
        }
        return outcomes;
    }

    void check_logged(gateway::call_errc expected)
    {
        auto const item = m_daemon.m_telemetry.pop(wait_timeout);
        CPPUNIT_ASSERT(item);
        auto const & line = std::get<decision::log_event>(*item);
        CPPUNIT_ASSERT(line.m_error == expected && line.m_subject == "up-0");
        CPPUNIT_ASSERT(line.m_detail.size() < 300);
    }

public:
    void setUp() override
    {
        std::error_code error;
        http::async_server_options options;
        options.m_address = m_address;
        m_upstream = http::start_async_server(
            m_loop, options,
            {[this](http::exchange_id exchange, http::request const & received)
             {
                 ++m_received;
                 bool const odd = received.m_body.find("odd") != std::string::npos;
                 http::respond(*m_upstream, exchange,
                               {200, {}, {}, odd ? "odd" : m_reply_body});
             },
             [](http::exchange_id) {
             }},
            error);
        CPPUNIT_ASSERT(!error);
        m_upstream_thread = std::jthread([this] { m_loop.run(); });
        m_duty_thread = std::jthread(
            [this](std::stop_token const & stop)
            {
                try
                {
                    gateway::run_upstream_calls(m_context, stop);
                }
                catch (std::exception const &)
                {
                    m_daemon.m_events.close();
                }
            });
    }

    void tearDown() override
    {
        m_duty_thread = {};
        m_loop.stop();
        m_upstream_thread = {};
    }

    // Guards against the loss of calls in flight to a payload that is not UTF-8.
    void call_that_cannot_be_encoded_fails_alone_and_unsent()
    {
        send(1, "sound");
        send(2, "\xe9");
        send(3, "sound");
        auto const outcomes = take_outcomes(3);
        CPPUNIT_ASSERT(outcomes.at(1) == lease::call_outcome::accepted);
        CPPUNIT_ASSERT(outcomes.at(2) == lease::call_outcome::unreachable);
        CPPUNIT_ASSERT(outcomes.at(3) == lease::call_outcome::accepted);
        check_logged(gateway::call_errc::not_encodable);
        tearDown();
        CPPUNIT_ASSERT_EQUAL(2, m_received);
    }

    // Guards against a start that counts as not run although its reply was lost.
    void reply_that_cannot_be_decoded_fails_alone_as_lost()
    {
        m_wire.m_decode_reply = decode_unless_odd;
        send(1, "odd");
        send(2, "sound");
        auto const outcomes = take_outcomes(2);
        CPPUNIT_ASSERT(outcomes.at(1) == lease::call_outcome::lost);
        CPPUNIT_ASSERT(outcomes.at(2) == lease::call_outcome::accepted);
        check_logged(gateway::call_errc::not_decodable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_calls_test);

} // namespace
