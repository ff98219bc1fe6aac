/// \file A gateway process while the operator drains failure domains in the store.

#include "gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace gateway_fixture;

namespace
{

// Guards against rows that are not read, and against starts in a drained domain later
// than the bound. "up-0" is in the domain "north" of the gateway, "up-1" in "south".
class gateway_drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_drain_test);
    CPPUNIT_TEST(drained_domain_gets_no_start_until_its_row_is_removed);
    CPPUNIT_TEST(row_that_is_gone_with_the_history_drains_no_longer);
    CPPUNIT_TEST(row_written_before_the_start_is_in_force_when_ready);
    CPPUNIT_TEST_SUITE_END();

    static constexpr char const * drain_row = "evacuate/south";

    platform_stand_in m_platform;
    std::unique_ptr<gateway_process> m_gateway;
    int m_next_job = 1;

    template <typename Condition>
    static bool wait_for(Condition condition)
    {
        for (int poll = 0; poll < 500 && !condition(); ++poll)
        {
            std::this_thread::sleep_for(20ms);
        }
        return condition();
    }

    bool is_logged(std::string const & code, std::size_t count = 1) const
    {
        return wait_for([&] { return m_gateway->log_lines(code).size() >= count; });
    }

    /// \returns the upstreams that 16 jobs, one after another, were started on.
    std::set<std::string> run_jobs()
    {
        auto const before = m_platform.starts();
        for (int job = 0; job < 16; ++job)
        {
            m_gateway->run_job(fmt::format("{:016x}", m_next_job++));
        }
        std::set<std::string> used;
        for (auto const & [task, upstreams] : m_platform.starts())
        {
            if (!before.contains(task))
            {
                used.insert(upstreams.begin(), upstreams.end());
            }
        }
        return used;
    }

    void start_gateway()
    {
        m_gateway = std::make_unique<gateway_process>(m_platform.store_address());
        CPPUNIT_ASSERT(wait_for([this] { return m_gateway->is_ready(); }));
        CPPUNIT_ASSERT(is_logged("upstream_claimed", 2));
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
        m_platform.add_upstream("up-1");
        json south = m_platform.registration("up-1");
        south["zone"] = "south";
        m_platform.put("servers", "up-1", south.dump());
    }

    void tearDown() override
    {
        m_gateway.reset();
    }

    void drained_domain_gets_no_start_until_its_row_is_removed()
    {
        start_gateway();
        CPPUNIT_ASSERT(run_jobs().contains("up-1"));
        m_platform.put_encoded("op", drain_row, "*");
        CPPUNIT_ASSERT(is_logged("domain_drained"));
        CPPUNIT_ASSERT(run_jobs() == std::set<std::string>{"up-0"});
        m_platform.remove("op", drain_row);
        CPPUNIT_ASSERT(is_logged("domain_restored"));
        CPPUNIT_ASSERT(run_jobs().contains("up-1"));
    }

    void row_that_is_gone_with_the_history_drains_no_longer()
    {
        start_gateway();
        m_platform.put("op", drain_row, "");
        CPPUNIT_ASSERT(is_logged("domain_drained"));
        m_platform.lose_history_with("op", drain_row);
        CPPUNIT_ASSERT(is_logged("domain_restored"));
        CPPUNIT_ASSERT(run_jobs().contains("up-1"));
    }

    void row_written_before_the_start_is_in_force_when_ready()
    {
        m_platform.put("op", drain_row, "");
        start_gateway();
        CPPUNIT_ASSERT(run_jobs() == std::set<std::string>{"up-0"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_drain_test);

} // namespace
