/// \file Tasks that crash upstreams, over submissions and instances. One instance leases
/// upstreams; the test simulates its peer, its upstreams and their registrations.

#include "decision_actions.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/decision.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
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

class decision_crash_fixture : public CppUnit::TestFixture
{
protected:
    entry_state m_state;
    random_source m_random{1};
    time_point m_now{5000s};
    std::vector<action> m_actions;
    caller_id m_next_caller = 1;
    std::map<std::string, std::uint64_t> m_registered; ///< start times by name
    std::uint64_t m_peer_incarnation = 9;
    std::size_t m_starts = 0; ///< starts of all tasks

    void handle(event occurred)
    {
        step(m_state, std::move(occurred), m_now, m_random, m_actions);
        CPPUNIT_ASSERT(check_invariants(m_state).empty());
    }

    /// Advances the clock in steps of 20 ms, with heartbeats of the peer, and accepts
    /// claims and renewals.
    void advance_time(duration time)
    {
        for (duration step{0}; step < time; step += 20ms)
        {
            m_now += 20ms;
            receive_peer_heartbeat();
            for (lease::upstream_call const & call : take_calls<lease::renew_call>())
            {
                reply(call, lease::call_outcome::accepted);
            }
        }
    }

    template <typename Action>
    std::vector<Action> take_actions()
    {
        return decision::take_actions<Action>(m_actions);
    }

    template <typename Call>
    std::vector<lease::upstream_call> take_calls()
    {
        return decision::take_calls<Call>(m_actions);
    }

    void reply(lease::upstream_call const & call, lease::call_outcome outcome)
    {
        lease::upstream_reply result;
        result.m_number = call.m_number;
        result.m_upstream = call.m_upstream;
        result.m_outcome = outcome;
        result.m_clock = to_milliseconds(m_now - time_point(4000s));
        auto const registered = m_registered.find(call.m_upstream);
        result.m_incarnation = registered == m_registered.end() ? 0 : registered->second;
        handle(upstream_replied{std::move(result)});
    }

    void configure()
    {
        auto result = make_leased_configuration();
        result->m_dispatch.m_max_attempts = 10;
        handle(configuration_changed{std::move(result), "document"});
    }

    /// Delivers the registrations of m_registered.
    void discover()
    {
        upstreams_discovered discovered;
        for (auto const & [name, incarnation] : m_registered)
        {
            discovered_upstream upstream;
            upstream.m_definition.m_name = name;
            upstream.m_definition.m_address = name + ":1";
            upstream.m_definition.m_domain = "north";
            upstream.m_definition.m_service = "pool";
            upstream.m_definition.m_slots = 2;
            upstream.m_definition.m_capacity = {2000, 4096, 0};
            upstream.m_incarnation = incarnation;
            discovered.m_upstreams.push_back(std::move(upstream));
        }
        handle(std::move(discovered));
    }

    void receive_peer_heartbeat()
    {
        heartbeat message;
        message.m_incarnation = m_peer_incarnation;
        message.m_domain = "north";
        message.m_peer_address = "peer:1";
        message.m_sent_at = m_now;
        message.m_leaving = true; // all upstreams are assigned to this instance
        handle(peer_message_received{{"peer"}, std::move(message)});
    }

    void submit(std::string const & path)
    {
        routed_request request;
        request.m_caller = m_next_caller++;
        request.m_host = "host";
        request.m_path = path;
        request.m_spec.m_time_limit = 5s;
        request.m_spec.m_tasks.push_back({"payload", {1000, 64, 0}, 50ms});
        handle(request);
    }

    void receive_forwarded_task(std::uint64_t serial, std::string key)
    {
        forward_task forwarded;
        forwarded.m_start.m_attempt = {m_peer_incarnation, serial};
        forwarded.m_start.m_job = {"pool", "north", std::move(key)};
        forwarded.m_start.m_kind = "check";
        forwarded.m_start.m_generation = 5;
        forwarded.m_start.m_demand = {1000, 64, 0};
        forwarded.m_start.m_deadline = m_now + 60s;
        forwarded.m_start.m_send_before = m_now + 1s;
        handle(peer_message_received{{"peer"}, std::move(forwarded)});
    }

    /// \returns the start calls that are sent within \p time.
    std::vector<lease::upstream_call> await_starts(duration time = 1s)
    {
        std::vector<lease::upstream_call> starts = take_calls<lease::start_call>();
        for (duration step{0}; step < time && starts.empty(); step += 20ms)
        {
            advance_time(20ms);
            starts = take_calls<lease::start_call>();
        }
        m_starts += starts.size();
        return starts;
    }

    lease::upstream_call await_start()
    {
        auto const starts = await_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
        return starts.front();
    }

    static std::string job_of(lease::upstream_call const & start)
    {
        return std::get<lease::start_call>(start.m_body).m_run.m_task.m_job;
    }

    /// Ends the attempt of a start call; the session forgets its run.
    void finish(lease::upstream_call const & start, dispatch::attempt_result result)
    {
        auto const & attempts = m_state.m_dispatch.m_attempts;
        auto const found =
            std::find_if(attempts.begin(), attempts.end(),
                         [&start](auto const & item)
                         { return item.second.m_task.m_job == job_of(start); });
        CPPUNIT_ASSERT(found != attempts.end());
        result.m_attempt = found->first;
        handle(attempt_finished{std::move(result)});
        reply(start, lease::call_outcome::no_capacity);
    }

    void lose(lease::upstream_call const & start)
    {
        dispatch::attempt_result result;
        result.m_outcome = dispatch::attempt_outcome::interrupted;
        result.m_upstream_lost = true;
        result.m_upstream_incarnation = m_registered.at(start.m_upstream);
        finish(start, std::move(result));
    }

    /// Replaces an upstream by its next incarnation.
    void restart(std::string const & upstream)
    {
        ++m_registered.at(upstream);
        discover();
    }

    void crash(lease::upstream_call const & start)
    {
        lose(start);
        restart(start.m_upstream);
    }

    void learn_crash(std::string upstream, std::string job)
    {
        dispatch::upstream_loss loss{{std::move(upstream), 1},
                                     dispatch::upstream_fate::crashed,
                                     {{"pool", std::move(job), 0}},
                                     {}};
        handle(peer_message_received{{"peer"}, loss_notice{std::move(loss)}});
    }

    /// \returns the answer that was given last.
    job_answer take_last_answer()
    {
        auto const answers = take_actions<answer_caller>();
        CPPUNIT_ASSERT(!answers.empty());
        return answers.back().m_answer;
    }

    /// \returns the messages to the peer of one type.
    template <typename Message>
    std::vector<Message> take_messages()
    {
        std::vector<Message> messages;
        for (send_peer & sent : take_actions<send_peer>())
        {
            if (auto * const message = std::get_if<Message>(&sent.m_message))
            {
                messages.push_back(std::move(*message));
            }
        }
        return messages;
    }

    std::vector<log_event> take_events(std::string_view code)
    {
        std::vector<log_event> events = take_actions<log_event>();
        std::erase_if(events,
                      [code](log_event const & event) { return event.m_code != code; });
        return events;
    }

    void start_instance()
    {
        m_state = make_entry_state({{"self"}, "north", "self:1", 77, true});
        handle(instances_listed{});
        handle(fleet_clock_read{1'000'000});
        configure();
        discover();
        advance_time(1500ms);
        m_actions.clear();
    }

public:
    void setUp() override
    {
        m_registered = {{"up-1", 100}, {"up-2", 100}, {"up-3", 100}, {"up-4", 100}};
        start_instance();
    }
};

// Guards against a task that crashes further upstreams through each submission of its job
// and through each instance (BUDGET): after three crashes at most two more starts.
class crashing_task_test : public decision_crash_fixture
{
    CPPUNIT_TEST_SUITE(crashing_task_test);
    CPPUNIT_TEST(
        resubmitted_job_whose_task_crashed_two_upstreams_is_failed_without_start);
    CPPUNIT_TEST(job_whose_task_crashed_upstreams_at_another_instance_is_failed);
    CPPUNIT_TEST(forwarded_task_that_crashed_two_upstreams_is_returned_without_start);
    CPPUNIT_TEST(restarted_instance_learns_losses_from_peer);
    CPPUNIT_TEST(neighbour_of_crashing_task_completes);
    CPPUNIT_TEST(upstream_whose_registration_is_gone_counts_as_crashed);
    CPPUNIT_TEST(upstream_that_answers_after_its_registration_was_gone_has_survived);
    CPPUNIT_TEST(upstream_that_another_instance_lost_has_survived_when_it_is_claimed);
    CPPUNIT_TEST(losses_are_sent_again_after_the_connection_was_lost);
    CPPUNIT_TEST_SUITE_END();

    /// Submits \p path and lets every upstream crash that starts it, up to three.
    void crash_three_upstreams(std::string const & path)
    {
        submit(path);
        std::vector<lease::upstream_call> starts = await_starts();
        for (int crashes = 0; crashes < 3 && !starts.empty(); ++crashes)
        {
            crash(starts.front());
            starts = await_starts();
        }
        CPPUNIT_ASSERT(starts.empty());
    }

    /// Removes the registration of an upstream for good.
    void unregister(std::string const & upstream)
    {
        m_registered.erase(upstream);
        discover();
        advance_time(4s);
    }

    void expect_survived(std::string const & upstream)
    {
        CPPUNIT_ASSERT(m_state.m_dispatch.m_crashes.m_tasks.empty());
        auto const notices = take_messages<loss_notice>();
        CPPUNIT_ASSERT(!notices.empty());
        dispatch::upstream_loss const & last = notices.back().m_loss;
        CPPUNIT_ASSERT(last.m_fate == dispatch::upstream_fate::survived);
        CPPUNIT_ASSERT_EQUAL(upstream, last.m_upstream.m_name);
    }

public:
    // Guards against giving up a sound task whose upstreams were cut off for longer than
    // their registrations last.
    void upstream_that_answers_after_its_registration_was_gone_has_survived()
    {
        submit("/q/sound");
        lease::upstream_call const first = await_start();
        lose(first);
        finish(await_start(), {{}, dispatch::attempt_outcome::succeeded, {}, false});
        unregister(first.m_upstream);
        CPPUNIT_ASSERT(!m_state.m_dispatch.m_crashes.m_tasks.empty());
        m_registered[first.m_upstream] = 100;
        discover();
        advance_time(1500ms);
        expect_survived(first.m_upstream);
    }

    // Guards against a fate that stays unknown when another instance takes over.
    void upstream_that_another_instance_lost_has_survived_when_it_is_claimed()
    {
        unregister("up-1");
        dispatch::upstream_loss const loss{
            {"up-1", 100}, dispatch::upstream_fate::unknown, {{"pool", "theirs", 0}}, {}};
        handle(peer_message_received{{"peer"}, loss_notice{loss}});
        m_registered["up-1"] = 100;
        discover();
        advance_time(1500ms);
        expect_survived("up-1");
    }

    void resubmitted_job_whose_task_crashed_two_upstreams_is_failed_without_start()
    {
        crash_three_upstreams("/q/deadly");
        CPPUNIT_ASSERT(take_last_answer().m_error == job_errc::crashes_upstreams);
        std::size_t const before = m_starts;
        CPPUNIT_ASSERT(before <= 3);
        CPPUNIT_ASSERT_EQUAL(before, take_events("upstream_lost_under_task").size());
        for (int submission = 0; submission < 3; ++submission)
        {
            submit("/q/deadly");
            CPPUNIT_ASSERT(await_starts().empty());
            job_answer const answer = take_last_answer();
            CPPUNIT_ASSERT(answer.m_error == job_errc::crashes_upstreams);
            CPPUNIT_ASSERT(answer.m_ran == run_state::yes);
        }
        auto const convicted = take_events("task_convicted");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), convicted.size());
        CPPUNIT_ASSERT(convicted.front().m_detail.find("/100:crashed,up-") !=
                       std::string::npos);
    }

    void job_whose_task_crashed_upstreams_at_another_instance_is_failed()
    {
        learn_crash("far-1", "deadly");
        learn_crash("far-2", "deadly");
        submit("/q/deadly");
        CPPUNIT_ASSERT(await_starts().empty());
        CPPUNIT_ASSERT(take_last_answer().m_error == job_errc::crashes_upstreams);
    }

    void forwarded_task_that_crashed_two_upstreams_is_returned_without_start()
    {
        for (std::uint64_t serial = 1; serial <= 2; ++serial)
        {
            receive_forwarded_task(serial, "theirs");
            lease::upstream_call const start = await_start();
            m_actions.clear();
            lose(start);
            std::vector<std::size_t> order;
            for (send_peer const & sent : take_actions<send_peer>())
            {
                order.push_back(sent.m_message.index());
            }
            auto const loss = std::find(order.begin(), order.end(),
                                        peer_message(loss_notice{}).index());
            auto const result = std::find(order.begin(), order.end(),
                                          peer_message(task_reported{}).index());
            CPPUNIT_ASSERT(result != order.end());
            CPPUNIT_ASSERT(loss < result);
            restart(start.m_upstream);
        }
        receive_forwarded_task(3, "theirs");
        CPPUNIT_ASSERT(await_starts().empty());
        auto const reports = take_messages<task_reported>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
        CPPUNIT_ASSERT(reports.front().m_result.m_outcome ==
                       dispatch::attempt_outcome::not_run);
    }

    void restarted_instance_learns_losses_from_peer()
    {
        crash_three_upstreams("/q/deadly");
        m_actions.clear();
        ++m_peer_incarnation;
        receive_peer_heartbeat();
        auto const notices = take_messages<loss_notice>();
        CPPUNIT_ASSERT(!notices.empty());
        start_instance(); // in the part of the peer
        for (loss_notice const & notice : notices)
        {
            handle(peer_message_received{{"peer"}, notice});
        }
        submit("/q/deadly");
        CPPUNIT_ASSERT(await_starts().empty());
        CPPUNIT_ASSERT(take_last_answer().m_error == job_errc::crashes_upstreams);
    }

    void neighbour_of_crashing_task_completes()
    {
        m_registered = {{"up-1", 100}, {"up-2", 100}};
        start_instance();
        // Two tasks fill each upstream, so the deadly one has a neighbour.
        for (char const * path : {"/q/deadly", "/q/sound-1", "/q/sound-2", "/q/sound-3"})
        {
            submit(path);
        }
        std::size_t completed = 0;
        for (int round = 0; round < 20 && completed < 3; ++round)
        {
            auto const starts = await_starts();
            auto const deadly = std::find_if(starts.begin(), starts.end(),
                                             [](auto const & start)
                                             { return job_of(start) == "deadly"; });
            std::string const crashed =
                deadly == starts.end() ? std::string() : deadly->m_upstream;
            for (lease::upstream_call const & start : starts)
            {
                if (start.m_upstream == crashed)
                {
                    lose(start);
                }
                else
                {
                    finish(start, {{}, dispatch::attempt_outcome::succeeded, {}, false});
                    ++completed;
                }
            }
            if (!crashed.empty())
            {
                restart(crashed);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), completed);
        for (answer_caller const & answer : take_actions<answer_caller>())
        {
            CPPUNIT_ASSERT(!answer.m_answer.m_error || answer.m_caller == 1);
        }
    }

    // Guards against a crash that stays of unknown fate because the upstream does not
    // come back.
    void upstream_whose_registration_is_gone_counts_as_crashed()
    {
        submit("/q/deadly");
        lease::upstream_call const start = await_start();
        lose(start);
        m_registered.erase(start.m_upstream);
        discover();
        advance_time(4s);
        dispatch::crash_history const & history = m_state.m_dispatch.m_crashes;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1),
            dispatch::count_losses(history, {"pool", "deadly", 0}).m_crashes);
    }

    void losses_are_sent_again_after_the_connection_was_lost()
    {
        submit("/q/deadly");
        lose(await_start());
        m_actions.clear();
        handle(peer_disconnected{{"peer"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_messages<loss_notice>().size());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_task_test);
