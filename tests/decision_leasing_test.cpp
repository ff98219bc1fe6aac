/// \file One instance that leases upstreams, with peers and upstreams played by the test.

#include <cassiahub/core/error.hpp>
#include <cassiahub/decision.hpp>
#include <cassiahub/membership/members.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t store_clock = 1'000'000;

class leasing_fixture : public CppUnit::TestFixture
{
protected:
    entry_state m_state;
    random_source m_random{1};
    time_point m_now{5000s};
    std::vector<action> m_actions;
    caller_token m_next_caller = 1;
    std::uint64_t m_row_version = 1;

    void handle(event occurred)
    {
        step(m_state, std::move(occurred), m_now, m_random, m_actions);
        CPPUNIT_ASSERT(check_invariants(m_state).empty());
    }

    void pass(duration time)
    {
        for (duration step{0}; step < time; step += 20ms)
        {
            m_now += 20ms;
            handle(tick{});
            serve_renewals();
        }
    }

    template <typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> taken;
        std::erase_if(m_actions,
                      [&taken](action const & item)
                      {
                          auto const * const found = std::get_if<Action>(&item);
                          if (found != nullptr)
                          {
                              taken.push_back(*found);
                          }
                          return found != nullptr;
                      });
        return taken;
    }

    template <typename Call>
    std::vector<lease::upstream_call> take_calls()
    {
        std::vector<lease::upstream_call> taken;
        std::erase_if(m_actions,
                      [&taken](action const & item)
                      {
                          auto const * const call =
                              std::get_if<lease::upstream_call>(&item);
                          bool const matches = call != nullptr &&
                                               std::holds_alternative<Call>(call->m_body);
                          if (matches)
                          {
                              taken.push_back(*call);
                          }
                          return matches;
                      });
        return taken;
    }

    void reply(lease::upstream_call const & call,
               std::vector<lease::listed_end> ended = {})
    {
        lease::upstream_reply made;
        made.m_number = call.m_number;
        made.m_upstream = call.m_upstream;
        made.m_outcome = lease::call_outcome::accepted;
        made.m_clock = to_milliseconds(m_now - time_point(4000s));
        made.m_ended = std::move(ended);
        handle(upstream_replied{std::move(made)});
    }

    /// Answers claims, so that upstreams are served; other renewals stay open.
    void serve_renewals()
    {
        for (lease::upstream_call const & call : take_calls<lease::renew_call>())
        {
            if (!std::get<lease::renew_call>(call.m_body).m_lease_until)
            {
                reply(call);
            }
            else
            {
                m_open_renewals.push_back(call);
            }
        }
    }

    std::vector<lease::upstream_call> m_open_renewals;

    void configure(std::uint64_t version = 1)
    {
        auto made = std::make_shared<config::fleet_configuration>();
        made->m_version = version;
        config::work_kind kind;
        kind.m_name = "check";
        kind.m_restartable = true;
        kind.m_service = "pool";
        made->m_kinds = {kind};
        config::tenant tenant;
        tenant.m_name = "pool";
        made->m_tenants = {tenant};
        made->m_routes = {{"host", "/q/", "check", "pool"}};
        handle(configuration_changed{std::move(made), "document"});
    }

    void discover(std::vector<std::string> const & names)
    {
        upstreams_discovered discovered;
        for (std::string const & name : names)
        {
            discovered_upstream upstream;
            upstream.m_definition.m_name = name;
            upstream.m_definition.m_address = name + ":1";
            upstream.m_definition.m_domain = "north";
            upstream.m_definition.m_service = "pool";
            discovered.m_upstreams.push_back(std::move(upstream));
        }
        handle(std::move(discovered));
    }

    void list_peer(bool changed)
    {
        m_row_version += changed ? 1 : 0;
        instances_listed listed;
        listed.m_instances.push_back(
            {"peer", "north", "peer:1", true, false, m_row_version});
        handle(std::move(listed));
    }

    void hear_peer(std::vector<std::string> held)
    {
        heartbeat message;
        message.m_incarnation = 9;
        message.m_domain = "north";
        message.m_peer_address = "peer:1";
        message.m_sent_at = m_now;
        message.m_held_upstreams = std::move(held);
        handle(peer_message_received{{"peer"}, std::move(message)});
    }

    caller_token submit(std::string const & path)
    {
        routed_request request;
        request.m_caller = m_next_caller++;
        request.m_host = "host";
        request.m_path = path;
        request.m_spec.m_time_limit = 1500ms;
        request.m_spec.m_tasks.push_back({"payload", {1000, 64, 0}, 50ms});
        handle(request);
        return request.m_caller;
    }

    std::optional<job_answer> answer_to(caller_token caller)
    {
        for (answer_caller const & answer : take<answer_caller>())
        {
            if (answer.m_caller == caller)
            {
                return answer.m_answer;
            }
        }
        return std::nullopt;
    }

    std::vector<std::string> held() const
    {
        std::vector<std::string> names;
        for (auto const & [name, session] : m_state.m_leasing.m_sessions.m_sessions)
        {
            names.push_back(name);
        }
        return names;
    }

    void start_alone()
    {
        handle(instances_listed{});
        handle(fleet_clock_read{store_clock});
        configure();
        discover({"up-1", "up-2"});
        pass(100ms);
    }

public:
    void setUp() override
    {
        m_state = make_entry_state({{"self"}, "north", "self:1", 77, true});
    }
};

// Guards against jobs that are lost, answered wrongly or run on for nobody.
class leasing_job_test : public leasing_fixture
{
    CPPUNIT_TEST_SUITE(leasing_job_test);
    CPPUNIT_TEST(request_without_configuration_is_refused_as_not_run);
    CPPUNIT_TEST(request_without_route_is_of_unknown_kind);
    CPPUNIT_TEST(request_without_upstreams_is_refused_as_not_run);
    CPPUNIT_TEST(job_completes_when_its_run_has_succeeded);
    CPPUNIT_TEST(job_with_failed_run_is_started_again_with_higher_generation);
    CPPUNIT_TEST(job_of_caller_that_left_is_stopped);
    CPPUNIT_TEST(job_submitted_twice_has_one_run);
    CPPUNIT_TEST(count_of_waiting_jobs_is_answered);
    CPPUNIT_TEST_SUITE_END();

public:
    void request_without_configuration_is_refused_as_not_run()
    {
        auto const answer = answer_to(submit("/q/1"));
        CPPUNIT_ASSERT(answer && answer->m_error == job_errc::no_configuration);
        CPPUNIT_ASSERT(answer->m_ran == run_state::no);
    }

    void request_without_route_is_of_unknown_kind()
    {
        start_alone();
        CPPUNIT_ASSERT(answer_to(submit("/other/1"))->m_error == job_errc::unknown_kind);
    }

    void request_without_upstreams_is_refused_as_not_run()
    {
        handle(fleet_clock_read{store_clock});
        configure();
        auto const answer = answer_to(submit("/q/1"));
        CPPUNIT_ASSERT(answer && answer->m_error == job_errc::store_unavailable);
        CPPUNIT_ASSERT(answer->m_ran == run_state::no);
    }

    void job_completes_when_its_run_has_succeeded()
    {
        start_alone();
        caller_token const caller = submit("/q/1");
        auto const starts = take_calls<lease::start_call>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
        lease::run_name const run = std::get<lease::start_call>(starts[0].m_body).m_run;
        CPPUNIT_ASSERT_EQUAL(std::string("1"), run.m_task.m_job);
        reply(starts[0]);
        for (lease::upstream_call const & renewal : m_open_renewals)
        {
            if (renewal.m_upstream == starts[0].m_upstream)
            {
                reply(renewal, {{1, run, lease::end_cause::succeeded}});
            }
        }
        auto const answer = answer_to(caller);
        CPPUNIT_ASSERT(answer && !answer->m_error);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answer->m_results.size());
    }

    void job_with_failed_run_is_started_again_with_higher_generation()
    {
        start_alone();
        submit("/q/1");
        auto const first = take_calls<lease::start_call>();
        lease::run_name const run = std::get<lease::start_call>(first[0].m_body).m_run;
        reply(first[0]);
        for (lease::upstream_call const & renewal : m_open_renewals)
        {
            if (renewal.m_upstream == first[0].m_upstream)
            {
                reply(renewal, {{1, run, lease::end_cause::failed}});
            }
        }
        auto const second = take_calls<lease::start_call>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.size());
        CPPUNIT_ASSERT(std::get<lease::start_call>(second[0].m_body).m_run.m_generation >
                       run.m_generation);
    }

    void job_of_caller_that_left_is_stopped()
    {
        start_alone();
        caller_token const caller = submit("/q/1");
        reply(take_calls<lease::start_call>().at(0));
        handle(caller_gone{caller});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_calls<lease::stop_call>().size());
    }

    void job_submitted_twice_has_one_run()
    {
        start_alone();
        submit("/q/1");
        submit("/q/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_calls<lease::start_call>().size());
    }

    void count_of_waiting_jobs_is_answered()
    {
        start_alone();
        routed_request request;
        request.m_caller = 99;
        request.m_operation = key_operation::count;
        request.m_host = "host";
        request.m_path = "/q/";
        handle(request);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), answer_to(99)->m_results.at(0));
    }
};

// Guards against two owners of an upstream, an upstream without one, and runs that go on
// for an instance that failed.
class leasing_owner_test : public leasing_fixture
{
    CPPUNIT_TEST_SUITE(leasing_owner_test);
    CPPUNIT_TEST(instance_alone_claims_every_upstream);
    CPPUNIT_TEST(instance_without_store_clock_claims_nothing);
    CPPUNIT_TEST(instance_without_list_of_instances_claims_nothing);
    CPPUNIT_TEST(instance_claims_nothing_before_it_has_heard_listed_peer);
    CPPUNIT_TEST(newly_listed_peer_gets_heartbeat_at_once);
    CPPUNIT_TEST(first_heartbeat_of_peer_is_answered_at_once);
    CPPUNIT_TEST(instance_claims_although_listed_peer_stays_silent);
    CPPUNIT_TEST(instance_without_store_claims_after_registrations_expire);
    CPPUNIT_TEST(upstream_held_by_live_peer_is_not_claimed);
    CPPUNIT_TEST(upstreams_of_silent_registered_peer_are_not_claimed);
    CPPUNIT_TEST(upstreams_of_peer_with_stale_registration_are_claimed);
    CPPUNIT_TEST(upstream_missing_from_store_is_used_for_its_grace);
    CPPUNIT_TEST(run_for_failed_peer_is_stopped);
    CPPUNIT_TEST(draining_instance_releases_its_upstreams);
    CPPUNIT_TEST_SUITE_END();

public:
    void instance_alone_claims_every_upstream()
    {
        start_alone();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held().size());
    }

    void instance_without_store_clock_claims_nothing()
    {
        configure();
        discover({"up-1"});
        pass(500ms);
        CPPUNIT_ASSERT(held().empty());
    }

    // A gateway that had just started claimed every upstream of the fleet before it knew
    // the others, and so ended their runs (sartoria-pa, inc-577f).
    void instance_without_list_of_instances_claims_nothing()
    {
        handle(fleet_clock_read{store_clock});
        configure();
        discover({"up-1", "up-2"});
        pass(500ms);
        CPPUNIT_ASSERT(held().empty());
    }

    void instance_claims_nothing_before_it_has_heard_listed_peer()
    {
        list_peer(true);
        handle(fleet_clock_read{store_clock});
        configure();
        discover({"up-1", "up-2"});
        pass(500ms);
        CPPUNIT_ASSERT(held().empty());
        hear_peer({"up-1", "up-2"});
        pass(500ms);
        CPPUNIT_ASSERT(held().empty());
        hear_peer({});
        pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held().size());
    }

    std::size_t count_heartbeats()
    {
        std::vector<send_peer> const sent = take<send_peer>();
        return std::size_t(std::count_if(
            sent.begin(), sent.end(),
            [](send_peer const & message)
            { return std::holds_alternative<heartbeat>(message.m_message); }));
    }

    void newly_listed_peer_gets_heartbeat_at_once()
    {
        start_alone();
        take<send_peer>();
        list_peer(true);
        pass(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_heartbeats());
    }

    void first_heartbeat_of_peer_is_answered_at_once()
    {
        start_alone();
        hear_peer({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_heartbeats());
        pass(20ms);
        count_heartbeats();
        hear_peer({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_heartbeats());
    }

    void instance_claims_although_listed_peer_stays_silent()
    {
        list_peer(true);
        handle(fleet_clock_read{store_clock});
        configure();
        discover({"up-1", "up-2"});
        for (int second = 0; second < 2; ++second)
        {
            list_peer(true);
            pass(1s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held().size());
    }

    void instance_without_store_claims_after_registrations_expire()
    {
        handle(fleet_clock_read{store_clock});
        configure();
        discover({"up-1", "up-2"});
        pass(membership::registration_timeout + 500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held().size());
    }

    void upstream_held_by_live_peer_is_not_claimed()
    {
        hear_peer({"up-1", "up-2"});
        start_alone();
        CPPUNIT_ASSERT(held().empty());
        hear_peer({});
        pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held().size());
    }

    void upstreams_of_silent_registered_peer_are_not_claimed()
    {
        hear_peer({});
        start_alone();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held().size());
        for (int second = 0; second < 5; ++second)
        {
            list_peer(true);
            pass(1s);
        }
        CPPUNIT_ASSERT(membership::find_live(m_state.m_membership, {"peer"}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held().size());
    }

    void upstreams_of_peer_with_stale_registration_are_claimed()
    {
        hear_peer({});
        start_alone();
        list_peer(true);
        for (int second = 0; second < 4; ++second)
        {
            list_peer(false);
            pass(1s);
        }
        list_peer(false);
        pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held().size());
    }

    void upstream_missing_from_store_is_used_for_its_grace()
    {
        start_alone();
        discover({"up-1"});
        pass(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held().size());
        pass(2500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held().size());
    }

    void run_for_failed_peer_is_stopped()
    {
        start_alone();
        hear_peer({});
        forward_task forwarded;
        forwarded.m_start.m_attempt = {9, 1};
        forwarded.m_start.m_job = {"pool", "north", "k"};
        forwarded.m_start.m_kind = "check";
        forwarded.m_start.m_generation = 5;
        forwarded.m_start.m_demand = {1000, 64, 0};
        forwarded.m_start.m_deadline = m_now + 60s;
        forwarded.m_start.m_send_before = m_now + 60s;
        handle(peer_message_received{{"peer"}, forwarded});
        reply(take_calls<lease::start_call>().at(0));
        pass(1100ms);
        CPPUNIT_ASSERT(!take_calls<lease::stop_call>().empty());
    }

    void draining_instance_releases_its_upstreams()
    {
        start_alone();
        handle(drain_requested{});
        pass(300ms);
        CPPUNIT_ASSERT(held().empty());
        CPPUNIT_ASSERT(is_idle(m_state));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leasing_job_test);
CPPUNIT_TEST_SUITE_REGISTRATION(leasing_owner_test);

} // namespace
