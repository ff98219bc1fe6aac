/// \file Sessions with upstreams in virtual time: claims, starts, stops, lease expiry.

#include "lease_fixture.hpp"

namespace cassiahub::lease
{

namespace
{

// Guards against two instances that use one upstream, and against runs of an earlier
// owner that continue because the new owner renews the lease.
class lease_claim_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_claim_test);
    CPPUNIT_TEST(claim_of_idle_upstream_makes_it_available);
    CPPUNIT_TEST(claim_does_not_extend_lease);
    CPPUNIT_TEST(claim_with_run_of_earlier_owner_stops_it_before_starts);
    CPPUNIT_TEST(start_before_claim_is_not_run);
    CPPUNIT_TEST(start_call_has_a_limit_on_its_sending);
    CPPUNIT_TEST(fenced_renewal_reports_runs_as_unknown);
    CPPUNIT_TEST(fenced_start_is_not_run);
    CPPUNIT_TEST(start_refused_by_other_upstream_is_not_run);
    CPPUNIT_TEST(fenced_upstream_is_claimed_again_with_higher_token);
    CPPUNIT_TEST(unassigned_upstream_with_run_is_released_after_its_end);
    CPPUNIT_TEST(unassigned_idle_upstream_is_released_at_once);
    CPPUNIT_TEST(restarted_upstream_ends_its_runs);
    CPPUNIT_TEST(start_accepted_by_restarted_upstream_is_reported_after_claim);
    CPPUNIT_TEST_SUITE_END();

public:
    void claim_of_idle_upstream_makes_it_available()
    {
        claim_upstream();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams(m_state).size());
    }

    void claim_does_not_extend_lease()
    {
        assign_upstream();
        auto const call = take_call<renew_call>();
        CPPUNIT_ASSERT(!std::get<renew_call>(call.m_body).m_lease_until);
        CPPUNIT_ASSERT_EQUAL(first_token, call.m_token);
    }

    void claim_with_run_of_earlier_owner_stops_it_before_starts()
    {
        assign_upstream();
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(3), 10}});
        CPPUNIT_ASSERT(!is_available());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_events("foreign_run_stopped"));
        CPPUNIT_ASSERT(std::get<stop_call>(take_call<stop_call>().m_body).m_run ==
                       make_run_name(3));
        advance_by(100ms);
        auto const renewal = take_call<renew_call>();
        CPPUNIT_ASSERT(!std::get<renew_call>(renewal.m_body).m_lease_until);
        reply_to_renewal(renewal, {});
        CPPUNIT_ASSERT(is_available());
    }

    void start_before_claim_is_not_run()
    {
        assign_upstream();
        attempt_id const attempt = start_run(0);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<start_call>());
    }

    // Guards against a start that a suspended process sends long after it was decided.
    void start_call_has_a_limit_on_its_sending()
    {
        claim_upstream();
        start_run(0);
        auto const call = take_call<start_call>();
        CPPUNIT_ASSERT(call.m_send_before == m_now + call.m_timeout);
        CPPUNIT_ASSERT(call.m_timeout < 1s);
        CPPUNIT_ASSERT(take_call<renew_call>().m_send_before == time_point::max());
    }

    void fenced_renewal_reports_runs_as_unknown()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        reply(take_call<renew_call>(), call_outcome::fenced);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::unknown);
        CPPUNIT_ASSERT(!is_available());
    }

    // Guards against a job that fails as unknown although its start was refused.
    void fenced_start_is_not_run()
    {
        claim_upstream();
        attempt_id const open = start_run(0);
        attempt_id const refused = start_run(1);
        take_call<start_call>();
        reply(take_call<start_call>(), call_outcome::fenced);
        CPPUNIT_ASSERT(outcome_of(refused) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT(outcome_of(open) == dispatch::attempt_outcome::unknown);
        CPPUNIT_ASSERT(!is_available());
    }

    // Guards against a job that fails as unknown although its start was refused.
    void start_refused_by_other_upstream_is_not_run()
    {
        claim_upstream();
        attempt_id const open = start_run(0);
        attempt_id const refused = start_run(1);
        take_call<start_call>();
        reply(take_call<start_call>(), call_outcome::other_incarnation);
        CPPUNIT_ASSERT(outcome_of(refused) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT(outcome_of(open) == dispatch::attempt_outcome::unknown);
        CPPUNIT_ASSERT(!is_available());
    }

    void fenced_upstream_is_claimed_again_with_higher_token()
    {
        claim_upstream();
        reply(take_call<renew_call>(), call_outcome::fenced);
        advance_by(500ms);
        CPPUNIT_ASSERT(take_call<renew_call>().m_token > first_token);
    }

    void unassigned_upstream_with_run_is_released_after_its_end()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        unassign_upstream();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams(m_state).size());
        CPPUNIT_ASSERT(outcome_of(start_run(1)) == dispatch::attempt_outcome::not_run);
        reply_to_renewal(take_call<renew_call>(), {},
                         {{1, make_run_name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::succeeded);
        CPPUNIT_ASSERT(held_upstreams(m_state).empty());
    }

    void unassigned_idle_upstream_is_released_at_once()
    {
        claim_upstream();
        unassign_upstream();
        CPPUNIT_ASSERT(held_upstreams(m_state).empty());
    }

    void restarted_upstream_ends_its_runs()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        upstream_reply reply =
            make_reply(take_call<renew_call>(), call_outcome::accepted);
        reply.m_incarnation = 2;
        reply.m_clock = 5;
        receive(m_state, reply, m_now, m_out);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    // Guards against a task that runs twice: a start accepted by the restarted upstream
    // was reported as ended, and the task was started elsewhere while it ran there.
    void start_accepted_by_restarted_upstream_is_reported_after_claim()
    {
        claim_upstream();
        attempt_id const running = start_run(0);
        reply(take_call<start_call>());
        attempt_id const started = start_run(1);
        attempt_id const open = start_run(2);
        upstream_reply reply =
            make_reply(take_call<start_call>(), call_outcome::accepted);
        reply.m_incarnation = 2;
        reply.m_clock = 5;
        receive(m_state, reply, m_now, m_out);
        CPPUNIT_ASSERT(outcome_of(running) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(!outcome_of(started));
        CPPUNIT_ASSERT(!outcome_of(open));
        take_call<renew_call>(); // sent before the restart
        upstream_reply lists =
            make_reply(take_call<renew_call>(), call_outcome::accepted);
        lists.m_incarnation = 2;
        lists.m_clock = 6;
        lists.m_running = {{make_run_name(1), 5}};
        receive(m_state, lists, m_now, m_out);
        CPPUNIT_ASSERT(!outcome_of(started));
        CPPUNIT_ASSERT(outcome_of(open) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(!is_available());
        CPPUNIT_ASSERT(std::get<stop_call>(take_call<stop_call>().m_body).m_run ==
                       make_run_name(1));
        advance_by(30ms);
        lists.m_number = take_call<renew_call>().m_number;
        lists.m_clock = 40;
        lists.m_running = {};
        lists.m_ended = {{1, make_run_name(1), end_cause::stopped}};
        receive(m_state, lists, m_now, m_out);
        CPPUNIT_ASSERT(outcome_of(started) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(!is_available());
        assign_upstream(2);
        CPPUNIT_ASSERT(is_available());
    }
};

// Guards against a task that runs twice because a start without a reply was taken as not
// run, and against runs whose result no instance collects.
class lease_run_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_run_test);
    CPPUNIT_TEST(start_extends_lease);
    CPPUNIT_TEST(ended_run_is_reported_and_acknowledged);
    CPPUNIT_TEST(failed_run_is_reported_as_failed);
    CPPUNIT_TEST(start_beyond_capacity_is_not_run);
    CPPUNIT_TEST(start_to_closed_port_is_not_run_and_keeps_other_runs);
    CPPUNIT_TEST(start_without_reply_is_reported_only_after_stop_and_renewal);
    CPPUNIT_TEST(start_without_reply_that_is_listed_is_kept);
    CPPUNIT_TEST(start_without_reply_that_succeeded_is_reported_as_succeeded);
    CPPUNIT_TEST(renewal_sent_before_stop_reports_nothing);
    CPPUNIT_TEST(renewal_sent_before_reply_to_stop_reports_nothing);
    CPPUNIT_TEST(renewal_after_accepted_stop_reports_although_stop_was_repeated);
    CPPUNIT_TEST(stop_without_effect_is_repeated);
    CPPUNIT_TEST(silent_upstream_gets_no_start);
    CPPUNIT_TEST(run_on_silent_upstream_is_reported_after_lease_expiry);
    CPPUNIT_TEST(run_without_progress_is_stopped);
    CPPUNIT_TEST(run_with_progress_is_not_stopped);
    CPPUNIT_TEST(listed_run_not_started_here_is_stopped);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_extends_lease()
    {
        claim_upstream();
        start_run(0);
        auto const call = take_call<start_call>();
        CPPUNIT_ASSERT_EQUAL(clock_at_start + 1000,
                             std::get<start_call>(call.m_body).m_lease_until);
    }

    void ended_run_is_reported_and_acknowledged()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        reply_to_renewal(take_call<renew_call>(), {},
                         {{4, make_run_name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::succeeded);
        auto const next = take_call<renew_call>();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4),
                             std::get<renew_call>(next.m_body).m_acknowledged);
    }

    void failed_run_is_reported_as_failed()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        reply_to_renewal(take_call<renew_call>(), {},
                         {{1, make_run_name(0), end_cause::failed}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::failed);
    }

    void start_beyond_capacity_is_not_run()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>(), call_outcome::no_capacity);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
    }

    // A network partition may reset connections while the upstream continues its runs.
    void start_to_closed_port_is_not_run_and_keeps_other_runs()
    {
        claim_upstream();
        attempt_id const running = start_run(0);
        reply(take_call<start_call>());
        attempt_id const refused = start_run(1);
        reply(take_call<start_call>(), call_outcome::unreachable);
        CPPUNIT_ASSERT(outcome_of(refused) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT(!outcome_of(running));
    }

    void start_without_reply_is_reported_only_after_stop_and_renewal()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>(), call_outcome::lost);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        m_now += 1ms;
        reply(take_call<stop_call>());
        CPPUNIT_ASSERT(!outcome_of(attempt));
        take_call<renew_call>(); // sent before the stop
        reply_to_renewal(take_call<renew_call>(), {});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
    }

    void start_without_reply_that_is_listed_is_kept()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        auto const call = take_call<start_call>();
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 5}});
        reply(call, call_outcome::lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<stop_call>());
        CPPUNIT_ASSERT(!outcome_of(attempt));
    }

    void start_without_reply_that_succeeded_is_reported_as_succeeded()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>(), call_outcome::lost);
        reply_to_renewal(take_call<renew_call>(), {},
                         {{1, make_run_name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::succeeded);
    }

    void renewal_sent_before_stop_reports_nothing()
    {
        claim_upstream();
        auto const early = take_call<renew_call>();
        attempt_id const attempt = start_run(0);
        m_now += 5ms;
        reply(take_call<start_call>(), call_outcome::lost);
        reply(take_call<stop_call>());
        reply_to_renewal(early, {});
        CPPUNIT_ASSERT(!outcome_of(attempt));
    }

    // Guards against a task that runs twice: calls overtake each other, so a renewal that
    // was sent after a stop may be served before it, and the late start between the two.
    void renewal_sent_before_reply_to_stop_reports_nothing()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>(), call_outcome::lost);
        auto const stop = take_call<stop_call>();
        m_now += 5ms;
        reply_to_renewal(take_call<renew_call>(), {});
        auto const between = take_call<renew_call>();
        m_now += 5ms;
        reply(stop);
        reply_to_renewal(between, {});
        CPPUNIT_ASSERT(!outcome_of(attempt));
        reply_to_renewal(take_call<renew_call>(), {});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
    }

    // Guards against a result that waits for the reply to a repeated stop.
    void renewal_after_accepted_stop_reports_although_stop_was_repeated()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>(), call_outcome::lost);
        m_now += 5ms;
        reply(take_call<stop_call>());
        take_call<renew_call>(); // sent before the stop
        auto const renewal = take_call<renew_call>();
        advance_by(110ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_calls<stop_call>());
        reply_to_renewal(renewal, {});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
    }

    void stop_without_effect_is_repeated()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        stop(m_state, attempt, m_now, m_out);
        reply(take_call<stop_call>(), call_outcome::lost);
        advance_by(150ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_calls<stop_call>());
    }

    void silent_upstream_gets_no_start()
    {
        claim_upstream();
        reply(take_call<renew_call>(), call_outcome::lost);
        CPPUNIT_ASSERT(!is_available());
        CPPUNIT_ASSERT(outcome_of(start_run(0)) == dispatch::attempt_outcome::not_run);
    }

    void run_on_silent_upstream_is_reported_after_lease_expiry()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        reply(take_call<renew_call>(), call_outcome::lost);
        advance_by(900ms);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        advance_by(3s); // renewals that get no reply may have extended the lease
        while (count_calls<renew_call>() > 0)
        {
            reply(take_call<renew_call>(), call_outcome::lost);
        }
        advance_by(200ms);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    void run_without_progress_is_stopped()
    {
        claim_upstream();
        start_run(0);
        reply(take_call<start_call>());
        for (int renewal = 0; renewal < 4; ++renewal)
        {
            m_now += 200ms;
            reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 5}});
        }
        CPPUNIT_ASSERT(count_calls<stop_call>() > 0);
    }

    void run_with_progress_is_not_stopped()
    {
        claim_upstream();
        start_run(0);
        reply(take_call<start_call>());
        for (std::uint32_t renewal = 0; renewal < 4; ++renewal)
        {
            m_now += 200ms;
            reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), renewal}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<stop_call>());
    }

    void listed_run_not_started_here_is_stopped()
    {
        claim_upstream();
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(9), 5}});
        CPPUNIT_ASSERT(std::get<stop_call>(take_call<stop_call>().m_body).m_run ==
                       make_run_name(9));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_claim_test);
CPPUNIT_TEST_SUITE_REGISTRATION(lease_run_test);

} // namespace

} // namespace cassiahub::lease
