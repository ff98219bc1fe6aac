/// \file One instance that leases upstreams; the test simulates its peers and upstreams.

#include "decision_actions.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/decision.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/membership/members.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t store_clock_ms = 1'000'000;

class leasing_fixture : public CppUnit::TestFixture
{
protected:
    entry_state m_state;
    random_source m_random{1};
    time_point m_now{5000s};
    std::vector<action> m_actions;
    caller_id m_next_caller = 1;
    std::uint64_t m_row_version = 1;

    void handle(event occurred)
    {
        step(m_state, std::move(occurred), m_now, m_random, m_actions);
        CPPUNIT_ASSERT(check_invariants(m_state).empty());
    }

    /// Advances the clock in steps of 20 ms and answers claims.
    void advance_time(duration time)
    {
        for (duration step{0}; step < time; step += 20ms)
        {
            m_now += 20ms;
            handle(tick{});
            accept_claims();
        }
    }

    /// Removes and returns the actions of one type.
    template <typename Action>
    std::vector<Action> take_actions()
    {
        return decision::take_actions<Action>(m_actions);
    }

    /// Removes and returns the upstream calls of one type.
    template <typename Call>
    std::vector<lease::upstream_call> take_calls()
    {
        return decision::take_calls<Call>(m_actions);
    }

    void reply(lease::upstream_call const & call,
               std::vector<lease::listed_end> ended = {})
    {
        lease::upstream_reply result;
        result.m_number = call.m_number;
        result.m_upstream = call.m_upstream;
        result.m_outcome = lease::call_outcome::accepted;
        result.m_clock = to_milliseconds(m_now - time_point(4000s));
        result.m_ended = std::move(ended);
        handle(upstream_replied{std::move(result)});
    }

    /// Accepts claims (renewals without a lease time), so that their upstreams are
    /// served. Other renewals are stored in m_open_renewals without a reply.
    void accept_claims()
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

    void configure(std::uint64_t version = 1, std::string const & service = "pool")
    {
        auto result = make_leased_configuration(version, service);
        handle(configuration_changed{std::move(result), "document"});
    }

    void discover(std::vector<std::string> const & names,
                  std::string const & service = "pool")
    {
        upstreams_discovered discovered;
        for (std::string const & name : names)
        {
            discovered_upstream upstream;
            upstream.m_definition.m_name = name;
            upstream.m_definition.m_address = name + ":1";
            upstream.m_definition.m_domain = "north";
            upstream.m_definition.m_service = service;
            discovered.m_upstreams.push_back(std::move(upstream));
        }
        handle(std::move(discovered));
    }

    /// Delivers a list in which \p name has the service \p service and another address.
    void discover_other(std::string const & name, std::string const & service,
                        std::uint64_t incarnation)
    {
        upstreams_discovered discovered;
        for (std::string const & other : {std::string("up-1"), std::string("up-2"), name})
        {
            discovered_upstream upstream;
            upstream.m_definition.m_name = other;
            upstream.m_definition.m_address = other + (other == name ? ":2" : ":1");
            upstream.m_definition.m_domain = "north";
            upstream.m_definition.m_service = other == name ? service : "pool";
            upstream.m_incarnation = other == name ? incarnation : 0;
            discovered.m_upstreams.push_back(std::move(upstream));
        }
        handle(std::move(discovered));
    }

    /// Delivers an instance list with one peer, with its registration renewed or not.
    void list_peer(bool renewed)
    {
        m_row_version += renewed ? 1 : 0;
        instances_listed listed;
        listed.m_instances.push_back(
            {"peer", "north", "peer:1", true, false, m_row_version});
        handle(std::move(listed));
    }

    void receive_peer_heartbeat(std::vector<std::string> held_upstreams)
    {
        heartbeat message;
        message.m_incarnation = 9;
        message.m_domain = "north";
        message.m_peer_address = "peer:1";
        message.m_sent_at = m_now;
        message.m_held_upstreams = std::move(held_upstreams);
        handle(peer_message_received{{"peer"}, std::move(message)});
    }

    caller_id submit(std::string const & path)
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

    std::optional<job_answer> answer_to(caller_id caller)
    {
        for (answer_caller const & answer : take_actions<answer_caller>())
        {
            if (answer.m_caller == caller)
            {
                return answer.m_answer;
            }
        }
        return std::nullopt;
    }

    std::vector<std::string> held_upstreams() const
    {
        std::vector<std::string> names;
        for (auto const & [name, session] : m_state.m_leasing.m_sessions.m_sessions)
        {
            names.push_back(name);
        }
        return names;
    }

    /// Delivers a task that the peer, of incarnation 9, has just forwarded.
    void receive_forwarded_task(std::uint64_t serial, std::string key)
    {
        duration const wait =
            m_state.m_dispatch.m_configuration
                ? m_state.m_dispatch.m_configuration->m_dispatch.m_forward_wait
                : duration::zero();
        forward_task forwarded;
        forwarded.m_start.m_attempt = {9, serial};
        forwarded.m_start.m_job = {"pool", "north", std::move(key)};
        forwarded.m_start.m_kind = "check";
        forwarded.m_start.m_generation = 5;
        forwarded.m_start.m_demand = {1000, 64, 0};
        forwarded.m_start.m_deadline = m_now + 60s;
        forwarded.m_start.m_send_before = m_now + wait;
        handle(peer_message_received{{"peer"}, std::move(forwarded)});
    }

    /// Advances the clock in steps of 20 ms. Starts are accepted and renewals list their
    /// runs as running, at once; stops are lost.
    void advance_with_lost_stops(duration time)
    {
        for (duration step{0}; step < time; step += 20ms)
        {
            for (lease::upstream_call const & call : take_calls<lease::start_call>())
            {
                auto const & order = std::get<lease::start_call>(call.m_body);
                observe_lease(order.m_lease_until);
                m_listed_runs.emplace_back(call.m_upstream, order.m_run);
                reply(call);
            }
            for (lease::upstream_call const & call :
                 std::exchange(m_open_renewals, take_calls<lease::renew_call>()))
            {
                list_runs(call);
            }
            m_now += 20ms;
            has_lapsed();
            handle(tick{});
        }
    }

    void list_runs(lease::upstream_call const & call)
    {
        auto const until = std::get<lease::renew_call>(call.m_body).m_lease_until;
        bool const has_run = std::any_of(m_listed_runs.begin(), m_listed_runs.end(),
                                         [&call](auto const & item)
                                         { return item.first == call.m_upstream; });
        if (until && has_run)
        {
            observe_lease(*until);
        }
        lease::upstream_reply result;
        result.m_number = call.m_number;
        result.m_upstream = call.m_upstream;
        result.m_outcome = lease::call_outcome::accepted;
        result.m_clock = to_milliseconds(m_now - time_point(4000s));
        for (auto const & [upstream, run] : m_listed_runs)
        {
            if (upstream == call.m_upstream && !has_lapsed())
            {
                result.m_running.push_back({run, ++m_percent});
            }
        }
        handle(upstream_replied{std::move(result)});
    }

    void observe_lease(lease::upstream_clock until)
    {
        if (!has_lapsed())
        {
            m_lease_end = std::max(m_lease_end,
                                   time_point(4000s) + std::chrono::milliseconds(until));
        }
    }

    /// \returns true once the upstreams have ended all runs.
    bool has_lapsed()
    {
        m_lapsed |= m_lease_end != time_point() && m_now >= m_lease_end;
        return m_lapsed;
    }

    std::vector<std::pair<std::string, lease::run_name>> m_listed_runs;
    std::uint32_t m_percent = 0;
    time_point m_lease_end; ///< latest end of a lease with a run
    bool m_lapsed = false;

    /// Starts the instance without peers, with two upstreams, until it serves both.
    void start_without_peers()
    {
        handle(instances_listed{});
        handle(fleet_clock_read{store_clock_ms});
        configure();
        discover({"up-1", "up-2"});
        advance_time(100ms);
    }

public:
    void setUp() override
    {
        m_state = make_entry_state({{"self"}, "north", "self:1", 77, true});
    }
};

// Guards against jobs that are lost, answered wrongly or still run after their caller has
// disconnected.
class leasing_job_test : public leasing_fixture
{
    CPPUNIT_TEST_SUITE(leasing_job_test);
    CPPUNIT_TEST(request_without_configuration_is_refused_as_not_run);
    CPPUNIT_TEST(request_without_route_is_refused_as_unknown_kind);
    CPPUNIT_TEST(
        request_without_route_in_unconfirmed_configuration_is_refused_as_not_run);
    CPPUNIT_TEST(request_without_key_of_one_segment_is_refused_as_malformed);
    CPPUNIT_TEST(request_without_upstreams_is_refused_as_not_run);
    CPPUNIT_TEST(job_completes_when_its_run_has_succeeded);
    CPPUNIT_TEST(job_with_failed_run_is_started_again_with_higher_generation);
    CPPUNIT_TEST(job_of_disconnected_caller_is_stopped);
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

    void request_without_route_is_refused_as_unknown_kind()
    {
        start_without_peers();
        handle(configuration_confirmed{m_now});
        CPPUNIT_ASSERT(answer_to(submit("/other/1"))->m_error == job_errc::unknown_kind);
    }

    // Guards against a route that has been acknowledged and is said not to exist by an
    // instance that has not read it.
    void request_without_route_in_unconfirmed_configuration_is_refused_as_not_run()
    {
        start_without_peers();
        handle(configuration_confirmed{m_now - 2s});
        auto const answer = answer_to(submit("/other/1"));
        CPPUNIT_ASSERT(answer && answer->m_error == job_errc::configuration_unconfirmed);
        CPPUNIT_ASSERT(answer->m_ran == run_state::no);
    }

    // Guards against a key with which a forwarded task makes the peer end the session.
    void request_without_key_of_one_segment_is_refused_as_malformed()
    {
        start_without_peers();
        for (char const * const path : {"/q/", "/q/a/5c0e7a21d94b36f8"})
        {
            caller_id const caller = submit(path);
            std::optional<job_answer> const answer = answer_to(caller);
            CPPUNIT_ASSERT_MESSAGE(path, answer);
            CPPUNIT_ASSERT(answer->m_error == job_errc::malformed_request &&
                           answer->m_ran == run_state::no);
            CPPUNIT_ASSERT(take_calls<lease::start_call>().empty());
        }
    }

    void request_without_upstreams_is_refused_as_not_run()
    {
        handle(fleet_clock_read{store_clock_ms});
        configure();
        auto const answer = answer_to(submit("/q/1"));
        CPPUNIT_ASSERT(answer && answer->m_error == job_errc::store_unavailable);
        CPPUNIT_ASSERT(answer->m_ran == run_state::no);
    }

    void job_completes_when_its_run_has_succeeded()
    {
        start_without_peers();
        caller_id const caller = submit("/q/1");
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
        start_without_peers();
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

    void job_of_disconnected_caller_is_stopped()
    {
        start_without_peers();
        caller_id const caller = submit("/q/1");
        reply(take_calls<lease::start_call>().at(0));
        handle(caller_disconnected{caller});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_calls<lease::stop_call>().size());
    }

    void job_submitted_twice_has_one_run()
    {
        start_without_peers();
        submit("/q/1");
        submit("/q/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_calls<lease::start_call>().size());
    }

    void count_of_waiting_jobs_is_answered()
    {
        start_without_peers();
        routed_request request;
        request.m_caller = 99;
        request.m_operation = key_operation::count;
        request.m_host = "host";
        request.m_path = "/q/";
        handle(request);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), answer_to(99)->m_results.at(0));
    }
};

// Guards against an upstream with two owners or none, and against runs that continue for
// an instance that failed.
class leasing_owner_test : public leasing_fixture
{
    CPPUNIT_TEST_SUITE(leasing_owner_test);
    CPPUNIT_TEST(instance_without_peers_claims_every_upstream);
    CPPUNIT_TEST(instance_without_store_clock_claims_nothing);
    CPPUNIT_TEST(instance_without_instance_list_claims_nothing);
    CPPUNIT_TEST(instance_before_heartbeat_of_listed_peer_claims_nothing);
    CPPUNIT_TEST(newly_listed_peer_gets_heartbeat_at_once);
    CPPUNIT_TEST(first_heartbeat_of_peer_is_answered_at_once);
    CPPUNIT_TEST(instance_with_silent_listed_peer_claims_its_share);
    CPPUNIT_TEST(instance_without_store_claims_after_registration_timeout);
    CPPUNIT_TEST(upstream_held_by_live_peer_is_not_claimed);
    CPPUNIT_TEST(upstreams_of_silent_registered_peer_are_not_claimed);
    CPPUNIT_TEST(upstreams_of_peer_with_stale_registration_are_claimed);
    CPPUNIT_TEST(upstream_without_registration_is_used_for_grace_period);
    CPPUNIT_TEST(registration_that_turns_to_unknown_service_leaves_run_alone);
    CPPUNIT_TEST(run_for_failed_peer_is_stopped);
    CPPUNIT_TEST(draining_instance_releases_its_upstreams);
    CPPUNIT_TEST(upstream_of_service_without_kind_is_claimed_once_a_kind_names_it);
    CPPUNIT_TEST(upstream_of_service_without_kind_is_logged_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void instance_without_peers_claims_every_upstream()
    {
        start_without_peers();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held_upstreams().size());
    }

    void instance_without_store_clock_claims_nothing()
    {
        configure();
        discover({"up-1"});
        advance_time(500ms);
        CPPUNIT_ASSERT(held_upstreams().empty());
    }

    // Guards against an instance that claims every upstream directly after its start,
    // before it knows the other instances, and thereby ends their runs (sartoria-pa,
    // inc-577f).
    void instance_without_instance_list_claims_nothing()
    {
        handle(fleet_clock_read{store_clock_ms});
        configure();
        discover({"up-1", "up-2"});
        advance_time(500ms);
        CPPUNIT_ASSERT(held_upstreams().empty());
    }

    void instance_before_heartbeat_of_listed_peer_claims_nothing()
    {
        list_peer(true);
        handle(fleet_clock_read{store_clock_ms});
        configure();
        discover({"up-1", "up-2"});
        advance_time(500ms);
        CPPUNIT_ASSERT(held_upstreams().empty());
        receive_peer_heartbeat({"up-1", "up-2"});
        advance_time(500ms);
        CPPUNIT_ASSERT(held_upstreams().empty());
        receive_peer_heartbeat({});
        advance_time(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams().size());
    }

    std::size_t count_heartbeats()
    {
        std::vector<send_peer> const sent = take_actions<send_peer>();
        return std::size_t(std::count_if(
            sent.begin(), sent.end(),
            [](send_peer const & message)
            { return std::holds_alternative<heartbeat>(message.m_message); }));
    }

    void newly_listed_peer_gets_heartbeat_at_once()
    {
        start_without_peers();
        take_actions<send_peer>();
        list_peer(true);
        advance_time(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_heartbeats());
    }

    void first_heartbeat_of_peer_is_answered_at_once()
    {
        start_without_peers();
        receive_peer_heartbeat({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_heartbeats());
        advance_time(20ms);
        count_heartbeats();
        receive_peer_heartbeat({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_heartbeats());
    }

    void instance_with_silent_listed_peer_claims_its_share()
    {
        list_peer(true);
        handle(fleet_clock_read{store_clock_ms});
        configure();
        discover({"up-1", "up-2"});
        for (int second = 0; second < 2; ++second)
        {
            list_peer(true);
            advance_time(1s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams().size());
    }

    void instance_without_store_claims_after_registration_timeout()
    {
        handle(fleet_clock_read{store_clock_ms});
        configure();
        discover({"up-1", "up-2"});
        advance_time(membership::registration_timeout + 500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held_upstreams().size());
    }

    void upstream_held_by_live_peer_is_not_claimed()
    {
        receive_peer_heartbeat({"up-1", "up-2"});
        start_without_peers();
        CPPUNIT_ASSERT(held_upstreams().empty());
        receive_peer_heartbeat({});
        advance_time(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams().size());
    }

    void upstreams_of_silent_registered_peer_are_not_claimed()
    {
        receive_peer_heartbeat({});
        start_without_peers();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams().size());
        for (int second = 0; second < 5; ++second)
        {
            list_peer(true);
            advance_time(1s);
        }
        CPPUNIT_ASSERT(membership::find_live(m_state.m_membership, {"peer"}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams().size());
    }

    void upstreams_of_peer_with_stale_registration_are_claimed()
    {
        receive_peer_heartbeat({});
        start_without_peers();
        list_peer(true);
        for (int second = 0; second < 4; ++second)
        {
            list_peer(false);
            advance_time(1s);
        }
        list_peer(false);
        advance_time(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held_upstreams().size());
    }

    // Guards against a run that is reported as ended because an entry of another writer
    // replaces the registration of its upstream.
    void registration_that_turns_to_unknown_service_leaves_run_alone()
    {
        start_without_peers();
        submit("/q/1");
        auto const starts = take_calls<lease::start_call>();
        reply(starts.at(0));
        discover_other(starts[0].m_upstream, "other", 1);
        advance_time(100ms);
        CPPUNIT_ASSERT(take_calls<lease::start_call>().empty());
    }

    void upstream_without_registration_is_used_for_grace_period()
    {
        start_without_peers();
        discover({"up-1"});
        advance_time(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held_upstreams().size());
        advance_time(2500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams().size());
    }

    void run_for_failed_peer_is_stopped()
    {
        start_without_peers();
        receive_peer_heartbeat({});
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
        advance_time(1100ms);
        CPPUNIT_ASSERT(!take_calls<lease::stop_call>().empty());
    }

    // Guards against tasks on an upstream of a service that no route leads to.
    void upstream_of_service_without_kind_is_claimed_once_a_kind_names_it()
    {
        start_without_peers();
        discover({"other-1"}, "other");
        advance_time(500ms);
        CPPUNIT_ASSERT(!m_state.m_leasing.m_sessions.m_sessions.contains("other-1"));
        configure(2, "other");
        advance_time(500ms);
        CPPUNIT_ASSERT(m_state.m_leasing.m_sessions.m_sessions.contains("other-1"));
    }

    // Guards against an upstream that is left out without a trace.
    void upstream_of_service_without_kind_is_logged_once()
    {
        start_without_peers();
        for (int repetition = 0; repetition < 3; ++repetition)
        {
            discover({"other-1"}, "other");
            advance_time(300ms);
        }
        auto const lines = take_actions<log_event>();
        CPPUNIT_ASSERT_EQUAL(
            std::ptrdiff_t(1),
            std::count_if(lines.begin(), lines.end(),
                          [](log_event const & line)
                          { return line.m_code == "upstream_without_kind"; }));
    }

    void draining_instance_releases_its_upstreams()
    {
        start_without_peers();
        handle(drain_requested{});
        advance_time(300ms);
        CPPUNIT_ASSERT(held_upstreams().empty());
        CPPUNIT_ASSERT(is_idle(m_state));
    }
};

// Guards against a run that goes on when its caller submits the job again 1.3 s after its
// connection broke (tausi-returns, TWICE).
class leasing_resubmission_test : public leasing_fixture
{
    CPPUNIT_TEST_SUITE(leasing_resubmission_test);
    CPPUNIT_TEST(run_for_failed_peer_with_lost_stops_ends_before_resubmission);
    CPPUNIT_TEST(run_for_live_peer_continues);
    CPPUNIT_TEST(run_for_peer_that_failed_in_suspension_is_stopped_before_resubmission);
    CPPUNIT_TEST(run_for_peer_heard_after_suspension_continues);
    CPPUNIT_TEST(task_of_failed_peer_is_refused_as_not_run);
    CPPUNIT_TEST(task_of_peer_never_heard_is_refused_as_not_run);
    CPPUNIT_TEST(forwarded_task_is_cancelled_at_peer_that_is_given_up);
    CPPUNIT_TEST(job_after_suspension_is_not_started_before_disconnects_are_seen);
    CPPUNIT_TEST(job_after_suspension_is_started_after_catch_up);
    CPPUNIT_TEST(job_whose_time_limit_ended_in_suspension_is_not_started);
    CPPUNIT_TEST(job_submitted_again_while_its_run_is_stopped_is_refused_as_not_run);
    CPPUNIT_TEST(job_submitted_again_after_end_of_its_run_is_started);
    CPPUNIT_TEST(job_submitted_again_while_peer_stops_its_run_is_refused_as_not_run);
    CPPUNIT_TEST(job_that_runs_here_for_peer_is_refused_as_not_run);
    CPPUNIT_TEST(run_of_disconnected_caller_with_lost_stops_ends_before_resubmission);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration resubmission_delay = 1300ms;

    void start_with_peer()
    {
        receive_peer_heartbeat({});
        start_without_peers();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams().size());
        receive_peer_heartbeat({});
    }

public:
    void run_for_failed_peer_with_lost_stops_ends_before_resubmission()
    {
        start_with_peer();
        receive_forwarded_task(1, "k");
        advance_with_lost_stops(300ms);
        receive_peer_heartbeat({});
        time_point const failed = m_now;
        advance_with_lost_stops(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_listed_runs.size());
        CPPUNIT_ASSERT(!take_calls<lease::stop_call>().empty());
        CPPUNIT_ASSERT(m_lease_end < failed + resubmission_delay);
    }

    void run_for_live_peer_continues()
    {
        start_with_peer();
        receive_forwarded_task(1, "k");
        for (int period = 0; period < 10; ++period)
        {
            advance_with_lost_stops(500ms);
            receive_peer_heartbeat({});
        }
        CPPUNIT_ASSERT(m_state.m_dispatch.m_attempts.contains({9, 1}));
        CPPUNIT_ASSERT(m_lease_end > m_now + 200ms);
    }

    // Guards against runs that continue for a failed peer because this instance, after a
    // suspension, gives the peer more time to be heard.
    void run_for_peer_that_failed_in_suspension_is_stopped_before_resubmission()
    {
        start_with_peer();
        receive_forwarded_task(1, "k");
        advance_with_lost_stops(300ms);
        receive_peer_heartbeat({});
        time_point const failed = m_now;
        m_now += 700ms;
        handle(tick{});
        CPPUNIT_ASSERT(take_calls<lease::stop_call>().empty());
        while (m_now < failed + 1150ms && take_calls<lease::stop_call>().empty())
        {
            advance_with_lost_stops(20ms);
        }
        CPPUNIT_ASSERT(m_now < failed + 1150ms);
        CPPUNIT_ASSERT(membership::find_live(m_state.m_membership, {"peer"}) != nullptr);
        advance_with_lost_stops(2s);
        CPPUNIT_ASSERT(m_lease_end < failed + resubmission_delay);
    }

    void run_for_peer_heard_after_suspension_continues()
    {
        start_with_peer();
        receive_forwarded_task(1, "k");
        advance_with_lost_stops(300ms);
        receive_peer_heartbeat({});
        m_now += 850ms;
        handle(tick{});
        advance_with_lost_stops(60ms);
        receive_peer_heartbeat({});
        advance_with_lost_stops(300ms);
        CPPUNIT_ASSERT(take_calls<lease::stop_call>().empty());
    }

    /// \returns the outcomes reported to the peer.
    std::vector<dispatch::attempt_outcome> reported_outcomes()
    {
        std::vector<dispatch::attempt_outcome> outcomes;
        for (send_peer const & sent : take_actions<send_peer>())
        {
            if (auto const * const report = std::get_if<task_reported>(&sent.m_message))
            {
                outcomes.push_back(report->m_result.m_outcome);
            }
        }
        return outcomes;
    }

    /// Makes the peer the only place with capacity.
    void offer_peer_slots()
    {
        heartbeat message;
        message.m_incarnation = 9;
        message.m_domain = "north";
        message.m_peer_address = "peer:1";
        message.m_sent_at = m_now;
        message.m_loads = {{8, 0, {}, "pool"}};
        handle(peer_message_received{{"peer"}, std::move(message)});
        dispatch::set_upstream_available(m_state.m_dispatch, held_upstreams().at(0),
                                         false);
    }

    /// Removes the messages to the peer.
    /// \returns the attempt of the only task among them.
    attempt_id take_forwarded_attempt()
    {
        std::vector<attempt_id> attempts;
        for (send_peer const & sent : take_actions<send_peer>())
        {
            if (auto const * const task = std::get_if<forward_task>(&sent.m_message))
            {
                attempts.push_back(task->m_start.m_attempt);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), attempts.size());
        return attempts[0];
    }

    void assert_refused_as_not_run(caller_id caller)
    {
        auto const answer = answer_to(caller);
        CPPUNIT_ASSERT(answer && answer->m_error);
        CPPUNIT_ASSERT(answer->m_ran == run_state::no);
        CPPUNIT_ASSERT(answer->m_retry_after > 0ms);
        CPPUNIT_ASSERT(take_calls<lease::start_call>().empty());
    }

    // Guards against a task that is started after its instance has failed, because its
    // message was read late.
    void task_of_failed_peer_is_refused_as_not_run()
    {
        start_with_peer();
        advance_time(1100ms);
        CPPUNIT_ASSERT(membership::find_live(m_state.m_membership, {"peer"}) == nullptr);
        take_actions<send_peer>();
        receive_forwarded_task(1, "k");
        advance_time(20ms);
        CPPUNIT_ASSERT(take_calls<lease::start_call>().empty());
        CPPUNIT_ASSERT(reported_outcomes() ==
                       std::vector{dispatch::attempt_outcome::not_run});
    }

    // Guards against a task that continues when its instance fails, because the instance
    // was not known.
    void task_of_peer_never_heard_is_refused_as_not_run()
    {
        start_without_peers();
        list_peer(true);
        receive_forwarded_task(1, "k");
        advance_time(20ms);
        CPPUNIT_ASSERT(take_calls<lease::start_call>().empty());
        CPPUNIT_ASSERT(reported_outcomes() ==
                       std::vector{dispatch::attempt_outcome::not_run});
    }

    // Guards against a run at a peer that still hears this instance, which no longer
    // hears the peer and therefore answers the caller.
    void forwarded_task_is_cancelled_at_peer_that_is_given_up()
    {
        start_with_peer();
        offer_peer_slots();
        caller_id const caller = submit("/q/1");
        take_forwarded_attempt();
        advance_time(1100ms);
        CPPUNIT_ASSERT(answer_to(caller)->m_error == job_errc::outcome_unknown);
        bool cancelled = false;
        for (send_peer const & sent : take_actions<send_peer>())
        {
            cancelled |= std::holds_alternative<cancel_task>(sent.m_message);
        }
        CPPUNIT_ASSERT(cancelled);
    }

    // Guards against a run for a caller that left while this instance was suspended, and
    // that has submitted its job elsewhere.
    void job_after_suspension_is_not_started_before_disconnects_are_seen()
    {
        start_without_peers();
        m_now += 700ms;
        caller_id const caller = submit("/q/1");
        advance_time(20ms);
        handle(caller_disconnected{caller});
        advance_time(200ms);
        CPPUNIT_ASSERT(take_calls<lease::start_call>().empty());
    }

    void job_after_suspension_is_started_after_catch_up()
    {
        start_without_peers();
        m_now += 700ms;
        submit("/q/1");
        advance_time(120ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_calls<lease::start_call>().size());
    }

    void job_whose_time_limit_ended_in_suspension_is_not_started()
    {
        start_without_peers();
        for (std::string const & upstream : held_upstreams())
        {
            dispatch::set_upstream_available(m_state.m_dispatch, upstream, false);
        }
        caller_id const caller = submit("/q/1");
        for (std::string const & upstream : held_upstreams())
        {
            dispatch::set_upstream_available(m_state.m_dispatch, upstream, true);
        }
        m_now += 1600ms;
        handle(tick{});
        CPPUNIT_ASSERT(answer_to(caller)->m_error == job_errc::deadline_exceeded);
        advance_time(200ms);
        CPPUNIT_ASSERT(take_calls<lease::start_call>().empty());
    }

    void job_submitted_again_while_its_run_is_stopped_is_refused_as_not_run()
    {
        start_without_peers();
        caller_id const first = submit("/q/1");
        reply(take_calls<lease::start_call>().at(0));
        handle(caller_disconnected{first});
        assert_refused_as_not_run(submit("/q/1"));
        submit("/q/2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_calls<lease::start_call>().size());
    }

    void job_submitted_again_after_end_of_its_run_is_started()
    {
        start_without_peers();
        caller_id const first = submit("/q/1");
        auto const start = take_calls<lease::start_call>().at(0);
        reply(start);
        handle(caller_disconnected{first});
        lease::run_name const run = std::get<lease::start_call>(start.m_body).m_run;
        for (lease::upstream_call const & renewal : m_open_renewals)
        {
            if (renewal.m_upstream == start.m_upstream)
            {
                reply(renewal, {{1, run, lease::end_cause::stopped}});
            }
        }
        submit("/q/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_calls<lease::start_call>().size());
    }

    void job_submitted_again_while_peer_stops_its_run_is_refused_as_not_run()
    {
        start_with_peer();
        offer_peer_slots();
        caller_id const first = submit("/q/1");
        attempt_id const attempt = take_forwarded_attempt();
        handle(caller_disconnected{first});
        take_actions<send_peer>();
        assert_refused_as_not_run(submit("/q/1"));
        task_reported ended;
        ended.m_result = {attempt, dispatch::attempt_outcome::interrupted, {}, false};
        handle(peer_message_received{{"peer"}, std::move(ended)});
        submit("/q/1");
        take_forwarded_attempt();
    }

    void job_that_runs_here_for_peer_is_refused_as_not_run()
    {
        start_with_peer();
        receive_forwarded_task(1, "1");
        reply(take_calls<lease::start_call>().at(0));
        assert_refused_as_not_run(submit("/q/1"));
    }

    void run_of_disconnected_caller_with_lost_stops_ends_before_resubmission()
    {
        start_with_peer();
        caller_id const caller = submit("/q/1");
        advance_with_lost_stops(300ms);
        handle(caller_disconnected{caller});
        time_point const left = m_now;
        advance_with_lost_stops(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_listed_runs.size());
        CPPUNIT_ASSERT(m_lease_end < left + resubmission_delay);
    }
};

// Guards against a double run that cannot be traced: which instance started a task again,
// whose caller has left, and how long a failed peer was silent.
class leasing_log_test : public leasing_fixture
{
    CPPUNIT_TEST_SUITE(leasing_log_test);
    CPPUNIT_TEST(first_start_of_task_is_not_logged);
    CPPUNIT_TEST(repeated_start_of_task_is_logged_with_its_upstream);
    CPPUNIT_TEST(caller_that_left_is_logged_with_its_starts);
    CPPUNIT_TEST(failed_peer_is_logged_with_its_silence_and_work);
    CPPUNIT_TEST(registration_with_other_start_time_or_address_is_logged_with_both);
    CPPUNIT_TEST(registration_with_other_service_is_logged_with_both);
    CPPUNIT_TEST(unchanged_registration_is_logged_once);
    CPPUNIT_TEST_SUITE_END();

    std::vector<log_event> take_events(std::string_view code)
    {
        std::vector<log_event> events = take_actions<log_event>();
        std::erase_if(events,
                      [code](log_event const & item) { return item.m_code != code; });
        return events;
    }

    static bool mentions(log_event const & logged, std::string_view text)
    {
        return logged.m_detail.find(text) != std::string::npos;
    }

public:
    void first_start_of_task_is_not_logged()
    {
        start_without_peers();
        submit("/q/1");
        CPPUNIT_ASSERT(take_events("run_repeated").empty());
    }

    void repeated_start_of_task_is_logged_with_its_upstream()
    {
        start_without_peers();
        submit("/q/1");
        auto const first = take_calls<lease::start_call>();
        lease::upstream_reply refused;
        refused.m_number = first[0].m_number;
        refused.m_upstream = first[0].m_upstream;
        refused.m_outcome = lease::call_outcome::unhealthy;
        handle(upstream_replied{std::move(refused)});
        auto const second = take_calls<lease::start_call>();
        auto const logged = take_events("run_repeated");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), logged[0].m_subject);
        CPPUNIT_ASSERT(mentions(logged[0], "upstream=" + second.at(0).m_upstream));
        CPPUNIT_ASSERT(mentions(logged[0], "earlier=1"));
    }

    void caller_that_left_is_logged_with_its_starts()
    {
        start_without_peers();
        caller_id const caller = submit("/q/1");
        handle(caller_disconnected{caller});
        auto const logged = take_events("caller_left");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged.size());
        CPPUNIT_ASSERT(mentions(logged[0], "starts=1"));
    }

    void failed_peer_is_logged_with_its_silence_and_work()
    {
        start_without_peers();
        receive_peer_heartbeat({});
        advance_time(1100ms);
        auto const logged = take_events("peer_failed");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged.size());
        CPPUNIT_ASSERT(mentions(logged[0], "silent_ms=10"));
        CPPUNIT_ASSERT(mentions(logged[0], "running_here=0"));
    }

    // Guards against a restart under the same name that leaves no trace.
    void registration_with_other_start_time_or_address_is_logged_with_both()
    {
        start_without_peers();
        take_actions<log_event>();
        discover_other("up-1", "pool", 8);
        auto const logged = take_events("upstream_registered");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged.size());
        CPPUNIT_ASSERT_EQUAL(std::string("up-1"), logged[0].m_subject);
        CPPUNIT_ASSERT_EQUAL(std::string("address=up-1:2 service=pool incarnation=8 "
                                         "previous_address=up-1:1 previous_service=pool "
                                         "previous_incarnation=0"),
                             logged[0].m_detail);
    }

    // Guards against a change of service that leaves no trace: starts for the former one
    // could not be told from late ones.
    void registration_with_other_service_is_logged_with_both()
    {
        start_without_peers();
        discover_other("up-1", "pool", 8);
        take_actions<log_event>();
        discover_other("up-1", "archive", 8);
        auto const logged = take_events("upstream_registered");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged.size());
        CPPUNIT_ASSERT(mentions(logged[0], "service=archive"));
        CPPUNIT_ASSERT(mentions(logged[0], "previous_service=pool"));
    }

    // Guards against a log that each reading of the list fills.
    void unchanged_registration_is_logged_once()
    {
        start_without_peers();
        discover({"up-1", "up-2"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), take_events("upstream_registered").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leasing_job_test);
CPPUNIT_TEST_SUITE_REGISTRATION(leasing_owner_test);
CPPUNIT_TEST_SUITE_REGISTRATION(leasing_resubmission_test);
CPPUNIT_TEST_SUITE_REGISTRATION(leasing_log_test);

} // namespace
