#include "decision_service_fixture.hpp"

#include <set>
#include <string>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

using names = std::set<std::string>;

// Guards against starts on an upstream that drains while the copy of its registration is
// old, as on a narrow path to the store.
class decision_drain_report_test : public service_fixture
{
    CPPUNIT_TEST_SUITE(decision_drain_report_test);
    CPPUNIT_TEST(upstream_that_peer_reports_as_draining_gets_no_start);
    CPPUNIT_TEST(report_that_is_not_repeated_expires);
    CPPUNIT_TEST(report_about_another_incarnation_is_ignored);
    CPPUNIT_TEST(departure_of_reported_upstream_is_no_crash);
    CPPUNIT_TEST(draining_upstream_is_reported_to_its_holder);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t incarnation = 1'700'000'000'000;

    heartbeat peer_heartbeat() const
    {
        heartbeat message;
        message.m_incarnation = 9;
        message.m_domain = "north";
        message.m_peer_address = "peer:1";
        message.m_sent_at = m_now;
        return message;
    }

    void report_draining(std::string const & upstream, std::uint64_t reported_incarnation)
    {
        heartbeat message = peer_heartbeat();
        message.m_draining_upstreams = {{upstream, reported_incarnation}};
        handle(peer_message_received{{"peer"}, std::move(message)});
    }

    /// \returns the upstreams of the starts for enough tasks to fill all of them. The
    /// peer owns some of the others than "up-0".
    names fill_upstreams()
    {
        m_starts.clear();
        submit("/q/", 4 * slots);
        answer_calls();
        return used_upstreams();
    }

public:
    void setUp() override
    {
        m_registered_incarnations["up-0"] = incarnation;
        m_reported_incarnations["up-0"] = incarnation;
        service_fixture::setUp();
        m_actions.clear();
    }

    void upstream_that_peer_reports_as_draining_gets_no_start()
    {
        report_draining("up-0", incarnation);
        // The copy of the registrations is the old one.
        discover(0, 8);
        CPPUNIT_ASSERT(!fill_upstreams().contains("up-0"));
    }

    void report_that_is_not_repeated_expires()
    {
        report_draining("up-0", incarnation);
        advance_time(4s);
        CPPUNIT_ASSERT(fill_upstreams().contains("up-0"));
    }

    void report_about_another_incarnation_is_ignored()
    {
        report_draining("up-0", incarnation - 1);
        CPPUNIT_ASSERT(fill_upstreams().contains("up-0"));
    }

    void departure_of_reported_upstream_is_no_crash()
    {
        submit("/q/", 4 * slots);
        report_draining("up-0", incarnation);
        advance_time(4s);
        m_actions.clear();
        discover(1, 8);
        advance_time(4s);
        bool crashed = false;
        for (log_event const & line : take_actions<log_event>(m_actions))
        {
            crashed = crashed || line.m_code == "upstream_crashed";
        }
        CPPUNIT_ASSERT(!crashed);
        CPPUNIT_ASSERT(!m_state.m_leasing.m_upstreams.contains("up-0"));
        CPPUNIT_ASSERT(m_state.m_leasing.m_drain_reports.empty());
    }

    void draining_upstream_is_reported_to_its_holder()
    {
        heartbeat message = peer_heartbeat();
        message.m_held_upstreams = {"up-0", "up-1"};
        handle(peer_message_received{{"peer"}, std::move(message)});
        upstreams_discovered discovered;
        for (auto const & [name, known] : m_state.m_leasing.m_upstreams)
        {
            discovered.m_upstreams.push_back(known);
            discovered.m_upstreams.back().m_definition.m_draining =
                name == "up-0" || name == "up-2";
        }
        m_actions.clear();
        handle(std::move(discovered));
        advance_time(1s);
        std::vector<dispatch::upstream_identity> reported;
        for (send_peer const & sent : take_actions<send_peer>(m_actions))
        {
            if (auto const * const report = std::get_if<heartbeat>(&sent.m_message))
            {
                reported = report->m_draining_upstreams;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reported.size());
        CPPUNIT_ASSERT(reported[0].m_name == "up-0" &&
                       reported[0].m_incarnation == incarnation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_drain_report_test);

} // namespace
