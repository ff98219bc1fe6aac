/// \file A gateway process that reaches the store by a narrow path.

#include "gateway_fixture.hpp"
#include "throttled_relay.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <set>

using namespace gateway_fixture;

namespace
{

// Guards against a change in the store that never reaches a gateway because the reply
// that has it is given up before it is complete, and asked for again from the start.
class gateway_store_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_store_path_test);
    CPPUNIT_TEST(upstream_that_drains_gets_no_start_after_drain_bound);
    CPPUNIT_TEST(configuration_longer_on_its_way_than_a_reply_may_wait_is_in_force);
    CPPUNIT_TEST(read_in_pages_that_fails_goes_on_after_its_last_page);
    CPPUNIT_TEST(route_that_unconfirmed_configuration_lacks_is_refused_as_not_run);
    CPPUNIT_TEST_SUITE_END();

    /// The grown deployments' time between an upstream's draining registration and the
    /// last start on it.
    static constexpr duration drain_bound = 3s;
    /// Time after which a change of the configuration must be in force everywhere.
    static constexpr duration configuration_bound = 2s;
    static constexpr std::int64_t path_bytes_per_second = 100'000;
    static constexpr std::size_t upstreams = 8;
    /// Upstreams of another service; each writes its row once in heartbeat_period. These
    /// rows alone are more than the path passes on.
    static constexpr int other_upstreams = 200;
    static constexpr duration heartbeat_period = 1000ms;

    platform_stand_in m_platform;
    std::unique_ptr<throttled_relay> m_path;
    std::unique_ptr<gateway_process> m_gateway; ///< reaches the store by m_path
    std::unique_ptr<gateway_process> m_peer;    ///< reaches it directly
    std::atomic<bool> m_stopped{false};
    std::thread m_writer; ///< the other upstreams
    int m_next_job = 1;

    template <typename Condition>
    static bool wait_for(Condition condition, duration limit = 20s)
    {
        time_point const end = runtime::read_boot_clock() + limit;
        while (!condition() && runtime::read_boot_clock() < end)
        {
            std::this_thread::sleep_for(20ms);
        }
        return condition();
    }

    int run_job()
    {
        return m_gateway->run_job(fmt::format("{:016x}", m_next_job++));
    }

    static std::string configuration(int version, int idle_routes)
    {
        json routes = json::array();
        for (int route = -1; route < idle_routes; ++route)
        {
            routes.push_back(
                {{"name", route < 0 ? "check" : fmt::format("idle-{}", route)},
                 {"host", "test.example"},
                 {"prefix", route < 0 ? "/check/" : fmt::format("/idle-{}/", route)},
                 {"type", "unsafe"},
                 {"timeout-ms", 5000},
                 {"target-duration-ms", 4000},
                 {"priority", 0},
                 {"service", "pool"},
                 {"max-attempts", 4},
                 {"stretch", 3}});
        }
        return json{{"version", version},
                    {"routes", std::move(routes)},
                    {"services", json::array({{{"name", "pool"}}})},
                    {"limits", json::object()}}
            .dump();
    }

    void write_other_upstreams()
    {
        json entry = m_platform.registration("up-0");
        entry["service"] = "other";
        entry["labels"].push_back(std::string(100, 'x'));
        constexpr auto pause = heartbeat_period / other_upstreams;
        auto next = std::chrono::steady_clock::now();
        for (int row = 0; !m_stopped; ++row)
        {
            entry["seq"] = row;
            m_platform.put("servers", fmt::format("other-{:03}", row % other_upstreams),
                           entry.dump());
            next += pause;
            std::this_thread::sleep_until(next);
        }
    }

    /// \returns an upstream that the gateway behind the path owns.
    std::string owned_upstream() const
    {
        std::set<std::string> owned;
        for (json const & line : m_gateway->log_lines("upstream_claimed"))
        {
            owned.insert(line["subject"]);
        }
        for (json const & line : m_gateway->log_lines("upstream_released"))
        {
            owned.erase(line["subject"]);
        }
        CPPUNIT_ASSERT(!owned.empty());
        return *owned.begin();
    }

    void start_gateway()
    {
        m_path = std::make_unique<throttled_relay>(m_platform.store_address(),
                                                   path_bytes_per_second);
        m_gateway = std::make_unique<gateway_process>(m_path->address());
        CPPUNIT_ASSERT(wait_for([this] { return m_gateway->is_ready(); }));
    }

public:
    void setUp() override
    {
        m_platform.put("op", "config", configuration(1, 0));
        for (std::size_t index = 0; index < upstreams; ++index)
        {
            m_platform.add_upstream(fmt::format("up-{}", index));
        }
    }

    void tearDown() override
    {
        m_stopped = true;
        if (m_writer.joinable())
        {
            m_writer.join();
        }
        m_gateway.reset();
        m_peer.reset();
    }

    void upstream_that_drains_gets_no_start_after_drain_bound()
    {
        start_gateway();
        m_peer =
            std::make_unique<gateway_process>(m_platform.store_address(), "6s", "", "g2");
        CPPUNIT_ASSERT(wait_for([this] { return m_peer->is_ready(); }));
        m_writer = std::thread([this] { write_other_upstreams(); });
        std::this_thread::sleep_for(8 * heartbeat_period);
        std::string const leaving = owned_upstream();
        json draining = m_platform.registration(leaving);
        draining["state"] = "draining";
        m_platform.put("servers", leaving, draining.dump());
        time_point const bound = runtime::read_boot_clock() + drain_bound;
        std::map<std::string, std::vector<std::string>> before;
        while (runtime::read_boot_clock() < bound)
        {
            CPPUNIT_ASSERT_EQUAL(200, run_job());
            before = m_platform.starts();
        }
        for (int job = 0; job < 40; ++job)
        {
            CPPUNIT_ASSERT_EQUAL(200, run_job());
        }
        for (auto const & [task, used] : m_platform.starts())
        {
            CPPUNIT_ASSERT_MESSAGE(task,
                                   before.contains(task) || used.front() != leaving);
        }
    }

    void configuration_longer_on_its_way_than_a_reply_may_wait_is_in_force()
    {
        start_gateway();
        CPPUNIT_ASSERT(wait_for(
            [this]
            { return m_gateway->log_lines("upstream_claimed").size() == upstreams; }));
        // About 300 kB in the store's encoding, 3 s on the path.
        m_platform.put("op", "config", configuration(2, 1200));
        CPPUNIT_ASSERT(wait_for(
            [this] { return m_gateway->log_lines("configuration_in_force").size() == 2; },
            10s));
        CPPUNIT_ASSERT_EQUAL(200, run_job());
    }

    void read_in_pages_that_fails_goes_on_after_its_last_page()
    {
        m_platform.refuse_reads(2);
        start_gateway();
        CPPUNIT_ASSERT(wait_for(
            [this]
            { return m_gateway->log_lines("upstream_claimed").size() == upstreams; }));
    }

    void route_that_unconfirmed_configuration_lacks_is_refused_as_not_run()
    {
        constexpr int not_found = 404;
        constexpr int unavailable = 503;

        start_gateway();
        CPPUNIT_ASSERT_EQUAL(not_found,
                             m_gateway->run_job("0000000000000001", "/idle-0/"));
        m_path->hold();
        m_platform.put("op", "config", configuration(2, 1));
        std::this_thread::sleep_for(configuration_bound);
        CPPUNIT_ASSERT_EQUAL(unavailable,
                             m_gateway->run_job("0000000000000002", "/idle-0/"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_store_path_test);

} // namespace
