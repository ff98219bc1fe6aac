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
    CPPUNIT_TEST(drain_of_all_domains_refuses_jobs_at_once);
    CPPUNIT_TEST(row_that_is_gone_with_the_history_drains_no_longer);
    CPPUNIT_TEST(row_written_before_the_start_is_in_force_when_ready);
    CPPUNIT_TEST(row_written_in_a_suspension_is_in_force_after_it);
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

    std::string next_id()
    {
        return fmt::format("{:016x}", m_next_job++);
    }

    /// \returns the upstreams that \p count jobs, one after another, were started on.
    std::set<std::string> run_jobs(int count)
    {
        int const first = m_next_job;
        for (int job = 0; job < count; ++job)
        {
            m_gateway->run_job(next_id());
        }
        return used_since(first);
    }

    std::set<std::string> used_since(int first_job)
    {
        std::set<std::string> used;
        for (auto const & [task, upstreams] : m_platform.starts())
        {
            if (task >= fmt::format("{:016x}", first_job))
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
        CPPUNIT_ASSERT(run_jobs(16).contains("up-1"));
        m_platform.put_encoded("op", drain_row, "*");
        CPPUNIT_ASSERT(is_logged("domain_drained"));
        CPPUNIT_ASSERT(run_jobs(16) == std::set<std::string>{"up-0"});
        m_platform.remove("op", drain_row);
        CPPUNIT_ASSERT(is_logged("domain_restored"));
        CPPUNIT_ASSERT(run_jobs(16).contains("up-1"));
    }

    void drain_of_all_domains_refuses_jobs_at_once()
    {
        start_gateway();
        m_platform.put("op", drain_row, "");
        m_platform.put("op", "evacuate/north", "");
        CPPUNIT_ASSERT(is_logged("domain_drained", 2));
        CPPUNIT_ASSERT_EQUAL(503, m_gateway->run_job(next_id()));
    }

    void row_that_is_gone_with_the_history_drains_no_longer()
    {
        start_gateway();
        m_platform.put("op", drain_row, "");
        CPPUNIT_ASSERT(is_logged("domain_drained"));
        m_platform.lose_history_with("op", drain_row);
        CPPUNIT_ASSERT(is_logged("domain_restored"));
        CPPUNIT_ASSERT(run_jobs(16).contains("up-1"));
    }

    void row_written_before_the_start_is_in_force_when_ready()
    {
        m_platform.put("op", drain_row, "");
        start_gateway();
        CPPUNIT_ASSERT(run_jobs(16) == std::set<std::string>{"up-0"});
    }

    void row_written_in_a_suspension_is_in_force_after_it()
    {
        start_gateway();
        m_gateway->signal(SIGSTOP);
        m_platform.put("op", drain_row, "");
        std::this_thread::sleep_for(5500ms);
        int const first = m_next_job;
        constexpr int job_count = 6;
        std::vector<std::future<int>> jobs;
        jobs.reserve(job_count);
        for (int job = 0; job < job_count; ++job)
        {
            jobs.push_back(std::async(std::launch::async, [this, id = next_id()]
                                      { return m_gateway->run_job(id); }));
        }
        std::this_thread::sleep_for(100ms);
        m_gateway->signal(SIGCONT);
        for (std::future<int> & job : jobs)
        {
            CPPUNIT_ASSERT_EQUAL(200, job.get());
        }
        CPPUNIT_ASSERT(used_since(first) == std::set<std::string>{"up-0"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_drain_test);

} // namespace
