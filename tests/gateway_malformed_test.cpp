/// \file Tests of a gateway process that receives malformed bytes from callers.

#include "gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace gateway_fixture;

namespace
{

constexpr duration wait_timeout = 10s;

// Guards against a malformed request that ends the work of others, or the process.
class gateway_malformed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_malformed_test);
    CPPUNIT_TEST(job_with_malformed_id_is_refused_and_duties_go_on);
    CPPUNIT_TEST_SUITE_END();

    platform_stand_in m_platform;
    std::unique_ptr<gateway_process> m_gateway;

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
        time_point const limit = runtime::read_boot_clock() + wait_timeout;
        while (!m_gateway->is_ready() || m_platform.calls("up-0") == 0)
        {
            CPPUNIT_ASSERT(runtime::read_boot_clock() < limit);
            std::this_thread::sleep_for(20ms);
        }
    }

    void tearDown() override
    {
        m_gateway.reset();
    }

    // Guards against the exception that ended the duty of the calls to upstreams and,
    // when there were several such jobs, the process.
    void job_with_malformed_id_is_refused_and_duties_go_on()
    {
        int const status = m_gateway->run_job("00000000000000a\xe9");
        CPPUNIT_ASSERT_EQUAL(200, m_gateway->run_job("00000000000000aa"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_gateway->log_lines("duty_failed").size());
        CPPUNIT_ASSERT_EQUAL(400, status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_platform.starts().size());
        CPPUNIT_ASSERT(!m_gateway->log_lines("request_refused").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_malformed_test);

} // namespace
