/// \file Upstreams that start again under their name, in virtual time.

#include "lease_fixture.hpp"

namespace cassiahub::lease
{

namespace
{

constexpr std::uint64_t restarted = 2;
constexpr upstream_clock clock_after_restart = 5;

class lease_restart_fixture : public lease_fixture
{
protected:
    void reply_with_clock(upstream_call const & call, upstream_clock clock)
    {
        upstream_reply accepted = make_reply(call, call_outcome::accepted);
        accepted.m_clock = clock;
        receive(m_state, accepted, m_now, m_out);
    }

    void reply_as(std::uint64_t incarnation, upstream_call const & call,
                  upstream_clock clock, std::vector<listed_run> running = {},
                  std::vector<listed_end> ended = {})
    {
        upstream_reply lists = make_reply(call, call_outcome::accepted);
        lists.m_incarnation = incarnation;
        lists.m_clock = clock;
        lists.m_running = std::move(running);
        lists.m_ended = std::move(ended);
        receive(m_state, lists, m_now, m_out);
    }

    void reply_as_restarted(upstream_call const & call,
                            std::vector<listed_run> running = {},
                            std::vector<listed_end> ended = {})
    {
        reply_as(restarted, call, clock_after_restart, std::move(running),
                 std::move(ended));
    }

    /// Starts runs that the incarnation of the session has accepted.
    attempt_id start_confirmed_run(std::uint32_t index)
    {
        attempt_id const attempt = start_run(index);
        reply(take_call<start_call>());
        return attempt;
    }

    /// Starts a run that the restarted upstream has accepted. The reply to the start does
    /// not tell so.
    attempt_id start_run_after_restart(std::uint32_t index)
    {
        attempt_id const attempt = start_run(index);
        reply_with_clock(take_call<start_call>(), clock_after_restart);
        return attempt;
    }
};

// Guards against a task that runs twice: a run that may belong to the restarted upstream
// was reported as interrupted, and its task was started elsewhere while it ran there.
class lease_restart_run_test : public lease_restart_fixture
{
    CPPUNIT_TEST_SUITE(lease_restart_run_test);
    CPPUNIT_TEST(start_accepted_before_renewal_showed_restart_is_not_reported_as_ended);
    CPPUNIT_TEST(start_accepted_without_clock_is_not_reported_as_ended);
    CPPUNIT_TEST(registration_of_restart_reports_only_confirmed_runs_as_ended);
    CPPUNIT_TEST(other_upstream_at_address_reports_only_confirmed_runs_as_ended);
    CPPUNIT_TEST(lapsed_lease_reports_only_confirmed_runs_as_ended);
    CPPUNIT_TEST(start_with_possible_clock_is_interrupted_by_restart);
    CPPUNIT_TEST(start_with_overtaken_reply_is_interrupted_by_restart);
    CPPUNIT_TEST(listed_run_without_start_reply_is_interrupted_by_restart);
    CPPUNIT_TEST(start_with_unexpected_clock_is_followed_by_renewal);
    CPPUNIT_TEST(clock_of_restarted_upstream_leaves_lease_unchanged);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_accepted_before_renewal_showed_restart_is_not_reported_as_ended()
    {
        claim_upstream();
        attempt_id const before = start_confirmed_run(0);
        attempt_id const after = start_run_after_restart(1);
        reply_as_restarted(take_call<renew_call>(), {{make_run_name(1), 5}});
        CPPUNIT_ASSERT(outcome_of(before) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(!may_be_restarted(after));
    }

    void start_accepted_without_clock_is_not_reported_as_ended()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        upstream_reply accepted =
            make_reply(take_call<start_call>(), call_outcome::accepted);
        accepted.m_clock.reset();
        receive(m_state, accepted, m_now, m_out);
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT(!may_be_restarted(attempt));
    }

    void registration_of_restart_reports_only_confirmed_runs_as_ended()
    {
        claim_upstream();
        attempt_id const before = start_confirmed_run(0);
        attempt_id const after = start_run_after_restart(1);
        attempt_id const open = start_run(2);
        assign_upstream(restarted);
        CPPUNIT_ASSERT(outcome_of(before) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(!may_be_restarted(after));
        CPPUNIT_ASSERT(!may_be_restarted(open));
    }

    void other_upstream_at_address_reports_only_confirmed_runs_as_ended()
    {
        claim_upstream();
        attempt_id const before = start_confirmed_run(0);
        attempt_id const open = start_run(1);
        reply(take_call<renew_call>(), call_outcome::other_incarnation);
        CPPUNIT_ASSERT(outcome_of(before) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(!may_be_restarted(open));
    }

    // The clock of a restarted upstream starts anew, so that a start that it carries out
    // late holds a lease although the lease has lapsed on the clock before the restart.
    void lapsed_lease_reports_only_confirmed_runs_as_ended()
    {
        claim_upstream();
        attempt_id const before = start_confirmed_run(0);
        attempt_id const open = start_run(1);
        reply(take_call<start_call>(), call_outcome::lost);
        reply(take_call<renew_call>(), call_outcome::lost);
        advance_by(3s);
        CPPUNIT_ASSERT(outcome_of(before) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(!may_be_restarted(open));
    }

    void start_with_possible_clock_is_interrupted_by_restart()
    {
        claim_upstream();
        advance_by(200ms);
        attempt_id const attempt = start_run(0);
        auto const call = take_call<start_call>();
        advance_by(20ms);
        reply_with_clock(call, clock_at_start + 204); // the upstream's clock is slow
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    void start_with_overtaken_reply_is_interrupted_by_restart()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        auto const call = take_call<start_call>();
        advance_by(30ms);
        reply_to_renewal(take_call<renew_call>(), {});
        reply_with_clock(call, clock_at_start + 1);
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    void listed_run_without_start_reply_is_interrupted_by_restart()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 5}});
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    void start_with_unexpected_clock_is_followed_by_renewal()
    {
        claim_upstream();
        take_call<renew_call>();
        start_run_after_restart(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_events("unexpected_clock"));
        auto const renewal = std::get<renew_call>(take_call<renew_call>().m_body);
        CPPUNIT_ASSERT(renewal.m_wait == 0ms);
        CPPUNIT_ASSERT(!renewal.m_lease_until);
    }

    void clock_of_restarted_upstream_leaves_lease_unchanged()
    {
        claim_upstream();
        start_run(0);
        reply_with_clock(take_call<start_call>(), 10 * clock_at_start);
        start_run(1);
        CPPUNIT_ASSERT_EQUAL(
            clock_at_start + 1000,
            std::get<start_call>(take_call<start_call>().m_body).m_lease_until);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_restart_run_test);

} // namespace

} // namespace cassiahub::lease
