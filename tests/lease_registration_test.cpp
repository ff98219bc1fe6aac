/// \file Upstreams that start again under their name before their registration says so,
/// in virtual time.

#include "lease_fixture.hpp"

namespace cassiahub::lease
{

namespace
{

constexpr std::uint64_t restarted = 2;

// Guards against starts on a restarted upstream that are decided by the registration of
// its earlier incarnation, which may have been of another service or larger.
class lease_registration_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_registration_test);
    CPPUNIT_TEST(restarted_upstream_before_its_registration_gets_no_start);
    CPPUNIT_TEST(restarted_upstream_with_its_registration_gets_starts);
    CPPUNIT_TEST(earlier_registration_read_again_leaves_upstream_waiting);
    CPPUNIT_TEST(registration_without_incarnation_makes_upstream_available);
    CPPUNIT_TEST(registration_of_silent_upstream_waits_for_its_reply);
    CPPUNIT_TEST(waiting_upstream_that_restarts_again_is_claimed_again);
    CPPUNIT_TEST(waiting_upstream_is_renewed_and_held);
    CPPUNIT_TEST(waiting_upstream_that_is_unassigned_is_released);
    CPPUNIT_TEST(registered_upstream_after_lost_renewal_is_available_again);
    CPPUNIT_TEST_SUITE_END();

    void reply_as(std::uint64_t incarnation, upstream_call const & call)
    {
        upstream_reply lists = make_reply(call, call_outcome::accepted);
        lists.m_incarnation = incarnation;
        receive(m_state, lists, m_now, m_out);
    }

    /// Lets the claimed upstream show its restart and accept the claim that follows.
    void restart_upstream()
    {
        claim_upstream();
        reply_as(restarted, take_call<renew_call>());
        reply_as(restarted, take_call<renew_call>());
    }

    void expect_refused_start()
    {
        CPPUNIT_ASSERT(!is_available());
        CPPUNIT_ASSERT(outcome_of(start_run(0)) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<start_call>());
    }

    void expect_accepted_start()
    {
        CPPUNIT_ASSERT(is_available());
        start_run(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_calls<start_call>());
    }

public:
    void restarted_upstream_before_its_registration_gets_no_start()
    {
        restart_upstream();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_events("upstream_unregistered"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_unregistered(m_state));
        expect_refused_start();
    }

    void restarted_upstream_with_its_registration_gets_starts()
    {
        restart_upstream();
        assign_upstream(restarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_unregistered(m_state));
        expect_accepted_start();
    }

    void earlier_registration_read_again_leaves_upstream_waiting()
    {
        restart_upstream();
        assign_upstream(1);
        expect_refused_start();
    }

    void registration_without_incarnation_makes_upstream_available()
    {
        restart_upstream();
        assign_upstream(0);
        expect_accepted_start();
    }

    void registration_of_silent_upstream_waits_for_its_reply()
    {
        restart_upstream();
        reply(take_call<renew_call>(), call_outcome::lost);
        assign_upstream(restarted);
        expect_refused_start();
        advance_by(10ms);
        reply_as(restarted, take_call<renew_call>());
        expect_accepted_start();
    }

    void waiting_upstream_that_restarts_again_is_claimed_again()
    {
        restart_upstream();
        auto const renewal = take_call<renew_call>();
        reply_as(restarted + 1, renewal);
        auto const claim = take_call<renew_call>();
        CPPUNIT_ASSERT(claim.m_token > renewal.m_token);
        reply_as(restarted + 1, claim);
        assign_upstream(restarted);
        expect_refused_start();
        assign_upstream(restarted + 1);
        expect_accepted_start();
    }

    void waiting_upstream_is_renewed_and_held()
    {
        restart_upstream();
        for (int renewal = 0; renewal < 3; ++renewal)
        {
            advance_by(500ms);
            reply_as(restarted, take_call<renew_call>());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held_upstreams(m_state).size());
        expect_refused_start();
    }

    void waiting_upstream_that_is_unassigned_is_released()
    {
        restart_upstream();
        unassign_upstream();
        CPPUNIT_ASSERT(held_upstreams(m_state).empty());
    }

    void registered_upstream_after_lost_renewal_is_available_again()
    {
        claim_upstream();
        reply(take_call<renew_call>(), call_outcome::lost);
        CPPUNIT_ASSERT(!is_available());
        advance_by(10ms);
        reply(take_call<renew_call>());
        expect_accepted_start();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_registration_test);

} // namespace

} // namespace cassiahub::lease
