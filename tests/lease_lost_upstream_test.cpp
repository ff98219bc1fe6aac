/// \file Which runs are reported as lost with their upstream, and what became of it, in
/// virtual time.

#include "lease_fixture.hpp"

#include <utility>

namespace cassiahub::lease
{

namespace
{

using dispatch::attempt_outcome;
using dispatch::upstream_fate;

constexpr std::uint64_t restarted = 2;

class lost_upstream_fixture : public lease_fixture
{
protected:
    attempt_id start_accepted_run(std::uint32_t index)
    {
        attempt_id const attempt = start_run(index);
        reply(take_call<start_call>());
        return attempt;
    }

    /// Refuses every call until the lease has lapsed.
    void lapse_lease()
    {
        for (upstream_call const & call : std::exchange(m_out.m_calls, {}))
        {
            reply(call, call_outcome::lost);
        }
        for (int step = 0; step < 110; ++step)
        {
            advance_by(10ms);
            for (upstream_call const & call : std::exchange(m_out.m_calls, {}))
            {
                reply(call, call_outcome::unreachable);
            }
        }
    }

    /// Waits for the next claim.
    upstream_call take_claim()
    {
        advance_by(300ms);
        return take_call<renew_call>();
    }

    /// Replies as the incarnation that has started anew.
    void reply_as_restarted(upstream_call const & call,
                            std::vector<listed_run> running = {},
                            std::vector<listed_end> ended = {})
    {
        upstream_reply lists = make_reply(call, call_outcome::accepted);
        lists.m_incarnation = restarted;
        lists.m_clock = 5;
        lists.m_running = std::move(running);
        lists.m_ended = std::move(ended);
        receive(m_state, lists, m_now, m_out);
    }

    dispatch::attempt_result result_of(attempt_id const & attempt) const
    {
        auto const found =
            std::find_if(m_out.m_results.begin(), m_out.m_results.end(),
                         [&attempt](dispatch::attempt_result const & result)
                         { return result.m_attempt == attempt; });
        CPPUNIT_ASSERT(found != m_out.m_results.end());
        return *found;
    }

    void expect_lost(attempt_id const & attempt, attempt_outcome outcome) const
    {
        dispatch::attempt_result const result = result_of(attempt);
        CPPUNIT_ASSERT(result.m_outcome == outcome);
        CPPUNIT_ASSERT(result.m_upstream_lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), result.m_upstream_incarnation);
    }

    void expect_not_lost(attempt_id const & attempt, attempt_outcome outcome) const
    {
        dispatch::attempt_result const result = result_of(attempt);
        CPPUNIT_ASSERT(result.m_outcome == outcome);
        CPPUNIT_ASSERT(!result.m_upstream_lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), result.m_upstream_incarnation);
    }

    /// Expects one fate, of the first incarnation.
    void expect_fate(upstream_fate fate) const
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_fates.size());
        CPPUNIT_ASSERT(m_out.m_fates[0] ==
                       (dispatch::upstream_loss{{"up", 1}, fate, {}}));
    }

    void expect_no_fate() const
    {
        CPPUNIT_ASSERT(m_out.m_fates.empty());
    }
};

// Guards against a crash that is counted nowhere, so that a task which crashes every
// upstream is started again and again, and against sound tasks that are counted as
// crashing ones.
class lost_run_test : public lost_upstream_fixture
{
    CPPUNIT_TEST_SUITE(lost_run_test);
    CPPUNIT_TEST(runs_of_lapsed_lease_are_lost);
    CPPUNIT_TEST(run_with_reported_progress_is_not_lost_at_start);
    CPPUNIT_TEST(runs_interrupted_by_restart_in_reply_are_lost);
    CPPUNIT_TEST(runs_interrupted_by_registration_of_restart_are_lost);
    CPPUNIT_TEST(runs_on_upstream_whose_address_another_one_has_are_lost);
    CPPUNIT_TEST(run_on_upstream_without_start_time_that_moves_is_lost);
    CPPUNIT_TEST(unsettled_run_that_claim_does_not_list_is_lost_with_first_incarnation);
    CPPUNIT_TEST(unsettled_run_without_reply_to_claim_is_lost);
    CPPUNIT_TEST(unsettled_run_that_restarted_upstream_has_ended_is_not_lost);
    CPPUNIT_TEST(unsettled_run_that_restarted_upstream_has_run_is_not_lost);
    CPPUNIT_TEST(run_that_upstream_has_ended_is_not_lost);
    CPPUNIT_TEST(run_that_upstream_no_longer_lists_is_not_lost);
    CPPUNIT_TEST(refused_run_is_not_lost);
    CPPUNIT_TEST(run_on_fenced_upstream_is_not_lost);
    CPPUNIT_TEST(run_whose_stop_was_accepted_before_restart_is_not_lost);
    CPPUNIT_TEST(run_whose_stop_was_lost_before_restart_is_lost);
    CPPUNIT_TEST(run_whose_stop_another_incarnation_accepted_is_lost);
    CPPUNIT_TEST_SUITE_END();

public:
    void runs_of_lapsed_lease_are_lost()
    {
        claim_upstream();
        attempt_id const accepted = start_accepted_run(0);
        attempt_id const open = start_run(1);
        lapse_lease();
        expect_lost(accepted, attempt_outcome::interrupted);
        expect_lost(open, attempt_outcome::unknown);
        expect_no_fate();
    }

    void run_with_reported_progress_is_not_lost_at_start()
    {
        claim_upstream();
        attempt_id const old = start_accepted_run(0);
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 30}});
        attempt_id const young = start_accepted_run(1);
        lapse_lease();
        CPPUNIT_ASSERT(result_of(old).m_upstream_lost);
        CPPUNIT_ASSERT(!result_of(old).m_lost_at_start);
        CPPUNIT_ASSERT(result_of(young).m_lost_at_start);
    }

    void runs_interrupted_by_restart_in_reply_are_lost()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        reply_as_restarted(take_call<renew_call>());
        expect_lost(attempt, attempt_outcome::interrupted);
        expect_fate(upstream_fate::crashed);
    }

    void runs_interrupted_by_registration_of_restart_are_lost()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        assign_upstream(restarted);
        expect_lost(attempt, attempt_outcome::interrupted);
        expect_fate(upstream_fate::crashed);
    }

    void runs_on_upstream_whose_address_another_one_has_are_lost()
    {
        claim_upstream();
        attempt_id const accepted = start_accepted_run(0);
        attempt_id const open = start_run(1);
        reply(take_call<renew_call>(), call_outcome::other_incarnation);
        expect_lost(accepted, attempt_outcome::interrupted);
        expect_lost(open, attempt_outcome::unknown);
        expect_fate(upstream_fate::crashed);
    }

    void run_on_upstream_without_start_time_that_moves_is_lost()
    {
        assign_upstream(0);
        upstream_reply claimed = make_reply(take_call<renew_call>(), //
                                            call_outcome::accepted);
        claimed.m_incarnation = 0;
        receive(m_state, claimed, m_now, m_out);
        attempt_id const attempt = start_accepted_run(0);
        std::vector<owned_upstream> const moved{{"up", "10.0.0.2:1", 0}};
        set_owned(m_state, moved, first_token, m_now, m_out);
        CPPUNIT_ASSERT(result_of(attempt).m_upstream_lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), result_of(attempt).m_upstream_incarnation);
        CPPUNIT_ASSERT(m_out.m_fates == (std::vector<dispatch::upstream_loss>{
                                            {{"up", 0}, upstream_fate::crashed, {}}}));
    }

    // The fate is reported with the result, since the history forgets a fate of an
    // upstream under which no loss is recorded.
    void unsettled_run_that_claim_does_not_list_is_lost_with_first_incarnation()
    {
        claim_upstream();
        attempt_id const open = start_run(0);
        reply_as_restarted(take_call<renew_call>());
        expect_no_fate();
        reply_as_restarted(take_call<renew_call>());
        expect_lost(open, attempt_outcome::interrupted);
        expect_fate(upstream_fate::crashed);
    }

    void unsettled_run_without_reply_to_claim_is_lost()
    {
        claim_upstream();
        attempt_id const open = start_run(0);
        reply_as_restarted(take_call<renew_call>());
        reply(take_call<renew_call>(), call_outcome::lost);
        expect_lost(open, attempt_outcome::unknown);
        expect_fate(upstream_fate::crashed);
    }

    void unsettled_run_that_restarted_upstream_has_ended_is_not_lost()
    {
        claim_upstream();
        attempt_id const open = start_run(0);
        reply_as_restarted(take_call<renew_call>());
        reply_as_restarted(take_call<renew_call>(), {},
                           {{1, make_run_name(0), end_cause::failed}});
        expect_not_lost(open, attempt_outcome::failed);
        expect_no_fate();
    }

    void unsettled_run_that_restarted_upstream_has_run_is_not_lost()
    {
        claim_upstream();
        attempt_id const open = start_run(0);
        reply_as_restarted(take_call<renew_call>());
        reply_as_restarted(take_call<renew_call>(), {{make_run_name(0), 5}});
        reply_as_restarted(take_claim());
        expect_not_lost(open, attempt_outcome::interrupted);
        expect_no_fate();
    }

    void run_that_upstream_has_ended_is_not_lost()
    {
        claim_upstream();
        attempt_id const failed = start_accepted_run(0);
        attempt_id const expired = start_accepted_run(1);
        reply_to_renewal(take_call<renew_call>(), {},
                         {{1, make_run_name(0), end_cause::failed},
                          {2, make_run_name(1), end_cause::expired}});
        expect_not_lost(failed, attempt_outcome::failed);
        expect_not_lost(expired, attempt_outcome::interrupted);
    }

    void run_that_upstream_no_longer_lists_is_not_lost()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        advance_by(10ms);
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 5}});
        advance_by(10ms);
        reply_to_renewal(take_call<renew_call>(), {{make_run_name(0), 6}});
        advance_by(10ms);
        reply_to_renewal(take_call<renew_call>(), {});
        advance_by(10ms);
        reply_to_renewal(take_call<renew_call>(), {});
        expect_not_lost(attempt, attempt_outcome::interrupted);
    }

    void refused_run_is_not_lost()
    {
        claim_upstream();
        attempt_id const full = start_run(0);
        reply(take_call<start_call>(), call_outcome::no_capacity);
        attempt_id const unreachable = start_run(1);
        reply(take_call<start_call>(), call_outcome::unreachable);
        expect_not_lost(full, attempt_outcome::not_run);
        expect_not_lost(unreachable, attempt_outcome::not_run);
    }

    void run_on_fenced_upstream_is_not_lost()
    {
        claim_upstream();
        attempt_id const accepted = start_accepted_run(0);
        attempt_id const open = start_run(1);
        reply(take_call<renew_call>(), call_outcome::fenced);
        expect_not_lost(accepted, attempt_outcome::unknown);
        expect_not_lost(open, attempt_outcome::unknown);
        expect_no_fate();
    }

    void run_whose_stop_was_accepted_before_restart_is_not_lost()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        stop(m_state, attempt, m_now, m_out);
        reply(take_call<stop_call>());
        reply_as_restarted(take_call<renew_call>());
        expect_not_lost(attempt, attempt_outcome::interrupted);
        expect_no_fate();
    }

    void run_whose_stop_was_lost_before_restart_is_lost()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        stop(m_state, attempt, m_now, m_out);
        reply(take_call<stop_call>(), call_outcome::lost);
        reply_as_restarted(take_call<renew_call>());
        expect_lost(attempt, attempt_outcome::interrupted);
        expect_fate(upstream_fate::crashed);
    }

    // The clock in the reply shows that the restarted upstream has sent it.
    void run_whose_stop_another_incarnation_accepted_is_lost()
    {
        claim_upstream();
        attempt_id const attempt = start_accepted_run(0);
        stop(m_state, attempt, m_now, m_out);
        upstream_reply accepted =
            make_reply(take_call<stop_call>(), call_outcome::accepted);
        accepted.m_clock = 5;
        receive(m_state, accepted, m_now, m_out);
        reply_as_restarted(take_call<renew_call>());
        expect_lost(attempt, attempt_outcome::interrupted);
    }
};

// Guards against a loss whose fate is never reported, so that its tasks are withheld, and
// against a cut link that is counted as a crash.
class lost_upstream_fate_test : public lost_upstream_fixture
{
    CPPUNIT_TEST_SUITE(lost_upstream_fate_test);
    CPPUNIT_TEST(upstream_that_serves_again_after_lapsed_lease_has_survived);
    CPPUNIT_TEST(later_incarnation_after_lapsed_lease_shows_crash);
    CPPUNIT_TEST(registration_of_later_incarnation_after_lapsed_lease_shows_crash);
    CPPUNIT_TEST(other_upstream_at_address_after_lapsed_lease_shows_crash);
    CPPUNIT_TEST(departure_after_lapsed_lease_shows_crash);
    CPPUNIT_TEST(upstream_that_was_lost_without_runs_has_no_fate);
    CPPUNIT_TEST_SUITE_END();

    void lapse_lease_of_one_run()
    {
        claim_upstream();
        start_accepted_run(0);
        lapse_lease();
        expect_no_fate();
    }

public:
    void upstream_that_serves_again_after_lapsed_lease_has_survived()
    {
        lapse_lease_of_one_run();
        reply(take_claim());
        CPPUNIT_ASSERT(is_available());
        reply(take_call<renew_call>());
        expect_fate(upstream_fate::survived);
    }

    void later_incarnation_after_lapsed_lease_shows_crash()
    {
        lapse_lease_of_one_run();
        reply_as_restarted(take_claim());
        CPPUNIT_ASSERT(!is_available());
        assign_upstream(restarted);
        CPPUNIT_ASSERT(is_available());
        reply_as_restarted(take_call<renew_call>());
        expect_fate(upstream_fate::crashed);
    }

    void registration_of_later_incarnation_after_lapsed_lease_shows_crash()
    {
        lapse_lease_of_one_run();
        assign_upstream(restarted);
        expect_fate(upstream_fate::crashed);
    }

    void other_upstream_at_address_after_lapsed_lease_shows_crash()
    {
        lapse_lease_of_one_run();
        reply(take_claim(), call_outcome::other_incarnation);
        reply(take_claim(), call_outcome::other_incarnation);
        expect_fate(upstream_fate::crashed);
    }

    void departure_after_lapsed_lease_shows_crash()
    {
        lapse_lease_of_one_run();
        record_departure(m_state, "another", m_now, m_out);
        expect_no_fate();
        record_departure(m_state, "up", m_now, m_out);
        record_departure(m_state, "up", m_now, m_out);
        expect_fate(upstream_fate::crashed);
    }

    void upstream_that_was_lost_without_runs_has_no_fate()
    {
        claim_upstream();
        reply_as_restarted(take_call<renew_call>());
        assign_upstream(restarted + 1);
        reply(take_call<renew_call>(), call_outcome::other_incarnation);
        record_departure(m_state, "up", m_now, m_out);
        expect_no_fate();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_run_test);
CPPUNIT_TEST_SUITE_REGISTRATION(lost_upstream_fate_test);

} // namespace

} // namespace cassiahub::lease
