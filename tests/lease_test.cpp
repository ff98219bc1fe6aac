/// \file Sessions with upstreams in virtual time: claims, starts, stops, lapses.

#include "lease_fixture.hpp"

namespace cassiahub::lease
{

namespace
{

// Guards against two instances that use one upstream, and against runs of an earlier
// owner that go on under a lease which the new owner renews.
class lease_claim_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_claim_test);
    CPPUNIT_TEST(claim_of_empty_upstream_serves);
    CPPUNIT_TEST(claim_does_not_extend_lease);
    CPPUNIT_TEST(claim_with_foreign_run_stops_it_before_serving);
    CPPUNIT_TEST(start_before_claim_is_not_run);
    CPPUNIT_TEST(fenced_renewal_reports_runs_as_unknown);
    CPPUNIT_TEST(fenced_upstream_is_claimed_again_with_higher_token);
    CPPUNIT_TEST(disowned_upstream_with_run_is_released_after_its_end);
    CPPUNIT_TEST(disowned_idle_upstream_is_released_at_once);
    CPPUNIT_TEST(restarted_upstream_ends_its_runs);
    CPPUNIT_TEST(start_accepted_by_restarted_upstream_is_unknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void claim_of_empty_upstream_serves()
    {
        serve();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams(m_state).size());
    }

    void claim_does_not_extend_lease()
    {
        own();
        auto const call = take<renew_call>();
        CPPUNIT_ASSERT(!std::get<renew_call>(call.m_body).m_lease_until);
        CPPUNIT_ASSERT_EQUAL(first_token, call.m_token);
    }

    void claim_with_foreign_run_stops_it_before_serving()
    {
        own();
        answer_lists(take<renew_call>(), {{name(3), 10}});
        CPPUNIT_ASSERT(!is_available());
        CPPUNIT_ASSERT(std::get<stop_call>(take<stop_call>().m_body).m_run == name(3));
        pass(100ms);
        auto const look = take<renew_call>();
        CPPUNIT_ASSERT(!std::get<renew_call>(look.m_body).m_lease_until);
        answer_lists(look, {});
        CPPUNIT_ASSERT(is_available());
    }

    void start_before_claim_is_not_run()
    {
        own();
        attempt_id const attempt = order(0);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<start_call>());
    }

    void fenced_renewal_reports_runs_as_unknown()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>());
        answer(take<renew_call>(), call_outcome::fenced);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::unknown);
        CPPUNIT_ASSERT(!is_available());
    }

    void fenced_upstream_is_claimed_again_with_higher_token()
    {
        serve();
        answer(take<renew_call>(), call_outcome::fenced);
        pass(500ms);
        CPPUNIT_ASSERT(take<renew_call>().m_token > first_token);
    }

    void disowned_upstream_with_run_is_released_after_its_end()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>());
        disown();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams(m_state).size());
        CPPUNIT_ASSERT(outcome_of(order(1)) == dispatch::attempt_outcome::not_run);
        answer_lists(take<renew_call>(), {}, {{1, name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::succeeded);
        CPPUNIT_ASSERT(held_upstreams(m_state).empty());
    }

    void disowned_idle_upstream_is_released_at_once()
    {
        serve();
        disown();
        CPPUNIT_ASSERT(held_upstreams(m_state).empty());
    }

    void restarted_upstream_ends_its_runs()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>());
        upstream_reply reply = make_reply(take<renew_call>(), call_outcome::accepted);
        reply.m_incarnation = 2;
        reply.m_clock = 5;
        receive(m_state, reply, m_now, m_out);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    // The run was reported as ended and started elsewhere while it ran on the upstream
    // that had come back (tausi-returns-grown, trouble-2).
    void start_accepted_by_restarted_upstream_is_unknown()
    {
        serve();
        attempt_id const running = order(0);
        answer(take<start_call>());
        attempt_id const started = order(1);
        attempt_id const open = order(2);
        upstream_reply reply = make_reply(take<start_call>(), call_outcome::accepted);
        reply.m_incarnation = 2;
        reply.m_clock = 5;
        receive(m_state, reply, m_now, m_out);
        CPPUNIT_ASSERT(outcome_of(running) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(outcome_of(started) == dispatch::attempt_outcome::unknown);
        CPPUNIT_ASSERT(outcome_of(open) == dispatch::attempt_outcome::unknown);
    }
};

// Guards against a task that runs twice because an order without a reply was given up,
// and against runs that nobody waits for.
class lease_run_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_run_test);
    CPPUNIT_TEST(start_extends_lease);
    CPPUNIT_TEST(ended_run_is_reported_and_acknowledged);
    CPPUNIT_TEST(failed_run_is_reported_as_failed);
    CPPUNIT_TEST(start_refused_for_room_is_not_run);
    CPPUNIT_TEST(start_to_closed_port_is_not_run_and_ends_nothing_else);
    CPPUNIT_TEST(start_without_reply_is_settled_only_after_stop_and_look);
    CPPUNIT_TEST(start_without_reply_that_is_listed_goes_on);
    CPPUNIT_TEST(start_without_reply_that_succeeded_is_reported_as_succeeded);
    CPPUNIT_TEST(look_sent_before_stop_settles_nothing);
    CPPUNIT_TEST(stop_without_effect_is_repeated);
    CPPUNIT_TEST(silent_upstream_gets_no_start);
    CPPUNIT_TEST(run_on_silent_upstream_is_reported_after_its_lease);
    CPPUNIT_TEST(run_without_progress_is_stopped);
    CPPUNIT_TEST(run_with_progress_is_not_stopped);
    CPPUNIT_TEST(unknown_run_is_stopped);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_extends_lease()
    {
        serve();
        order(0);
        auto const call = take<start_call>();
        CPPUNIT_ASSERT_EQUAL(clock_at_start + 1000,
                             std::get<start_call>(call.m_body).m_lease_until);
    }

    void ended_run_is_reported_and_acknowledged()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>());
        answer_lists(take<renew_call>(), {}, {{4, name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::succeeded);
        auto const next = take<renew_call>();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4),
                             std::get<renew_call>(next.m_body).m_acknowledged);
    }

    void failed_run_is_reported_as_failed()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>());
        answer_lists(take<renew_call>(), {}, {{1, name(0), end_cause::failed}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::failed);
    }

    void start_refused_for_room_is_not_run()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>(), call_outcome::no_room);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
    }

    // A cut link may reset connections while the upstream runs on.
    void start_to_closed_port_is_not_run_and_ends_nothing_else()
    {
        serve();
        attempt_id const running = order(0);
        answer(take<start_call>());
        attempt_id const refused = order(1);
        answer(take<start_call>(), call_outcome::unreachable);
        CPPUNIT_ASSERT(outcome_of(refused) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT(!outcome_of(running));
    }

    void start_without_reply_is_settled_only_after_stop_and_look()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>(), call_outcome::lost);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        m_now += 1ms;
        answer(take<stop_call>());
        CPPUNIT_ASSERT(!outcome_of(attempt));
        take<renew_call>(); // sent before the stop
        answer_lists(take<renew_call>(), {});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
    }

    void start_without_reply_that_is_listed_goes_on()
    {
        serve();
        attempt_id const attempt = order(0);
        auto const call = take<start_call>();
        answer_lists(take<renew_call>(), {{name(0), 5}});
        answer(call, call_outcome::lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<stop_call>());
        CPPUNIT_ASSERT(!outcome_of(attempt));
    }

    void start_without_reply_that_succeeded_is_reported_as_succeeded()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>(), call_outcome::lost);
        answer_lists(take<renew_call>(), {}, {{1, name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::succeeded);
    }

    void look_sent_before_stop_settles_nothing()
    {
        serve();
        auto const early = take<renew_call>();
        attempt_id const attempt = order(0);
        m_now += 5ms;
        answer(take<start_call>(), call_outcome::lost);
        answer(take<stop_call>());
        answer_lists(early, {});
        CPPUNIT_ASSERT(!outcome_of(attempt));
    }

    void stop_without_effect_is_repeated()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>());
        stop(m_state, attempt, m_now, m_out);
        answer(take<stop_call>(), call_outcome::lost);
        pass(150ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count<stop_call>());
    }

    void silent_upstream_gets_no_start()
    {
        serve();
        answer(take<renew_call>(), call_outcome::lost);
        CPPUNIT_ASSERT(!is_available());
        CPPUNIT_ASSERT(outcome_of(order(0)) == dispatch::attempt_outcome::not_run);
    }

    void run_on_silent_upstream_is_reported_after_its_lease()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>());
        answer(take<renew_call>(), call_outcome::lost);
        pass(900ms);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        pass(3s); // renewals that get no reply may have extended the lease
        while (count<renew_call>() > 0)
        {
            answer(take<renew_call>(), call_outcome::lost);
        }
        pass(200ms);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    void run_without_progress_is_stopped()
    {
        serve();
        order(0);
        answer(take<start_call>());
        for (int look = 0; look < 4; ++look)
        {
            m_now += 200ms;
            answer_lists(take<renew_call>(), {{name(0), 5}});
        }
        CPPUNIT_ASSERT(count<stop_call>() > 0);
    }

    void run_with_progress_is_not_stopped()
    {
        serve();
        order(0);
        answer(take<start_call>());
        for (std::uint32_t look = 0; look < 4; ++look)
        {
            m_now += 200ms;
            answer_lists(take<renew_call>(), {{name(0), look}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<stop_call>());
    }

    void unknown_run_is_stopped()
    {
        serve();
        answer_lists(take<renew_call>(), {{name(9), 5}});
        CPPUNIT_ASSERT(std::get<stop_call>(take<stop_call>().m_body).m_run == name(9));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_claim_test);
CPPUNIT_TEST_SUITE_REGISTRATION(lease_run_test);

} // namespace

} // namespace cassiahub::lease
