/// \file One instance that leases upstreams in a fleet whose load reports are rarer than
/// its tasks are short; the test simulates its upstreams and peers. The load: jobs wait
/// here while upstreams of other instances are free.

#include "decision_actions.hpp"

#include <cassiahub/decision.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

class capacity_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(capacity_request_test);
    CPPUNIT_TEST(instance_with_free_slots_asks_no_peer);
    CPPUNIT_TEST(instance_without_capacity_asks_a_few_peers);
    CPPUNIT_TEST(instance_without_capacity_asks_at_a_limited_rate);
    CPPUNIT_TEST(peer_that_asks_is_told_of_free_slots_at_once);
    CPPUNIT_TEST(peer_that_asks_is_told_when_a_slot_becomes_free);
    CPPUNIT_TEST(peers_that_wait_share_the_free_slots);
    CPPUNIT_TEST(peer_that_asked_long_ago_is_told_nothing);
    CPPUNIT_TEST(request_for_unknown_service_is_ignored);
    CPPUNIT_TEST(request_at_draining_instance_is_ignored);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int slots = 8;
    static constexpr std::size_t asked_peers = 3;

    entry_state m_state;
    random_source m_random{1};
    time_point m_now{5000s};
    std::vector<action> m_actions;
    std::vector<lease::upstream_call> m_starts;
    caller_id m_next_caller = 1;

    void handle(event occurred)
    {
        step(m_state, std::move(occurred), m_now, m_random, m_actions);
        CPPUNIT_ASSERT(check_invariants(m_state).empty());
        answer_calls();
    }

    void advance_time(duration time, duration step = 10ms)
    {
        for (duration passed{0}; passed < time; passed += step)
        {
            m_now += step;
            handle(tick{});
        }
    }

    void answer_calls()
    {
        for (lease::upstream_call const & call : take_calls<lease::start_call>(m_actions))
        {
            m_starts.push_back(call);
            accept(call, {});
        }
        for (lease::upstream_call const & call : take_calls<lease::renew_call>(m_actions))
        {
            m_renewal = call;
            if (!std::get<lease::renew_call>(call.m_body).m_lease_until)
            {
                accept(call, {});
            }
        }
    }

    void accept(lease::upstream_call const & call, std::vector<lease::listed_end> ended)
    {
        lease::upstream_reply reply;
        reply.m_number = call.m_number;
        reply.m_upstream = call.m_upstream;
        reply.m_outcome = lease::call_outcome::accepted;
        reply.m_clock = to_milliseconds(m_now - time_point(4000s));
        reply.m_ended = std::move(ended);
        handle(upstream_replied{std::move(reply)});
    }

    lease::upstream_call m_renewal; ///< the last one

    /// Ends the first \p count started tasks with success.
    void finish_tasks(std::size_t count)
    {
        std::vector<lease::listed_end> ended;
        for (std::size_t index = 0; index < count; ++index)
        {
            ended.push_back({index + 1,
                             std::get<lease::start_call>(m_starts[index].m_body).m_run,
                             lease::end_cause::succeeded});
        }
        accept(m_renewal, std::move(ended));
    }

    void receive_heartbeats(int peers)
    {
        for (int index = 0; index < peers; ++index)
        {
            heartbeat message;
            message.m_incarnation = 9;
            message.m_domain = "south";
            message.m_peer_address = "10.0.0.2:" + std::to_string(index + 1);
            message.m_sent_at = m_now;
            message.m_loads = {{0, 0, {}, "pool"}};
            handle(peer_message_received{{peer_name(index)}, std::move(message)});
        }
    }

    static std::string peer_name(int index)
    {
        return "peer-" + std::to_string(index);
    }

    void submit(std::size_t tasks)
    {
        routed_request request;
        request.m_caller = m_next_caller++;
        request.m_host = "host";
        request.m_path = "/q/" + std::to_string(request.m_caller);
        request.m_spec.m_time_limit = 1500ms;
        request.m_spec.m_tasks.assign(tasks, {"payload", {2000, 64, 0}, 50ms});
        handle(std::move(request));
    }

    void receive_request(int peer, std::string service = "pool")
    {
        handle(peer_message_received{{peer_name(peer)},
                                     capacity_request{std::move(service)}});
    }

    /// \returns the messages of one type sent since the last call, with their receivers.
    template <typename Message>
    std::vector<std::pair<std::string, Message>> take_messages()
    {
        std::vector<std::pair<std::string, Message>> taken;
        for (send_peer const & sent : take_actions<send_peer>(m_actions))
        {
            if (auto const * const message = std::get_if<Message>(&sent.m_message))
            {
                taken.emplace_back(sent.m_to.m_value, *message);
            }
        }
        return taken;
    }

public:
    /// One upstream of eight slots, of which each task takes one, and six peers.
    void setUp() override
    {
        m_state = make_entry_state({{"self"}, "north", "self:1", 77, true});
        handle(instances_listed{});
        handle(fleet_clock_read{1'000'000});
        handle(configuration_changed{make_leased_configuration(), "document"});
        upstreams_discovered discovered;
        discovered_upstream upstream;
        upstream.m_definition.m_name = "up-1";
        upstream.m_definition.m_address = "10.0.0.1:1";
        upstream.m_definition.m_domain = "north";
        upstream.m_definition.m_service = "pool";
        discovered.m_upstreams.push_back(std::move(upstream));
        handle(std::move(discovered));
        advance_time(400ms);
        receive_heartbeats(6);
        m_actions.clear();
    }

    void instance_with_free_slots_asks_no_peer()
    {
        submit(slots);
        advance_time(30ms);
        CPPUNIT_ASSERT(take_messages<capacity_request>().empty());
    }

    void instance_without_capacity_asks_a_few_peers()
    {
        submit(slots + 1);
        std::set<std::string> asked;
        for (auto const & [peer, request] : take_messages<capacity_request>())
        {
            asked.insert(peer);
            CPPUNIT_ASSERT_EQUAL(std::string("pool"), request.m_service);
        }
        CPPUNIT_ASSERT_EQUAL(asked_peers, asked.size());
    }

    void instance_without_capacity_asks_at_a_limited_rate()
    {
        submit(slots + 4);
        take_messages<capacity_request>();
        advance_time(100ms, 1ms);
        std::size_t const sent = take_messages<capacity_request>().size();
        CPPUNIT_ASSERT(sent >= asked_peers && sent <= 10 * asked_peers);
    }

    void peer_that_asks_is_told_of_free_slots_at_once()
    {
        submit(slots - 3);
        take_messages<load_report>();
        receive_request(2);
        auto const reports = take_messages<load_report>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
        CPPUNIT_ASSERT_EQUAL(peer_name(2), reports[0].first);
        CPPUNIT_ASSERT_EQUAL(3U, reports[0].second.m_load.m_free_slots);
    }

    void peer_that_asks_is_told_when_a_slot_becomes_free()
    {
        submit(slots);
        receive_request(2);
        CPPUNIT_ASSERT(take_messages<load_report>().empty());
        finish_tasks(2);
        auto const reports = take_messages<load_report>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
        CPPUNIT_ASSERT_EQUAL(2U, reports[0].second.m_load.m_free_slots);
    }

    void peers_that_wait_share_the_free_slots()
    {
        submit(slots);
        receive_request(1);
        receive_request(2);
        receive_request(3);
        receive_request(3);
        finish_tasks(2);
        std::set<std::string> told;
        for (auto const & [peer, report] : take_messages<load_report>())
        {
            told.insert(peer);
            CPPUNIT_ASSERT_EQUAL(1U, report.m_load.m_free_slots);
        }
        CPPUNIT_ASSERT(told == (std::set<std::string>{peer_name(1), peer_name(2)}));
    }

    void peer_that_asked_long_ago_is_told_nothing()
    {
        submit(slots);
        receive_request(2);
        advance_time(100ms);
        take_messages<load_report>();
        finish_tasks(2);
        CPPUNIT_ASSERT(take_messages<load_report>().empty());
    }

    void request_for_unknown_service_is_ignored()
    {
        receive_request(2, "other");
        CPPUNIT_ASSERT(take_messages<load_report>().empty());
        CPPUNIT_ASSERT(!m_state.m_capacity_requests.contains("other"));
    }

    void request_at_draining_instance_is_ignored()
    {
        handle(drain_requested{});
        m_actions.clear();
        receive_request(2);
        CPPUNIT_ASSERT(take_messages<load_report>().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(capacity_request_test);

} // namespace
