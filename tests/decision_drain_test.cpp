/// \file One leasing instance while failure domains are drained; the test simulates its
/// upstreams, its peer and the store.

#include "decision_actions.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/decision.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

using names = std::set<std::string>;

// Guards against starts in a drained domain, against a set that is lost, reverted or not
// passed on, and against work that waits for upstreams which it must not use. "up-0" and
// "up-1" are in the domain "north" of the instance, "up-2" and "up-3" in "south".
class decision_drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decision_drain_test);
    CPPUNIT_TEST(row_that_comes_and_goes_stops_and_allows_starts);
    CPPUNIT_TEST(run_in_drained_domain_keeps_its_lease);
    CPPUNIT_TEST(set_of_lower_or_equal_version_changes_nothing);
    CPPUNIT_TEST(set_of_peer_that_is_newer_than_the_store_is_used);
    CPPUNIT_TEST(set_after_lost_history_replaces_the_old_one);
    CPPUNIT_TEST(set_of_store_whose_counter_went_back_replaces_the_old_one);
    CPPUNIT_TEST(peer_without_store_that_is_behind_gets_notice_at_once);
    CPPUNIT_TEST(peer_with_store_that_stays_behind_gets_notice_later);
    CPPUNIT_TEST(peer_of_earlier_software_gets_no_notice);
    CPPUNIT_TEST(changed_set_is_announced_by_a_heartbeat_at_once);
    CPPUNIT_TEST(instance_without_a_set_is_not_ready);
    CPPUNIT_TEST(instance_that_hears_of_an_empty_set_is_ready);
    CPPUNIT_TEST(set_known_before_the_first_configuration_is_in_force);
    CPPUNIT_TEST(upstream_that_registers_in_drained_domain_is_owned_but_not_used);
    CPPUNIT_TEST(queued_job_when_everything_is_drained_is_refused_at_once);
    CPPUNIT_TEST(job_when_everything_is_drained_is_refused_at_once);
    CPPUNIT_TEST(forwarded_task_when_everything_is_drained_is_returned_at_once);
    CPPUNIT_TEST(forwarded_task_that_a_drained_peer_returns_starts_outside);
    CPPUNIT_TEST(task_after_suspension_waits_for_the_store);
    CPPUNIT_TEST(task_after_suspension_starts_when_the_store_stays_silent);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int slots = 8;

    entry_state m_state;
    random_source m_random{1};
    time_point m_now{5000s};
    std::vector<action> m_actions;
    caller_id m_next_caller = 1;
    std::vector<std::string> m_starts;                               ///< upstreams
    std::map<std::string, std::vector<lease::listed_run>> m_running; ///< by upstream
    names m_renewed; ///< upstreams whose lease was extended

    void handle(event occurred)
    {
        step_once(std::move(occurred));
        answer_calls();
    }

    void step_once(event occurred)
    {
        step(m_state, std::move(occurred), m_now, m_random, m_actions);
        CPPUNIT_ASSERT(check_invariants(m_state).empty());
    }

    void advance_time(duration time)
    {
        for (duration passed{0}; passed < time; passed += 20ms)
        {
            m_now += 20ms;
            handle(tick{});
        }
    }

    /// Accepts the calls of the last steps; runs never end.
    void answer_calls()
    {
        for (lease::upstream_call const & call : take_calls<lease::start_call>(m_actions))
        {
            m_starts.push_back(call.m_upstream);
            m_running[call.m_upstream].push_back(
                {std::get<lease::start_call>(call.m_body).m_run, 1});
            accept(call);
        }
        for (lease::upstream_call const & call : take_calls<lease::renew_call>(m_actions))
        {
            if (std::get<lease::renew_call>(call.m_body).m_lease_until)
            {
                m_renewed.insert(call.m_upstream);
            }
            accept(call);
        }
    }

    void accept(lease::upstream_call const & call)
    {
        lease::upstream_reply reply;
        reply.m_number = call.m_number;
        reply.m_upstream = call.m_upstream;
        reply.m_outcome = lease::call_outcome::accepted;
        reply.m_clock = to_milliseconds(m_now - time_point(4000s));
        if (std::holds_alternative<lease::renew_call>(call.m_body))
        {
            for (lease::listed_run & run : m_running[call.m_upstream])
            {
                ++run.m_percent;
            }
            reply.m_running = m_running[call.m_upstream];
        }
        step_once(upstream_replied{std::move(reply)});
    }

    void discover(int count)
    {
        upstreams_discovered discovered;
        for (int index = 0; index < count; ++index)
        {
            discovered_upstream upstream;
            upstream.m_definition.m_name = "up-" + std::to_string(index);
            upstream.m_definition.m_address = "10.0.0.1:" + std::to_string(index + 1);
            upstream.m_definition.m_domain = index < 2 ? "north" : "south";
            upstream.m_definition.m_service = "pool";
            discovered.m_upstreams.push_back(std::move(upstream));
        }
        handle(std::move(discovered));
        advance_time(400ms);
    }

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
                           bool store_contact = false, std::uint32_t free_slots = 0)
    {
        heartbeat message;
        message.m_incarnation = 9;
        message.m_domain = "north";
        message.m_peer_address = "peer:1";
        message.m_sent_at = m_now;
        message.m_drains_version = drains_version;
        message.m_store_contact = store_contact;
        if (free_slots > 0)
        {
            message.m_loads = {{free_slots, 0, {}, "pool"}};
        }
        handle(peer_message_received{{"peer"}, std::move(message)});
    }

    caller_id submit(std::size_t tasks)
    {
        routed_request request;
        request.m_caller = m_next_caller++;
        request.m_host = "host";
        request.m_path = "/q/" + std::to_string(request.m_caller);
        request.m_spec.m_time_limit = 1500ms;
        request.m_spec.m_tasks.assign(tasks, {"payload", {1000, 64, 0}, 50ms});
        caller_id const caller = request.m_caller;
        handle(std::move(request));
        return caller;
    }

    /// \returns the upstreams of the starts since the last call.
    names take_starts()
    {
        auto const starts = std::exchange(m_starts, {});
        return {starts.begin(), starts.end()};
    }

    template <typename Message>
    std::vector<Message> take_messages()
    {
        std::vector<Message> messages;
        for (send_peer const & sent : take_actions<send_peer>(m_actions))
        {
            if (auto const * const message = std::get_if<Message>(&sent.m_message))
            {
                messages.push_back(*message);
            }
        }
        return messages;
    }

    /// \returns the log lines about domains since the last call, as "code domain detail".
    std::vector<std::string> take_log()
    {
        std::vector<std::string> lines;
        for (log_event const & line : take_actions<log_event>(m_actions))
        {
            if (line.m_code.starts_with("domain_"))
            {
                lines.push_back(std::string(line.m_code) + " " + line.m_subject + " " +
                                line.m_detail);
            }
        }
        return lines;
    }

    void assert_refused_as_not_run(caller_id caller)
    {
        auto const answers = take_actions<answer_caller>(m_actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT_EQUAL(caller, answers[0].m_caller);
        CPPUNIT_ASSERT(answers[0].m_answer.m_error == job_errc::overloaded);
        CPPUNIT_ASSERT(answers[0].m_answer.m_ran == run_state::no);
        CPPUNIT_ASSERT(answers[0].m_answer.m_retry_after > 0s);
    }

    void forward(std::uint64_t serial)
    {
        forward_task forwarded;
        forwarded.m_start.m_attempt = {9, serial};
        forwarded.m_start.m_job = {"pool", "north", "of-peer"};
        forwarded.m_start.m_kind = "check";
        forwarded.m_start.m_service = "pool";
        forwarded.m_start.m_demand = {1000, 64, 0};
        forwarded.m_start.m_deadline = m_now + 10s;
        forwarded.m_start.m_send_before = m_now + 1s;
        handle(peer_message_received{{"peer"}, std::move(forwarded)});
    }

    void suspend(duration time)
    {
        m_now += time;
        handle(tick{});
        advance_time(200ms); // the time to process the backlog
        m_starts.clear();
    }

public:
    void setUp() override
    {
        m_state = make_entry_state({{"self"}, "north", "self:1", 77, true});
        handle(instances_listed{});
        handle(fleet_clock_read{1'000'000});
        handle(configuration_changed{make_leased_configuration(), "document"});
        discover(4);
        m_actions.clear();
    }

    void row_that_comes_and_goes_stops_and_allows_starts()
    {
        read_store({}, 10);
        CPPUNIT_ASSERT(take_log().empty());
        read_store({"south"}, 11);
        CPPUNIT_ASSERT(take_log() == std::vector<std::string>{
                                         "domain_drained south version=11 source=store"});
        submit(2 * slots + 2);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
        read_store({}, 12);
        CPPUNIT_ASSERT(
            take_log() ==
            std::vector<std::string>{"domain_restored south version=12 source=store"});
        names const others = take_starts();
        CPPUNIT_ASSERT(!others.empty() && *others.begin() >= "up-2");
    }

    void run_in_drained_domain_keeps_its_lease()
    {
        submit(4 * slots);
        read_store({"south"}, 10);
        m_renewed.clear();
        advance_time(1s);
        CPPUNIT_ASSERT(m_renewed == (names{"up-0", "up-1", "up-2", "up-3"}));
        CPPUNIT_ASSERT(take_calls<lease::stop_call>(m_actions).empty());
    }

    void set_of_lower_or_equal_version_changes_nothing()
    {
        read_store({"south"}, 10);
        take_log();
        read_store({}, 9);
        read_store({"south"}, 10);
        receive_notice({}, 10);
        receive_notice({}, 0);
        CPPUNIT_ASSERT(take_log().empty());
        submit(4);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
    }

    void set_of_peer_that_is_newer_than_the_store_is_used()
    {
        read_store({}, 10);
        receive_notice({"south"}, 12);
        CPPUNIT_ASSERT(take_log() ==
                       std::vector<std::string>{
                           "domain_drained south version=12 source=peer from=peer"});
        read_store({}, 11);
        submit(4);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
    }

    void set_after_lost_history_replaces_the_old_one()
    {
        read_store({"south", "west"}, 10);
        take_log();
        read_store({"north", "west"}, 50);
        CPPUNIT_ASSERT(
            take_log() ==
            (std::vector<std::string>{"domain_drained north version=50 source=store",
                                      "domain_restored south version=50 source=store"}));
        submit(4);
        CPPUNIT_ASSERT(take_starts() == (names{"up-2", "up-3"}));
    }

    void set_of_store_whose_counter_went_back_replaces_the_old_one()
    {
        read_store({"south"}, 1000);
        read_store({"north"}, 3, true);
        submit(4);
        CPPUNIT_ASSERT(take_starts() == (names{"up-2", "up-3"}));
        // A peer that is cut off from the store tells the old set once more.
        receive_notice({"south"}, 1000);
        read_store({"north"}, 3, true);
        submit(4);
        CPPUNIT_ASSERT(take_starts() == (names{"up-2", "up-3"}));
    }

    void peer_without_store_that_is_behind_gets_notice_at_once()
    {
        read_store({"south", "west"}, 10);
        receive_heartbeat(0);
        auto const notices = take_messages<drained_domains_notice>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), notices[0].m_version);
        CPPUNIT_ASSERT(notices[0].m_domains ==
                       (std::vector<std::string>{"south", "west"}));
        receive_heartbeat(9);
        CPPUNIT_ASSERT(take_messages<drained_domains_notice>().empty());
        advance_time(1s);
        receive_heartbeat(9);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             take_messages<drained_domains_notice>().size());
        receive_heartbeat(10);
        advance_time(2s);
        receive_heartbeat(11);
        CPPUNIT_ASSERT(take_messages<drained_domains_notice>().empty());
    }

    void peer_with_store_that_stays_behind_gets_notice_later()
    {
        read_store({"south"}, 10);
        receive_heartbeat(9, true);
        CPPUNIT_ASSERT(take_messages<drained_domains_notice>().empty());
        advance_time(300ms);
        receive_heartbeat(9, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             take_messages<drained_domains_notice>().size());
    }

    // The session with a peer that cannot decode the notice would end again and again.
    void peer_of_earlier_software_gets_no_notice()
    {
        read_store({"south"}, 10);
        receive_heartbeat(std::nullopt);
        advance_time(2s);
        receive_heartbeat(std::nullopt);
        CPPUNIT_ASSERT(take_messages<drained_domains_notice>().empty());
    }

    void changed_set_is_announced_by_a_heartbeat_at_once()
    {
        read_store({}, 9);
        receive_heartbeat(9);
        advance_time(100ms);
        take_messages<heartbeat>();
        read_store({"south"}, 10);
        advance_time(20ms);
        auto const sent = take_messages<heartbeat>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        CPPUNIT_ASSERT(sent[0].m_drains_version == 10U);
    }

    void instance_without_a_set_is_not_ready()
    {
        CPPUNIT_ASSERT(!can_serve(m_state));
        receive_heartbeat(0);
        CPPUNIT_ASSERT(!can_serve(m_state));
        read_store({"south"}, 10);
        CPPUNIT_ASSERT(can_serve(m_state));
    }

    void instance_that_hears_of_an_empty_set_is_ready()
    {
        receive_notice({}, 10);
        CPPUNIT_ASSERT(can_serve(m_state));
    }

    void set_known_before_the_first_configuration_is_in_force()
    {
        m_state = make_entry_state({{"self"}, "north", "self:1", 78, true});
        handle(instances_listed{});
        handle(fleet_clock_read{1'000'000});
        read_store({"south"}, 10);
        handle(configuration_changed{make_leased_configuration(), "document"});
        discover(4);
        submit(2 * slots + 2);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
    }

    void upstream_that_registers_in_drained_domain_is_owned_but_not_used()
    {
        read_store({"south"}, 10);
        discover(5);
        submit(2 * slots + 2);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
        CPPUNIT_ASSERT(m_renewed.contains("up-4"));
    }

    void queued_job_when_everything_is_drained_is_refused_at_once()
    {
        submit(4 * slots);
        caller_id const waiting = submit(1);
        m_actions.clear();
        read_store({"north", "south"}, 10);
        assert_refused_as_not_run(waiting);
    }

    void job_when_everything_is_drained_is_refused_at_once()
    {
        read_store({"north", "south"}, 10);
        m_actions.clear();
        assert_refused_as_not_run(submit(1));
        CPPUNIT_ASSERT(m_starts.empty());
    }

    void forwarded_task_when_everything_is_drained_is_returned_at_once()
    {
        receive_heartbeat(0);
        submit(4 * slots);
        forward(1);
        take_messages<task_reported>();
        read_store({"north", "south"}, 10);
        forward(2);
        auto const reports = take_messages<task_reported>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reports.size());
        for (task_reported const & report : reports)
        {
            CPPUNIT_ASSERT(report.m_result.m_outcome ==
                           dispatch::attempt_outcome::not_run);
        }
    }

    void forwarded_task_that_a_drained_peer_returns_starts_outside()
    {
        read_store({"south"}, 10);
        receive_heartbeat(10, false, 1);
        submit(2 * slots + 1);
        auto const forwards = take_messages<forward_task>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), forwards.size());
        receive_heartbeat(10);
        CPPUNIT_ASSERT(*take_starts().rbegin() <= "up-1");
        handle(peer_message_received{{"peer"},
                                     task_reported{{forwards[0].m_start.m_attempt,
                                                    dispatch::attempt_outcome::not_run,
                                                    {},
                                                    false}}});
        advance_time(100ms);
        CPPUNIT_ASSERT(take_starts().empty());
        read_store({}, 11);
        names const others = take_starts();
        CPPUNIT_ASSERT(others.size() == 1 && *others.begin() >= "up-2");
    }

    // The row may have been written, and 5 s may have passed, in the suspension.
    void task_after_suspension_waits_for_the_store()
    {
        read_store({}, 10);
        time_point const before = m_now;
        suspend(6s);
        submit(4);
        handle(domains_drained{{}, 10, before, false});
        advance_time(100ms);
        CPPUNIT_ASSERT(take_starts().empty());
        read_store({"south"}, 11);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
    }

    void task_after_suspension_starts_when_the_store_stays_silent()
    {
        read_store({"south"}, 10);
        suspend(6s);
        submit(4);
        advance_time(1s);
        CPPUNIT_ASSERT(take_starts() == (names{"up-0", "up-1"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_drain_test);

} // namespace
