/// \file Upstreams that start again under their name, in virtual time.

#include "lease_fixture.hpp"

#include <utility>

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

// Guards against a task that runs twice: a start that was reported as not run is carried
// out late by the next incarnation, which does not know the stop.
class lease_restart_fence_test : public lease_restart_fixture
{
    CPPUNIT_TEST_SUITE(lease_restart_fence_test);
    CPPUNIT_TEST(call_after_start_was_reported_as_not_run_has_higher_token);
    CPPUNIT_TEST(earlier_call_that_higher_token_fences_leaves_claim);
    CPPUNIT_TEST(earlier_call_that_is_accepted_before_higher_token_counts);
    CPPUNIT_TEST_SUITE_END();

    /// Lets a start get no reply, until its run is reported as not run.
    /// \returns the token of the start.
    std::uint64_t give_up_start(std::uint32_t index)
    {
        attempt_id const attempt = start_run(index);
        std::uint64_t const token = take_call<start_call>().m_token;
        advance_by(70ms);
        reply(take_call<stop_call>());
        while (count_calls<renew_call>() > 0 && !outcome_of(attempt))
        {
            reply_to_renewal(take_call<renew_call>(), {});
        }
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
        return token;
    }

public:
    void call_after_start_was_reported_as_not_run_has_higher_token()
    {
        claim_upstream();
        std::uint64_t const token = give_up_start(0);
        CPPUNIT_ASSERT(take_call<renew_call>().m_token > token);
        start_run(1);
        CPPUNIT_ASSERT(take_call<start_call>().m_token > token);
    }

    void earlier_call_that_higher_token_fences_leaves_claim()
    {
        claim_upstream();
        start_run(0);
        take_call<start_call>();
        advance_by(70ms);
        auto const stop = take_call<stop_call>();
        attempt_id const fenced = start_run(1);
        auto const start = take_call<start_call>();
        reply(stop);
        reply_to_renewal(take_call<renew_call>(), {});
        reply_to_renewal(take_call<renew_call>(), {});
        reply(start, call_outcome::fenced);
        CPPUNIT_ASSERT(outcome_of(fenced) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT(is_available());
    }

    void earlier_call_that_is_accepted_before_higher_token_counts()
    {
        claim_upstream();
        attempt_id const running = start_run(1);
        auto const start = take_call<start_call>();
        give_up_start(0);
        reply(start);
        reply_to_renewal(take_call<renew_call>(), {},
                         {{1, make_run_name(1), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(running) == dispatch::attempt_outcome::succeeded);
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
    CPPUNIT_TEST(
        unconfirmed_run_that_restarted_upstream_has_ended_is_reported_with_its_end);
    CPPUNIT_TEST(unconfirmed_run_without_reply_to_claim_is_unknown);
    CPPUNIT_TEST(unconfirmed_run_on_fenced_or_unassigned_upstream_is_unknown);
    CPPUNIT_TEST(
        unconfirmed_run_on_upstream_restarted_twice_is_reported_after_last_claim);
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

    void unconfirmed_run_that_restarted_upstream_has_ended_is_reported_with_its_end()
    {
        claim_upstream();
        take_call<renew_call>();
        attempt_id const succeeded = start_run_after_restart(0);
        attempt_id const absent = start_run(1);
        assign_upstream(restarted);
        CPPUNIT_ASSERT(!outcome_of(succeeded) && !outcome_of(absent));
        take_call<renew_call>(); // sent because of the unexpected clock
        reply_as_restarted(take_call<renew_call>(), {},
                           {{1, make_run_name(0), end_cause::succeeded}});
        CPPUNIT_ASSERT(outcome_of(succeeded) == dispatch::attempt_outcome::succeeded);
        CPPUNIT_ASSERT(outcome_of(absent) == dispatch::attempt_outcome::interrupted);
        CPPUNIT_ASSERT(is_available());
    }

    void unconfirmed_run_without_reply_to_claim_is_unknown()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT(!outcome_of(attempt));
        reply(take_call<renew_call>(), call_outcome::lost);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::unknown);
        advance_by(20ms);
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_results.size());
    }

    void unconfirmed_run_on_fenced_or_unassigned_upstream_is_unknown()
    {
        claim_upstream();
        attempt_id const fenced = start_run(0);
        reply_as_restarted(take_call<renew_call>());
        reply(take_call<renew_call>(), call_outcome::fenced);
        CPPUNIT_ASSERT(outcome_of(fenced) == dispatch::attempt_outcome::unknown);
        advance_by(300ms);
        reply_as_restarted(take_call<renew_call>());
        assign_upstream(restarted);
        attempt_id const unassigned = start_run(1);
        assign_upstream(restarted + 1);
        CPPUNIT_ASSERT(!outcome_of(unassigned));
        unassign_upstream();
        CPPUNIT_ASSERT(outcome_of(unassigned) == dispatch::attempt_outcome::unknown);
        CPPUNIT_ASSERT(held_upstreams(m_state).empty());
    }

    void unconfirmed_run_on_upstream_restarted_twice_is_reported_after_last_claim()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        reply_as_restarted(take_call<renew_call>());
        auto const claim = take_call<renew_call>();
        assign_upstream(restarted + 1);
        reply_as_restarted(claim);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        reply_as(restarted + 1, take_call<renew_call>(), 3);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }
};

// Guards against runs that start before the restarted upstream has accepted a new token,
// so that it carries out starts that were sent earlier, and against a session that
// returns to an incarnation that has ended.
class lease_restart_claim_test : public lease_restart_fixture
{
    CPPUNIT_TEST_SUITE(lease_restart_claim_test);
    CPPUNIT_TEST(renewal_of_restarted_upstream_is_followed_by_claim_with_higher_token);
    CPPUNIT_TEST(registration_of_restart_is_followed_by_claim_with_higher_token);
    CPPUNIT_TEST(
        claim_with_reply_of_restarted_upstream_makes_it_available_once_registered);
    CPPUNIT_TEST(reply_to_call_before_restart_is_ignored);
    CPPUNIT_TEST(reply_of_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(list_without_incarnation_ends_no_run);
    CPPUNIT_TEST(registration_of_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(address_of_same_incarnation_keeps_runs);
    CPPUNIT_TEST(reply_from_address_left_reports_no_run_as_ended);
    CPPUNIT_TEST(start_refused_at_address_left_is_not_run);
    CPPUNIT_TEST(registration_without_incarnation_leaves_served_upstream_alone);
    CPPUNIT_TEST(registration_without_incarnation_is_followed_after_lapse);
    CPPUNIT_TEST(incarnation_of_other_upstream_at_address_is_ignored);
    CPPUNIT_TEST(released_upstream_is_claimed_again_with_higher_token);
    CPPUNIT_TEST_SUITE_END();

    void assign_upstream_at(std::string const & address, std::uint64_t incarnation)
    {
        std::vector<owned_upstream> const owned{{"up", address, incarnation}};
        set_owned(m_state, owned, first_token, m_now, m_out);
    }

    /// Checks that the upstream gets no start until it has accepted a claim with a higher
    /// token.
    /// \returns that claim.
    upstream_call accept_new_claim()
    {
        CPPUNIT_ASSERT(!is_available());
        CPPUNIT_ASSERT(outcome_of(start_run(8)) == dispatch::attempt_outcome::not_run);
        upstream_call claim = take_call<renew_call>();
        CPPUNIT_ASSERT(claim.m_token > first_token);
        CPPUNIT_ASSERT(!std::get<renew_call>(claim.m_body).m_lease_until);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             std::get<renew_call>(claim.m_body).m_acknowledged);
        reply_as_restarted(claim);
        return claim;
    }

    /// Checks that the upstream gets starts with the token of \p claim.
    void check_start_under(upstream_call const & claim)
    {
        CPPUNIT_ASSERT(is_available());
        start_run(9);
        auto const start = take_call<start_call>();
        CPPUNIT_ASSERT(start.m_token >= claim.m_token);
        CPPUNIT_ASSERT(std::get<start_call>(start.m_body).m_lease_until <=
                       clock_after_restart + 1000);
    }

public:
    void renewal_of_restarted_upstream_is_followed_by_claim_with_higher_token()
    {
        claim_upstream();
        start_run(0);
        take_call<start_call>();
        reply_as_restarted(take_call<renew_call>(), {},
                           {{3, make_run_name(5), end_cause::succeeded}});
        auto const claim = accept_new_claim();
        CPPUNIT_ASSERT(!is_available());
        assign_upstream(restarted);
        check_start_under(claim);
    }

    void registration_of_restart_is_followed_by_claim_with_higher_token()
    {
        claim_upstream();
        take_call<renew_call>();
        start_run(0);
        take_call<start_call>();
        assign_upstream(restarted);
        check_start_under(accept_new_claim());
    }

    void claim_with_reply_of_restarted_upstream_makes_it_available_once_registered()
    {
        assign_upstream();
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT(!is_available());
        assign_upstream(restarted);
        CPPUNIT_ASSERT(is_available());
    }

    void reply_to_call_before_restart_is_ignored()
    {
        claim_upstream();
        auto const renewal = take_call<renew_call>();
        start_run(0);
        auto const start = take_call<start_call>();
        assign_upstream(restarted);
        reply(renewal, call_outcome::fenced);
        reply(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_events("upstream_fenced"));
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT(is_available());
        start_run(1);
        CPPUNIT_ASSERT_EQUAL(
            clock_after_restart + 1000,
            std::get<start_call>(take_call<start_call>().m_body).m_lease_until);
    }

    void reply_of_earlier_incarnation_is_ignored()
    {
        claim_upstream();
        assign_upstream(restarted);
        take_call<renew_call>();
        auto const claim = take_call<renew_call>();
        reply_as(1, claim, clock_at_start);
        CPPUNIT_ASSERT(!is_available());
        advance_by(300ms);
        reply_as_restarted(take_call<renew_call>());
        CPPUNIT_ASSERT(is_available());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_events("upstream_restarted"));
    }

    void list_without_incarnation_ends_no_run()
    {
        claim_upstream();
        take_call<renew_call>();
        attempt_id const attempt = start_confirmed_run(0);
        advance_by(600ms);
        reply_as(0, take_call<renew_call>(), clock_at_start + 600);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_events("reply_ignored"));
    }

    void registration_of_earlier_incarnation_is_ignored()
    {
        claim_upstream();
        assign_upstream(restarted);
        take_call<renew_call>();
        reply_as_restarted(take_call<renew_call>());
        attempt_id const attempt = start_run(0);
        assign_upstream_at("10.0.0.2:1", 1);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        CPPUNIT_ASSERT(is_available());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"),
                             take_call<start_call>().m_address);
    }

    void address_of_same_incarnation_keeps_runs()
    {
        claim_upstream();
        attempt_id const attempt = start_confirmed_run(0);
        assign_upstream_at("10.0.0.2:1", 1);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        CPPUNIT_ASSERT(is_available());
        start_run(1);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:1"),
                             take_call<start_call>().m_address);
    }

    // Guards against a run that goes on at the new address and is reported as ended,
    // because another upstream answers at the old one.
    void reply_from_address_left_reports_no_run_as_ended()
    {
        claim_upstream();
        attempt_id const attempt = start_confirmed_run(0);
        assign_upstream_at("10.0.0.2:1", 1);
        reply(take_call<renew_call>(), call_outcome::other_incarnation);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        advance_by(10ms);
        auto const renewal = take_call<renew_call>();
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:1"), renewal.m_address);
        reply_to_renewal(renewal, {{make_run_name(0), 5}});
        CPPUNIT_ASSERT(!outcome_of(attempt));
        CPPUNIT_ASSERT(is_available());
    }

    // Guards against an outcome that is unknown although the start was refused.
    void start_refused_at_address_left_is_not_run()
    {
        claim_upstream();
        attempt_id const attempt = start_run(0);
        assign_upstream_at("10.0.0.2:1", 1);
        reply(take_call<start_call>(), call_outcome::other_incarnation);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT(is_available());
    }

    // Guards against a run that is reported as ended because of an entry of another
    // writer, which lacks the start time that the upstream itself reports.
    void registration_without_incarnation_leaves_served_upstream_alone()
    {
        claim_upstream();
        attempt_id const attempt = start_confirmed_run(0);
        assign_upstream_at("10.0.0.2:1", 0);
        CPPUNIT_ASSERT(!outcome_of(attempt));
        CPPUNIT_ASSERT(is_available());
        start_run(1);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"),
                             take_call<start_call>().m_address);
    }

    // Guards against a session that keeps calling an address at which nobody answers.
    void registration_without_incarnation_is_followed_after_lapse()
    {
        claim_upstream();
        attempt_id const attempt = start_confirmed_run(0);
        reply(take_call<renew_call>(), call_outcome::lost);
        advance_by(3s);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
        std::vector<upstream_call> const unanswered = std::exchange(m_out.m_calls, {});
        assign_upstream_at("10.0.0.2:1", 0);
        for (upstream_call const & call : unanswered)
        {
            reply(call, call_outcome::lost);
        }
        advance_by(300ms);
        auto const claim = take_call<renew_call>();
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:1"), claim.m_address);
        reply_as_restarted(claim);
        CPPUNIT_ASSERT(is_available());
    }

    // Guards against a session that takes every later reply of its upstream for one of
    // an earlier incarnation.
    void incarnation_of_other_upstream_at_address_is_ignored()
    {
        claim_upstream();
        upstream_reply refusal =
            make_reply(take_call<renew_call>(), call_outcome::other_incarnation);
        refusal.m_incarnation = restarted;
        receive(m_state, refusal, m_now, m_out);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_events("upstream_replaced"));
        advance_by(300ms);
        reply(take_call<renew_call>());
        CPPUNIT_ASSERT(is_available());
    }

    // A reply to the first session, or a start that is carried out late, would count for
    // the second one if their tokens were equal.
    void released_upstream_is_claimed_again_with_higher_token()
    {
        claim_upstream();
        unassign_upstream();
        take_call<renew_call>();
        assign_upstream();
        CPPUNIT_ASSERT(take_call<renew_call>().m_token > first_token);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_restart_fence_test);
CPPUNIT_TEST_SUITE_REGISTRATION(lease_restart_run_test);
CPPUNIT_TEST_SUITE_REGISTRATION(lease_restart_claim_test);

} // namespace

} // namespace cassiahub::lease
