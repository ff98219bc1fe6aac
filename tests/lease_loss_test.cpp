/// \file Lost replies of upstreams, in virtual time.

#include "lease_fixture.hpp"

namespace cassiahub::lease
{

namespace
{

// Guards against a lost reply that delays a job for long, and against runs that are
// stopped because this process was not scheduled.
class lease_loss_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_loss_test);
    CPPUNIT_TEST(start_without_reply_is_stopped_before_its_time_limit);
    CPPUNIT_TEST(start_with_reply_is_not_stopped);
    CPPUNIT_TEST(overdue_renewal_is_repeated_without_wait);
    CPPUNIT_TEST(overdue_renewal_is_repeated_only_once);
    CPPUNIT_TEST(renewal_after_loss_waits_less);
    CPPUNIT_TEST(replies_after_scheduling_stall_are_not_overdue);
    CPPUNIT_TEST(renewal_with_incomplete_lists_counts_as_lost);
    CPPUNIT_TEST(renewal_without_clock_counts_as_lost);
    CPPUNIT_TEST(claim_with_incomplete_lists_is_repeated);
    CPPUNIT_TEST_SUITE_END();

    /// Starts a run that a renewal has listed.
    attempt_id start_listed_run()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        for (int renewal = 0; renewal < 2; ++renewal)
        {
            m_now += 5ms;
            reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 5}});
        }
        m_now += 5ms;
        return attempt;
    }

public:
    // A job ends with its last task, so a lost start has to be detected within a fraction
    // of the run time of a short task.
    void start_without_reply_is_stopped_before_its_time_limit()
    {
        claim_upstream();
        start_run(0);
        advance_by(80ms);
        CPPUNIT_ASSERT(std::get<stop_call>(take_call<stop_call>().m_body).m_run ==
                       make_run_name(0));
    }

    void start_with_reply_is_not_stopped()
    {
        claim_upstream();
        start_run(0);
        reply(take_call<start_call>());
        advance_by(80ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<stop_call>());
    }

    void overdue_renewal_is_repeated_without_wait()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply(take_call<start_call>());
        auto const lost = take_call<renew_call>();
        advance_by(std::get<renew_call>(lost.m_body).m_wait + 80ms);
        CPPUNIT_ASSERT(is_available());
        auto const repeated = take_call<renew_call>();
        CPPUNIT_ASSERT(std::get<renew_call>(repeated.m_body).m_wait == 0ms);
        reply_to_renewal(repeated, {}, {{1, make_run_name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::succeeded);
    }

    void overdue_renewal_is_repeated_only_once()
    {
        claim_upstream();
        start_run(0);
        reply(take_call<start_call>());
        auto const lost = take_call<renew_call>();
        advance_by(std::get<renew_call>(lost.m_body).m_wait + 200ms);
        take_call<renew_call>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<renew_call>());
    }

    void renewal_after_loss_waits_less()
    {
        claim_upstream();
        start_run(0);
        reply(take_call<start_call>());
        auto const lost = take_call<renew_call>();
        advance_by(std::get<renew_call>(lost.m_body).m_wait + 80ms);
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 10}});
        upstream_call next = take_call<renew_call>();
        CPPUNIT_ASSERT(std::get<renew_call>(next.m_body).m_wait <= 60ms);
        for (std::uint32_t percent = 10; percent < 90; ++percent)
        {
            advance_by(50ms);
            reply_to_renewal(next, {{make_run_name(0), percent}});
            next = take_call<renew_call>();
        }
        CPPUNIT_ASSERT(std::get<renew_call>(next.m_body).m_wait > 60ms);
    }

    // A process that was not scheduled finds unread replies when it resumes.
    void replies_after_scheduling_stall_are_not_overdue()
    {
        claim_upstream();
        start_run(0);
        advance_by(10ms);
        m_now += 100ms;
        advance(m_state, first_token, m_now, m_out);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<stop_call>());
        advance_by(80ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_calls<stop_call>());
    }

    // Guards against a task that runs twice: a list that could not be read counted as one
    // without the run, and the task was started elsewhere.
    void renewal_with_incomplete_lists_counts_as_lost()
    {
        attempt_id const attempt = start_listed_run();
        upstream_reply incomplete =
            make_reply(take_call<renew_call>(), call_outcome::accepted);
        incomplete.m_lists_error = "no list of running";
        receive(m_state, incomplete, m_now, m_out);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        CPPUNIT_ASSERT(!is_available());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_events("reply_ignored"));
        advance_by(10ms);
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 10}});
        CPPUNIT_ASSERT(!outcome_of(attempt));
        CPPUNIT_ASSERT(is_available());
    }

    // Guards against a lease that is computed without a reading of the upstream's clock.
    void renewal_without_clock_counts_as_lost()
    {
        assign_upstream();
        upstream_reply reply =
            make_reply(take_call<renew_call>(), call_outcome::accepted);
        reply.m_clock.reset();
        receive(m_state, reply, m_now, m_out);
        CPPUNIT_ASSERT(m_out.m_availability.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_events("reply_ignored"));
    }

    void claim_with_incomplete_lists_is_repeated()
    {
        assign_upstream();
        upstream_reply incomplete =
            make_reply(take_call<renew_call>(), call_outcome::accepted);
        incomplete.m_lists_error = "1 malformed rows of running";
        receive(m_state, incomplete, m_now, m_out);
        CPPUNIT_ASSERT(m_out.m_availability.empty());
        advance_by(10ms);
        reply(take_call<renew_call>());
        CPPUNIT_ASSERT(is_available());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_loss_test);

} // namespace

} // namespace cassiahub::lease
