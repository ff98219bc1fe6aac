/// \file Replies of upstreams that are lost, in virtual time.

#include "lease_fixture.hpp"

namespace cassiahub::lease
{

namespace
{

// Guards against jobs that wait long for one lost reply, and against work that is stopped
// because this instance itself is slow.
class lease_loss_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_loss_test);
    CPPUNIT_TEST(start_without_reply_is_stopped_before_its_call_fails);
    CPPUNIT_TEST(start_with_reply_is_not_stopped);
    CPPUNIT_TEST(overdue_renewal_is_followed_by_a_look);
    CPPUNIT_TEST(overdue_renewal_is_followed_by_one_look_only);
    CPPUNIT_TEST(renewal_after_loss_waits_less);
    CPPUNIT_TEST(replies_are_not_overdue_after_a_stall);
    CPPUNIT_TEST_SUITE_END();

public:
    // A job waits for its last task, so a lost order has to be noticed within a fraction
    // of a short task's run time.
    void start_without_reply_is_stopped_before_its_call_fails()
    {
        serve();
        order(0);
        pass(80ms);
        CPPUNIT_ASSERT(std::get<stop_call>(take<stop_call>().m_body).m_run == name(0));
    }

    void start_with_reply_is_not_stopped()
    {
        serve();
        order(0);
        answer(take<start_call>());
        pass(80ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<stop_call>());
    }

    void overdue_renewal_is_followed_by_a_look()
    {
        serve();
        attempt_id const attempt = order(0);
        answer(take<start_call>());
        auto const lost = take<renew_call>();
        pass(std::get<renew_call>(lost.m_body).m_wait + 80ms);
        CPPUNIT_ASSERT(is_available());
        auto const look = take<renew_call>();
        CPPUNIT_ASSERT(std::get<renew_call>(look.m_body).m_wait == 0ms);
        answer_lists(look, {}, {{1, name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::succeeded);
    }

    void overdue_renewal_is_followed_by_one_look_only()
    {
        serve();
        order(0);
        answer(take<start_call>());
        auto const lost = take<renew_call>();
        pass(std::get<renew_call>(lost.m_body).m_wait + 200ms);
        take<renew_call>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<renew_call>());
    }

    void renewal_after_loss_waits_less()
    {
        serve();
        order(0);
        answer(take<start_call>());
        auto const lost = take<renew_call>();
        pass(std::get<renew_call>(lost.m_body).m_wait + 80ms);
        answer_lists(take<renew_call>(), {{name(0), 10}});
        upstream_call next = take<renew_call>();
        CPPUNIT_ASSERT(std::get<renew_call>(next.m_body).m_wait <= 60ms);
        for (std::uint32_t percent = 10; percent < 90; ++percent)
        {
            pass(50ms);
            answer_lists(next, {{name(0), percent}});
            next = take<renew_call>();
        }
        CPPUNIT_ASSERT(std::get<renew_call>(next.m_body).m_wait > 60ms);
    }

    /// A process that gets no processor time finds the replies when it runs again.
    void replies_are_not_overdue_after_a_stall()
    {
        serve();
        order(0);
        pass(10ms);
        m_now += 100ms;
        advance(m_state, first_token, m_now, m_out);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<stop_call>());
        pass(80ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count<stop_call>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_loss_test);

} // namespace

} // namespace cassiahub::lease
