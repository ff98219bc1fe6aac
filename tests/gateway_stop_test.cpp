/// \file Tests of a planned stop of a gateway process.

#include "gateway_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace gateway_fixture;

namespace
{

constexpr duration wait_timeout = 10s;

// Guards against a stop that exceeds the grace period.
class gateway_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_stop_test);
    CPPUNIT_TEST(stop_with_silent_peer_exits_zero);
    CPPUNIT_TEST_SUITE_END();

    platform_stand_in m_platform;
    std::unique_ptr<gateway_process> m_gateway;

    static void wait_until(std::string const & what,
                           std::function<bool()> const & condition)
    {
        time_point const limit = runtime::read_boot_clock() + wait_timeout;
        while (!condition())
        {
            CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + what,
                                   runtime::read_boot_clock() < limit);
            std::this_thread::sleep_for(20ms);
        }
    }

    /// Renews the registration of the instance g2 until the thread is destroyed.
    std::jthread keep_registered(std::uint16_t peer_port)
    {
        return std::jthread(
            [this, peer_port](std::stop_token const & stop)
            {
                while (!stop.stop_requested())
                {
                    json const registration = {
                        {"domain", "north"},
                        {"peer_address", fmt::format("127.0.0.1:{}", peer_port)},
                        {"renewed_ms", steady_ms()}};
                    m_platform.put("cassiahub-instances", "g2", registration.dump());
                    runtime::wait_for_stop(stop, 300ms);
                }
            });
    }

public:
    void setUp() override
    {
        m_platform.put("op", "config",
                       R"({"version":1,"routes":[{"name":"check","host":"test.example",)"
                       R"("prefix":"/check/","type":"unsafe","timeout-ms":5000,)"
                       R"("target-duration-ms":4000,"priority":0,"service":"pool",)"
                       R"("max-attempts":4,"stretch":3}],"services":[{"name":"pool"}],)"
                       R"("limits":{}})");
        m_platform.add_upstream("up-0");
        // So short that the drain lasts to its end: it takes at least 2.5 s, until the
        // load balancer has detected that the instance is not ready.
        m_gateway = std::make_unique<gateway_process>(m_platform.store_address(), "3s");
        wait_until("gateway to be ready", [this] { return m_gateway->is_ready(); });
        wait_until("call to the upstream",
                   [this] { return m_platform.calls("up-0") > 0; });
    }

    void tearDown() override
    {
        m_gateway.reset();
    }

    // Guards against exit code 4 when the wait for the last messages to a peer begins at
    // the end of the drain.
    void stop_with_silent_peer_exits_zero()
    {
        asio::io_context loop(1);
        asio::ip::tcp::acceptor silent_peer(loop,
                                            {asio::ip::make_address_v4("127.0.0.1"), 0});
        std::jthread const registration =
            keep_registered(silent_peer.local_endpoint().port());
        std::this_thread::sleep_for(700ms); // the gateway lists g2 and connects to it
        CPPUNIT_ASSERT_EQUAL(0, m_gateway->stop());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stop_test);

} // namespace
