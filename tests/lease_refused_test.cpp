/// \file Upstreams that refuse connections, in virtual time.

#include "lease_fixture.hpp"

#include <utility>

namespace cassiahub::lease
{

namespace
{

using dispatch::attempt_outcome;

/// Time after the last call that an upstream may have received at which its runs have
/// ended: the lease on a clock that is 2% slow, the margin and one scan.
constexpr duration longest_lease = 1080ms;

// Guards against runs that are given up with the deadline of their job only: a call that
// no connection could be made for extended the lease in the reckoning of this instance.
class lease_refused_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_refused_test);
    CPPUNIT_TEST(run_on_upstream_that_refuses_calls_is_interrupted_after_one_lease);
    CPPUNIT_TEST(run_on_upstream_that_loses_calls_is_kept);
    CPPUNIT_TEST(lost_call_that_is_later_than_refused_call_holds_lease);
    CPPUNIT_TEST(call_in_flight_beside_refused_call_holds_lease);
    CPPUNIT_TEST(refused_start_is_not_run_and_leaves_lease_of_other_run);
    CPPUNIT_TEST(refused_start_does_not_bar_start_with_earlier_limit);
    CPPUNIT_TEST(run_after_claim_that_follows_refused_calls_holds_lease);
    CPPUNIT_TEST_SUITE_END();

    /// Replies to every call with \p outcome.
    void reply_to_all(call_outcome outcome)
    {
        for (upstream_call const & call : std::exchange(m_out.m_calls, {}))
        {
            reply(call, outcome);
        }
    }

    /// Advances the virtual clock to \p limit and replies to every call with \p outcome.
    void reply_until(time_point limit, call_outcome outcome)
    {
        while (m_now < limit)
        {
            advance_by(10ms);
            reply_to_all(outcome);
        }
    }

    /// Starts a run that the upstream has accepted.
    attempt_id start_accepted_run(std::uint32_t index)
    {
        attempt_id const attempt = start_run(index);
        reply(take_call<start_call>());
        return attempt;
    }

public:
    void run_on_upstream_that_refuses_calls_is_interrupted_after_one_lease()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        time_point const last_received = m_now;
        reply(take_call<renew_call>(), call_outcome::lost);
        reply_until(last_received + 990ms, call_outcome::unreachable);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        reply_until(last_received + longest_lease, call_outcome::unreachable);
        CPPUNIT_ASSERT(outcome_of(attempt) == attempt_outcome::interrupted);
    }

    // A call without a reply may have been carried out, so the upstream may hold a lease.
    void run_on_upstream_that_loses_calls_is_kept()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        reply_until(m_now + 3s, call_outcome::lost);
        CPPUNIT_ASSERT(!outcome_of(attempt));
    }

    void lost_call_that_is_later_than_refused_call_holds_lease()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        take_call<renew_call>();
        advance_by(100ms);
        start_run(1);
        auto const refused = take_call<start_call>();
        advance_by(100ms);
        time_point const last_received = m_now;
        start_run(2);
        auto const lost = take_call<start_call>();
        reply(lost, call_outcome::lost);
        reply(refused, call_outcome::unreachable);
        reply_until(last_received + 990ms, call_outcome::unreachable);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        reply_until(last_received + longest_lease, call_outcome::unreachable);
        CPPUNIT_ASSERT(outcome_of(attempt) == attempt_outcome::interrupted);
    }

    void call_in_flight_beside_refused_call_holds_lease()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        take_call<renew_call>();
        advance_by(100ms);
        time_point const last_received = m_now;
        start_run(1);
        auto const in_flight = take_call<start_call>();
        start_run(2);
        reply(take_call<start_call>(), call_outcome::unreachable);
        reply_until(last_received + 990ms, call_outcome::unreachable);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        reply(in_flight, call_outcome::lost);
        reply_until(last_received + longest_lease, call_outcome::unreachable);
        CPPUNIT_ASSERT(outcome_of(attempt) == attempt_outcome::interrupted);
    }

    void refused_start_is_not_run_and_leaves_lease_of_other_run()
    {
        claim_upstream();
        attempt_id const running = start_accepted_run(0);
        time_point const last_received = m_now;
        reply(take_call<renew_call>(), call_outcome::lost);
        advance_by(500ms);
        reply_to_all(call_outcome::unreachable);
        attempt_id const refused = start_run(1);
        reply_to_all(call_outcome::unreachable);
        CPPUNIT_ASSERT(outcome_of(refused) == attempt_outcome::not_run);
        reply_until(last_received + longest_lease, call_outcome::unreachable);
        CPPUNIT_ASSERT(outcome_of(running) == attempt_outcome::interrupted);
    }

    void refused_start_does_not_bar_start_with_earlier_limit()
    {
        claim_upstream();
        time_point const limit = m_now + 1150ms;
        m_now += 200ms;
        start_run(0);
        reply(take_call<start_call>(), call_outcome::unreachable);
        attempt_id const limited{1, ++m_serial};
        start(m_state, {limited, "up", make_run_name(1), "payload", limit}, m_now, m_out);
        CPPUNIT_ASSERT(!outcome_of(limited));
        CPPUNIT_ASSERT(
            std::get<start_call>(take_call<start_call>().m_body).m_lease_until <=
            clock_at_start + 1150);
    }

    void run_after_claim_that_follows_refused_calls_holds_lease()
    {
        claim_upstream();
        start_accepted_run(0);
        auto const old = take_call<renew_call>();
        reply_until(m_now + 1500ms, call_outcome::unreachable);
        advance_by(300ms);
        reply(take_call<renew_call>());
        CPPUNIT_ASSERT(is_available());
        attempt_id const attempt = start_accepted_run(1);
        time_point const last_received = m_now;
        reply(old, call_outcome::unreachable);
        reply_until(last_received + 990ms, call_outcome::unreachable);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        reply_until(last_received + longest_lease, call_outcome::unreachable);
        CPPUNIT_ASSERT(outcome_of(attempt) == attempt_outcome::interrupted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_refused_test);

} // namespace

} // namespace cassiahub::lease
