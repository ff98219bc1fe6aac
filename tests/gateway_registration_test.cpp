/// \file Tests of a gateway process whose list of upstreams holds entries that are no
/// registrations of an upstream.

#include "gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace gateway_fixture;

namespace
{

constexpr duration wait_timeout = 10s;

// Guards against an entry of another writer in the list of upstreams that ends the
// process, stops it from following the list, or is used as an upstream.
class gateway_registration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_registration_test);
    CPPUNIT_TEST(entries_with_long_addresses_are_survived);
    CPPUNIT_TEST_SUITE_END();

    platform_stand_in m_platform;
    std::unique_ptr<gateway_process> m_gateway;
    int m_jobs = 0;
    int m_upstreams = 1;

    /// \returns true when \p condition holds in time and the gateway still runs.
    bool wait_for(std::function<bool()> const & condition)
    {
        time_point const limit = runtime::read_boot_clock() + wait_timeout;
        while (m_gateway->is_running() && runtime::read_boot_clock() < limit)
        {
            if (condition())
            {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    /// \returns a registration whose member \p key is \p value.
    std::string with(char const * key, json value)
    {
        json entry = m_platform.registration("up-0");
        entry[key] = std::move(value);
        return entry.dump();
    }

    int run_job()
    {
        return m_gateway->run_job(fmt::format("{:016x}", ++m_jobs));
    }

    /// Registers another upstream and checks that it is claimed and that jobs complete.
    void check_follows_list(std::string const & after)
    {
        std::string const id = fmt::format("up-{}", ++m_upstreams);
        m_platform.add_upstream(id);
        CPPUNIT_ASSERT_MESSAGE("list not followed after " + after,
                               wait_for([&] { return m_platform.calls(id) > 0; }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(after, 200, run_job());
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
        m_gateway = std::make_unique<gateway_process>(m_platform.store_address());
        CPPUNIT_ASSERT(wait_for([this] { return m_gateway->is_ready(); }));
        CPPUNIT_ASSERT(wait_for([this] { return m_platform.calls("up-0") > 0; }));
        CPPUNIT_ASSERT(wait_for([this] { return run_job() == 200; }));
    }

    void tearDown() override
    {
        m_gateway.reset();
    }

    // Guards against an exception that ends the calls to all upstreams.
    void entries_with_long_addresses_are_survived()
    {
        for (int index = 0; index < 10; ++index)
        {
            m_platform.put("servers", fmt::format("odd-{}", index),
                           with("address", std::string(70'000, '1')));
        }
        check_follows_list("long-addresses");
        CPPUNIT_ASSERT(m_gateway->log_lines("duty_failed").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_registration_test);

} // namespace
