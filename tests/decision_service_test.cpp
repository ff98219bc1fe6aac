/// \file One instance whose configuration names two services. Guards against tasks that
/// start on upstreams of another service.

#include "decision_service_fixture.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/decision.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

class service_test : public service_fixture
{
    CPPUNIT_TEST_SUITE(service_test);
    CPPUNIT_TEST(task_with_two_services_starts_on_its_own_service_only);
    CPPUNIT_TEST(restarted_upstream_of_other_service_gets_no_task_of_its_former_one);
    CPPUNIT_TEST(queued_task_of_moved_kind_starts_on_its_new_service);
    CPPUNIT_TEST(job_of_service_without_upstreams_is_refused_at_once);
    CPPUNIT_TEST(task_is_not_forwarded_to_peer_with_slots_of_another_service);
    CPPUNIT_TEST(task_is_forwarded_to_peer_with_slots_of_its_service);
    CPPUNIT_TEST(forwarded_task_of_other_service_is_returned_as_not_run);
    CPPUNIT_TEST(flood_of_one_service_does_not_delay_another);
    CPPUNIT_TEST_SUITE_END();

public:
    void task_with_two_services_starts_on_its_own_service_only()
    {
        for (int job = 0; job < 8; ++job)
        {
            submit("/q/", 3);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(24), m_starts.size());
        CPPUNIT_ASSERT(used_upstreams() ==
                       (std::set<std::string>{"up-0", "up-1", "up-2", "up-3"}));
    }

    // Guards against a start in a service that no configuration names: an upstream
    // replies after a restart before its registration in another service has been read.
    void restarted_upstream_of_other_service_gets_no_task_of_its_former_one()
    {
        m_reported_incarnations["up-0"] = m_registered_incarnations["up-0"] = 1;
        discover(0, 8);
        m_reported_incarnations["up-0"] = 2;
        advance_time(600ms);
        submit("/q/", 4 * slots);
        CPPUNIT_ASSERT(used_upstreams() ==
                       (std::set<std::string>{"up-1", "up-2", "up-3"}));
        m_registered_incarnations["up-0"] = 2;
        m_moved.insert("up-0");
        discover(0, 8);
        m_starts.clear();
        submit("/a/", 5 * slots);
        CPPUNIT_ASSERT(used_upstreams().contains("up-0"));
        m_starts.clear();
        submit("/q/", 1);
        CPPUNIT_ASSERT(m_starts.empty());
    }

    void queued_task_of_moved_kind_starts_on_its_new_service()
    {
        submit("/q/", 4 * slots);
        m_starts.clear();
        submit("/q/", 2);
        CPPUNIT_ASSERT(m_starts.empty());
        configure(2, "archive");
        advance_time(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_starts.size());
        for (std::string const & upstream : used_upstreams())
        {
            CPPUNIT_ASSERT(upstream >= "up-4");
        }
    }

    void job_of_service_without_upstreams_is_refused_at_once()
    {
        configure(2, "empty");
        m_actions.clear();
        caller_id const caller = submit("/q/", 1);
        auto const answers = take_actions<answer_caller>(m_actions);
        CPPUNIT_ASSERT(m_starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT_EQUAL(caller, answers[0].m_caller);
        CPPUNIT_ASSERT(answers[0].m_answer.m_ran == run_state::no);
    }

    void task_is_not_forwarded_to_peer_with_slots_of_another_service()
    {
        receive_heartbeat({{8, 0, {}, "archive"}});
        submit("/q/", 4 * slots);
        submit("/q/", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), forwarded_tasks());
    }

    void task_is_forwarded_to_peer_with_slots_of_its_service()
    {
        receive_heartbeat({{8, 0, {}, "archive"}, {8, 0, {}, "pool"}});
        submit("/q/", 4 * slots);
        submit("/q/", 2);
        CPPUNIT_ASSERT(forwarded_tasks() > 0);
    }

    void forwarded_task_of_other_service_is_returned_as_not_run()
    {
        receive_heartbeat({{8, 0, {}, "pool"}});
        m_actions.clear();
        forward_task forwarded;
        forwarded.m_start.m_attempt = {9, 1};
        forwarded.m_start.m_job = {"pool", "north", "job"};
        forwarded.m_start.m_kind = "check";
        forwarded.m_start.m_service = "archive";
        forwarded.m_start.m_demand = {1000, 64, 0};
        forwarded.m_start.m_deadline = m_now + 10s;
        forwarded.m_start.m_send_before = m_now + 1s;
        handle(peer_message_received{{"peer"}, std::move(forwarded)});
        advance_time(20ms);
        CPPUNIT_ASSERT(m_starts.empty());
        auto const sent = take_actions<send_peer>(m_actions);
        CPPUNIT_ASSERT(std::any_of(sent.begin(), sent.end(),
                                   [](send_peer const & item)
                                   {
                                       auto const * const report =
                                           std::get_if<task_reported>(&item.m_message);
                                       return report != nullptr &&
                                              report->m_result.m_outcome ==
                                                  dispatch::attempt_outcome::not_run;
                                   }));
    }

    void flood_of_one_service_does_not_delay_another()
    {
        for (int job = 0; job < 20; ++job)
        {
            submit("/a/", 2 * slots);
        }
        m_starts.clear();
        submit("/q/", 4 * slots);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4 * slots), m_starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_test);

} // namespace
