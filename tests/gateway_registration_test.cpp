/// \file Tests of a gateway process whose list of upstreams holds entries that are no
/// registrations of an upstream.

#include "gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace gateway_fixture;

namespace
{

constexpr duration wait_timeout = 10s;
/// Limit of the processor time for control, in one second: 3.6% of a core.
constexpr duration max_idle_processor_time = 36ms;

// Guards against an entry of another writer in the list of upstreams that ends the
// process, stops it from following the list, or is used as an upstream.
class gateway_registration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_registration_test);
    CPPUNIT_TEST(entries_with_long_addresses_are_survived);
    CPPUNIT_TEST(list_with_odd_entries_is_followed_and_served);
    CPPUNIT_TEST(entries_that_are_odd_are_logged_once_for_each_reason);
    CPPUNIT_TEST(entry_that_turns_unreadable_names_no_upstream);
    CPPUNIT_TEST(instances_that_are_odd_own_no_upstreams);
    CPPUNIT_TEST(entry_that_turns_odd_during_run_leaves_run_alone);
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

    /// \returns a registration that ends with the member \p text.
    std::string with_text(std::string const & text)
    {
        std::string entry = m_platform.registration("up-0").dump();
        entry.back() = ',';
        return entry + text + '}';
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

    static std::string nested(std::size_t depth, char const * open, char const * close)
    {
        std::string text;
        for (std::size_t level = 0; level < depth; ++level)
        {
            text += open;
        }
        text += '1';
        for (std::size_t level = 0; level < depth; ++level)
        {
            text += close;
        }
        return text;
    }

    std::vector<std::pair<std::string, std::string>> odd_entries()
    {
        return {
            {"port-above-range", with("address", "127.0.0.1:99999")},
            {"port-zero", with("address", "127.0.0.1:0")},
            {"address-without-port", with("address", "127.0.0.1")},
            {"address-with-line-break", with("address", "127.0.0.1:80\r\nX: y")},
            {"slots-largest", with("slots", 4'294'967'295U)},
            {"slots-beyond-double", with_text(R"("slots":1e999)")},
            {"capacity-largest",
             with("capacity", {{"cpu", 4'294'967'295U}, {"mem-mb", 1}, {"gpu", 0}})},
            {"born-largest", with("born", ~std::uint64_t(0))},
            {"born-with-fraction", with("born", 1.5)},
            {"seq-of-other-type", with("seq", "x")},
            {"service-unknown", with("service", "other")},
            {"nested-arrays", with_text("\"extra\":" + nested(100'000, "[", "]"))},
            {"nested-objects", with_text("\"labels\":" + nested(30'000, "{\"a\":", "}"))},
            {"not-utf-8", "\xff\xfe\x01"},
            {"empty-value", ""},
            {"id with & and space", m_platform.registration("up-0").dump()},
            {"id\r\nX-Key: y", m_platform.registration("up-0").dump()},
            {"", m_platform.registration("up-0").dump()}};
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

    // Guards against calls to the upstream that an odd entry seems to name.
    void list_with_odd_entries_is_followed_and_served()
    {
        for (auto const & [id, value] : odd_entries())
        {
            m_platform.put("servers", id, value);
            check_follows_list(id);
        }
        duration const used = m_gateway->processor_time();
        std::this_thread::sleep_for(1s);
        duration const used_since = m_gateway->processor_time() - used;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", to_milliseconds(used_since)),
                               used_since < max_idle_processor_time);
        CPPUNIT_ASSERT_EQUAL(0, m_platform.misdirected_calls());
        CPPUNIT_ASSERT(m_gateway->log_lines("duty_failed").empty());
    }

    // Guards against an entry that is ignored without a trace, or logged with each write.
    void entries_that_are_odd_are_logged_once_for_each_reason()
    {
        std::string const far = with("address", "127.0.0.1:99999");
        for (std::string const & value : {far, far, with("slots", 0), with("slots", -1)})
        {
            m_platform.put("servers", "odd", value);
            check_follows_list("rewritten entry");
        }
        std::vector<json> const lines = m_gateway->log_lines("upstream_ignored");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
        CPPUNIT_ASSERT(lines[0]["subject"] == "odd" &&
                       lines[0]["error"] == "bad_address");
        CPPUNIT_ASSERT(lines[1]["error"] == "bad_slots");
    }

    // Guards against an upstream that is used after another writer replaced its entry.
    void entry_that_turns_unreadable_names_no_upstream()
    {
        m_platform.add_upstream("up-1");
        CPPUNIT_ASSERT(wait_for([this] { return m_platform.calls("up-1") > 0; }));
        m_platform.put_encoded("servers", "up-1", "*");
        CPPUNIT_ASSERT(
            wait_for([this] { return !m_gateway->log_lines("upstream_gone").empty(); }));
        CPPUNIT_ASSERT_EQUAL(200, run_job());
    }

    // Guards against upstreams that wait for an instance which cannot exist.
    void instances_that_are_odd_own_no_upstreams()
    {
        std::vector<std::string> const odd = {
            R"({"domain":"north","peer_address":"127.0.0.1:99999","renewed_ms":1})",
            R"({"domain":"north","peer_address":"nowhere"})",
            R"({"domain":"north","peer_address":"unix:/nowhere"})",
            R"({"domain":"north","peer_address":"127.0.0.1:1","renewed_ms":1.5})",
            R"({"domain":"north","peer_address":"127.0.0.1:1","renewed_ms":-1})",
            R"({"domain":"","peer_address":"127.0.0.1:1"})",
            nested(100'000, "[", "]")};
        time_point next_write{};
        auto const write_due = [&]
        {
            if (runtime::read_boot_clock() < next_write)
            {
                return;
            }
            for (std::size_t index = 0; index < odd.size(); ++index)
            {
                m_platform.put("cassiahub-instances", fmt::format("odd-{}", index),
                               odd[index]);
            }
            next_write = runtime::read_boot_clock() + 500ms;
        };
        time_point const listed_at = runtime::read_boot_clock() + 2s;
        CPPUNIT_ASSERT(wait_for(
            [&]
            {
                write_due();
                return runtime::read_boot_clock() >= listed_at;
            }));
        for (int upstream = 1; upstream <= 6; ++upstream)
        {
            m_platform.add_upstream(fmt::format("up-{}", upstream));
        }
        CPPUNIT_ASSERT(wait_for(
            [&]
            {
                write_due();
                return m_gateway->log_lines("upstream_claimed").size() >= 7;
            }));
        CPPUNIT_ASSERT_EQUAL(200, run_job());
        CPPUNIT_ASSERT_EQUAL(odd.size(), m_gateway->log_lines("instance_ignored").size());
        CPPUNIT_ASSERT(m_gateway->log_lines("duty_failed").empty());
    }

    // Guards against a second run of a task whose upstream did not restart.
    void entry_that_turns_odd_during_run_leaves_run_alone()
    {
        m_platform.add_upstream("up-1");
        CPPUNIT_ASSERT(wait_for([this] { return m_platform.calls("up-1") > 0; }));
        m_platform.set_run_time(2s);
        std::future<int> status =
            std::async(std::launch::async,
                       [this] { return m_gateway->run_job("00000000000000aa"); });
        std::string const task = "00000000000000aa.0.0.0";
        CPPUNIT_ASSERT(wait_for([&] { return m_platform.starts().contains(task); }));
        std::string const upstream = m_platform.starts()[task].front();
        json entry = m_platform.registration(upstream);
        entry["address"] = "127.0.0.1:99999";
        m_platform.put("servers", upstream, entry.dump());
        CPPUNIT_ASSERT_EQUAL(200, status.get());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_platform.starts()[task].size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_registration_test);

} // namespace
