#include "decision_service_fixture.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/lease/sessions.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

using names = std::set<std::string>;

// Guards against starts in a drained domain, against a set that is lost, reverted or not
// passed on, and against work that waits for upstreams which it must not use. Of the
// upstreams for "check", "up-0" and "up-1" are in "north", "up-2" and "up-3" in "south".
class decision_drain_test : public service_fixture
{
    CPPUNIT_TEST_SUITE(decision_drain_test);
    CPPUNIT_TEST(row_that_comes_and_goes_stops_and_allows_starts);
    CPPUNIT_TEST(newest_version_wins_whatever_its_source);
    CPPUNIT_TEST(set_after_lost_history_replaces_the_old_one);
    CPPUNIT_TEST(peer_that_is_behind_gets_notice);
    CPPUNIT_TEST(instance_is_ready_only_with_a_set);
    CPPUNIT_TEST(work_when_everything_is_drained_is_refused_at_once);
    CPPUNIT_TEST(task_after_suspension_waits_for_the_store_or_a_second);
    CPPUNIT_TEST_SUITE_END();

    void read_store(std::vector<std::string> domains, std::uint64_t version,
                    bool replaces = false)
    {
        handle(domains_drained{std::move(domains), version, m_now, replaces});
    }

    void receive_notice(std::vector<std::string> domains, std::uint64_t version)
    {
        handle(peer_message_received{
            {"peer"}, drained_domains_notice{version, std::move(domains)}});
    }

    void receive_heartbeat(std::optional<std::uint64_t> drains_version,
                           bool store_contact)
    {
        heartbeat message;
        message.m_incarnation = 9;
        message.m_domain = "north";
        message.m_peer_address = "peer:1";
        message.m_sent_at = m_now;
        message.m_drains_version = drains_version;
        message.m_store_contact = store_contact;
        handle(peer_message_received{{"peer"}, std::move(message)});
    }

    /// \returns the upstreams of the starts since the last call.
    names take_starts()
    {
        answer_calls();
        names used = used_upstreams();
        m_starts.clear();
        return used;
    }

    std::vector<drained_domains_notice> take_notices()
    {
        std::vector<drained_domains_notice> notices;
        for (send_peer const & sent : take_actions<send_peer>(m_actions))
        {
            if (auto const * const notice =
                    std::get_if<drained_domains_notice>(&sent.m_message))
            {
                notices.push_back(*notice);
            }
        }
        return notices;
    }

    /// \returns the log lines about domains since the last call.
    std::string take_log()
    {
        std::string lines;
        for (log_event const & line : take_actions<log_event>(m_actions))
        {
            if (line.m_code.starts_with("domain_"))
            {
                lines += std::string(line.m_code) + " " + line.m_subject + " " +
                         line.m_detail + ";";
            }
        }
        return lines;
    }

public:
    void setUp() override
    {
        m_southern = {2, 3};
        service_fixture::setUp();
        m_actions.clear();
    }

    void row_that_comes_and_goes_stops_and_allows_starts()
    {
        read_store({}, 10);
        CPPUNIT_ASSERT(take_log().empty());
        read_store({"south"}, 11);
        CPPUNIT_ASSERT_EQUAL(std::string("domain_drained south version=11 source=store;"),
                             take_log());
        submit("/q/", 2 * slots + 2);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
        advance_time(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8),
                             lease::held_upstreams(m_state.m_leasing.m_sessions).size());
        read_store({}, 12);
        CPPUNIT_ASSERT_EQUAL(
            std::string("domain_restored south version=12 source=store;"), take_log());
        submit("/q/", 4 * slots);
        CPPUNIT_ASSERT(take_starts().contains("up-2"));
    }

    void newest_version_wins_whatever_its_source()
    {
        read_store({}, 10);
        receive_notice({"south"}, 12);
        CPPUNIT_ASSERT_EQUAL(
            std::string("domain_drained south version=12 source=peer from=peer;"),
            take_log());
        read_store({}, 11);
        read_store({"south"}, 12);
        receive_notice({}, 12);
        CPPUNIT_ASSERT(take_log().empty());
        submit("/q/", 4);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
    }

    void set_after_lost_history_replaces_the_old_one()
    {
        read_store({"south", "west"}, 1000);
        read_store({"north", "west"}, 1050);
        submit("/q/", 4);
        CPPUNIT_ASSERT(take_starts() == (names{"up-2", "up-3"}));
        // The counter of the store has gone back, which a peer does not know.
        read_store({"south"}, 3, true);
        receive_notice({"north"}, 1050);
        read_store({"south"}, 3, true);
        submit("/q/", 4);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
    }

    void peer_that_is_behind_gets_notice()
    {
        read_store({"south", "west"}, 10);
        // Earlier software cannot decode it and would end the session.
        receive_heartbeat(std::nullopt, false);
        CPPUNIT_ASSERT(take_notices().empty());
        receive_heartbeat(9, true);
        CPPUNIT_ASSERT(take_notices().empty());
        advance_time(300ms);
        receive_heartbeat(9, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_notices().size());
        receive_heartbeat(10, true);
        receive_heartbeat(9, false); // without contact with the store: at once
        auto const notices = take_notices();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), notices[0].m_version);
        CPPUNIT_ASSERT(notices[0].m_domains ==
                       (std::vector<std::string>{"south", "west"}));
    }

    // The set may be empty, and may come from the store or from a peer.
    void instance_is_ready_only_with_a_set()
    {
        entry_state const started = m_state;
        receive_heartbeat(0, true);
        CPPUNIT_ASSERT(!can_serve(m_state));
        read_store({}, 10);
        CPPUNIT_ASSERT(can_serve(m_state));
        m_state = started;
        receive_notice({}, 10);
        CPPUNIT_ASSERT(can_serve(m_state));
    }

    void work_when_everything_is_drained_is_refused_at_once()
    {
        submit("/q/", 4 * slots);
        submit("/q/", 1); // queued
        m_actions.clear();
        read_store({"north", "south"}, 10);
        submit("/q/", 1);
        auto const answers = take_actions<answer_caller>(m_actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers.size());
        for (answer_caller const & refused : answers)
        {
            CPPUNIT_ASSERT(refused.m_answer.m_error == job_errc::overloaded);
            CPPUNIT_ASSERT(refused.m_answer.m_ran == run_state::no);
            CPPUNIT_ASSERT(refused.m_answer.m_retry_after > 0s);
        }
    }

    // The row may have been written, and 5 s may have passed, in the suspension.
    void task_after_suspension_waits_for_the_store_or_a_second()
    {
        read_store({}, 10);
        time_point const before = m_now;
        m_now += 6s;
        handle(tick{});
        submit("/q/", 4);
        handle(domains_drained{{}, 10, before, false});
        advance_time(500ms);
        CPPUNIT_ASSERT(take_starts().empty());
        entry_state const waiting = m_state;
        read_store({"south"}, 11);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
        m_state = waiting;
        advance_time(500ms);
        CPPUNIT_ASSERT(!take_starts().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_drain_test);

} // namespace
