/// \file Fair queue, placement, hedging and forwarding of one dispatcher.

#include "dispatch_fixture.hpp"

namespace cassiahub::dispatch
{

// Guards against a kind or a tenant that starves the others.
class fair_queue_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(fair_queue_test);
    CPPUNIT_TEST(flood_of_least_urgent_kind_yields_next_slot_to_urgent_kind);
    CPPUNIT_TEST(flood_of_most_urgent_kind_yields_share_to_other_kind);
    CPPUNIT_TEST(tenants_of_one_kind_share_by_weight);
    CPPUNIT_TEST(jobs_of_one_tenant_finish_in_order_of_arrival);
    CPPUNIT_TEST(large_demand_without_capacity_does_not_block_others);
    CPPUNIT_TEST(large_demand_among_small_tasks_is_started);
    CPPUNIT_TEST_SUITE_END();

    std::vector<attempt_start> m_running;

    /// Advances the time by 100 ms and finishes the oldest running attempt.
    /// \returns the attempt that starts in its place.
    attempt_start advance_to_next_start()
    {
        std::vector<attempt_start> const started = take_starts();
        m_running.insert(m_running.end(), started.begin(), started.end());
        attempt_id const oldest = m_running.front().m_attempt;
        m_running.erase(m_running.begin());
        m_now += 100ms;
        finish(oldest, attempt_outcome::succeeded);
        m_out.m_finished.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_starts.size());
        return m_out.m_starts.front();
    }

    std::vector<attempt_start> advance_to_next_starts(std::size_t count)
    {
        std::vector<attempt_start> starts;
        while (starts.size() < count)
        {
            starts.push_back(advance_to_next_start());
        }
        return starts;
    }

public:
    void flood_of_least_urgent_kind_yields_next_slot_to_urgent_kind()
    {
        submit("bulk", 60);
        advance_to_next_starts(20);
        submit("check", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("check"), advance_to_next_start().m_kind);
    }

    void flood_of_most_urgent_kind_yields_share_to_other_kind()
    {
        m_configuration.m_dispatch.m_share_window = 0ms;
        m_state = {};
        apply();
        submit("lodge", 90);
        submit("bulk", 90);
        auto const starts = advance_to_next_starts(60);
        // Both kinds have the same share: each gets half of the starts, within three.
        CPPUNIT_ASSERT(count_kind(starts, "bulk") >= 27);
        CPPUNIT_ASSERT(count_kind(starts, "lodge") >= 27);
    }

    void tenants_of_one_kind_share_by_weight()
    {
        m_configuration.m_tenants[1].m_weight = 3;
        apply();
        submit("check", 90, "acme");
        submit("check", 90, "zeta");
        auto const starts = advance_to_next_starts(60);
        auto const heavy = std::count_if(starts.begin(), starts.end(),
                                         [](attempt_start const & start)
                                         { return start.m_job.m_tenant == "zeta"; });
        CPPUNIT_ASSERT(heavy >= 42 && heavy <= 48);
    }

    void jobs_of_one_tenant_finish_in_order_of_arrival()
    {
        submit("check", 6);
        take_starts().swap(m_running);
        job_key const first = submit("check", 3);
        job_key const second = submit("check", 3);
        auto const starts = advance_to_next_starts(6);
        CPPUNIT_ASSERT(starts[2].m_job == first);
        CPPUNIT_ASSERT(starts[3].m_job == second);
    }

    void large_demand_without_capacity_does_not_block_others()
    {
        submit("check", 3);
        job_spec large = make_spec("lodge", 3);
        for (task_spec & task : large.m_tasks)
        {
            task.m_demand.m_millicores = 16'000;
        }
        submit(large);
        submit("bulk", 1, "zeta");
        auto const starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_kind(starts, "bulk"));
    }

    void large_demand_among_small_tasks_is_started()
    {
        submit("check", 60);
        job_spec large = make_spec("check", 1, "zeta");
        large.m_tasks[0].m_demand.m_millicores = 16'000;
        job_key const key = submit(large);
        std::vector<attempt_start> starts;
        for (int count = 0; count < 30; ++count)
        {
            auto const started = take_starts();
            m_running.insert(m_running.end(), started.begin(), started.end());
            starts.insert(starts.end(), started.begin(), started.end());
            attempt_id const oldest = m_running.front().m_attempt;
            m_running.erase(m_running.begin());
            m_now += 50ms;
            finish(oldest, attempt_outcome::succeeded);
        }
        CPPUNIT_ASSERT(std::any_of(starts.begin(), starts.end(),
                                   [&key](attempt_start const & start)
                                   { return start.m_job == key; }));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);

// Guards against hedges of non-repeatable tasks, and against hedged tasks for which both
// results are used or the first failure ends the job.
class hedging_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(hedging_test);
    CPPUNIT_TEST(straggler_is_hedged_and_loser_is_cancelled);
    CPPUNIT_TEST(hedged_task_with_one_failed_attempt_waits_for_other_attempt);
    CPPUNIT_TEST(non_repeatable_straggler_is_not_hedged);
    CPPUNIT_TEST_SUITE_END();

    /// Establishes a run time of 300 ms for \p kind, then starts a task and lets it run
    /// for more than four times as long.
    /// \returns the attempt of that task, which is still running.
    attempt_start start_straggler(std::string const & kind)
    {
        m_configuration.m_dispatch.m_hedge_budget_percent = 100;
        apply();
        for (int count = 0; count < 30; ++count)
        {
            submit(kind, 1);
            m_now += 300ms;
            finish(take_one_start().m_attempt, attempt_outcome::succeeded);
        }
        m_out = {};
        submit(kind, 1);
        attempt_start start = take_one_start();
        step(650ms); // a straggler, but its upstream is not slow: not hedged yet
        CPPUNIT_ASSERT(m_out.m_starts.empty());
        step(650ms);
        return start;
    }

public:
    void straggler_is_hedged_and_loser_is_cancelled()
    {
        attempt_start const slow = start_straggler("check");
        attempt_start const hedge = take_one_start();
        CPPUNIT_ASSERT(hedge.m_upstream != slow.m_upstream);
        finish(hedge.m_attempt, attempt_outcome::succeeded, "first");
        CPPUNIT_ASSERT_EQUAL(std::string("first"), take_answer().m_results.at(0));
        CPPUNIT_ASSERT(m_out.m_cancels.at(0).m_attempt == slow.m_attempt);
        finish(slow.m_attempt, attempt_outcome::succeeded, "second");
        CPPUNIT_ASSERT(m_out.m_finished.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.m_counters.m_late_results);
    }

    void hedged_task_with_one_failed_attempt_waits_for_other_attempt()
    {
        attempt_start const slow = start_straggler("check");
        finish(take_one_start().m_attempt, attempt_outcome::failed);
        CPPUNIT_ASSERT(m_out.m_starts.empty());
        finish(slow.m_attempt, attempt_outcome::succeeded);
        CPPUNIT_ASSERT(!take_answer().m_error);
    }

    void non_repeatable_straggler_is_not_hedged()
    {
        start_straggler("lodge");
        CPPUNIT_ASSERT(m_out.m_starts.empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(hedging_test);

// Guards against forwarded tasks that are lost, started twice or sent to a peer without
// free slots.
class forwarding_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(forwarding_test);
    CPPUNIT_TEST(task_without_local_capacity_goes_to_peer_of_same_domain_first);
    CPPUNIT_TEST(forwards_stop_at_the_reported_free_slots);
    CPPUNIT_TEST(forwards_of_two_kinds_follow_their_shares);
    CPPUNIT_TEST(forwarded_task_not_run_counts_as_no_attempt);
    CPPUNIT_TEST(peer_removed_ends_forwarded_attempts_as_unknown);
    CPPUNIT_TEST(accepted_task_succeeded_returns_result_to_sender);
    CPPUNIT_TEST(accepted_task_duplicate_is_ignored);
    CPPUNIT_TEST(accepted_task_past_send_time_is_not_run);
    CPPUNIT_TEST(accepted_task_cancelled_while_waiting_is_not_run);
    CPPUNIT_TEST(accepted_task_of_unknown_peer_ends_when_that_peer_is_removed);
    CPPUNIT_TEST(accepted_run_beyond_its_time_limit_is_cancelled_at_its_upstream);
    CPPUNIT_TEST(accepted_task_without_configuration_is_not_run_when_cancelled);
    CPPUNIT_TEST_SUITE_END();

    void add_peer(char const * name, char const * domain, std::uint32_t free_slots)
    {
        set_peer(m_state, {{name}, domain, {{free_slots, 0}}});
    }

    attempt_start make_forwarded(std::uint64_t serial) const
    {
        attempt_start start;
        start.m_attempt = {77, serial};
        start.m_job = {"acme", "south", "theirs"};
        start.m_kind = "lodge";
        start.m_demand = {1000, 512, 0};
        start.m_deadline = m_now + 10s;
        start.m_send_before = m_now + 1s;
        return start;
    }

    attempt_result take_forward_result()
    {
        auto results = std::exchange(m_out.m_forward_results, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), results.size());
        CPPUNIT_ASSERT_EQUAL(std::string("other"), results[0].m_to.m_value);
        return results[0].m_result;
    }

public:
    void setUp() override
    {
        dispatch_fixture::setUp();
        m_state.m_domain = "north";
        add_peer("other", "south", 0);
    }

    void task_without_local_capacity_goes_to_peer_of_same_domain_first()
    {
        add_peer("far", "south", 50);
        add_peer("near", "north", 1);
        submit("check", 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_out.m_starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_out.m_forwards.size());
        CPPUNIT_ASSERT_EQUAL(std::string("near"), m_out.m_forwards[0].m_to.m_value);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_out.m_forwards[1].m_to.m_value);
    }

    void forwards_stop_at_the_reported_free_slots()
    {
        add_peer("near", "north", 3);
        submit("check", 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_out.m_forwards.size());
        CPPUNIT_ASSERT_EQUAL(11U, total_load(m_state).m_queued_tasks);
    }

    void forwards_of_two_kinds_follow_their_shares()
    {
        m_configuration.m_dispatch.m_share_window = 0ms;
        apply();
        submit("lodge", 90);
        submit("bulk", 90, "zeta");
        add_peer("near", "north", 30);
        step();
        auto const bulk = std::count_if(m_out.m_forwards.begin(), m_out.m_forwards.end(),
                                        [](task_forward const & forward)
                                        { return forward.m_start.m_kind == "bulk"; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), m_out.m_forwards.size());
        CPPUNIT_ASSERT(bulk >= 13);
    }

    void forwarded_task_not_run_counts_as_no_attempt()
    {
        add_peer("near", "north", 10);
        submit("lodge", 7);
        for (int count = 0; count < 5; ++count)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_forwards.size());
            attempt_start const start = m_out.m_forwards[0].m_start;
            CPPUNIT_ASSERT(start.m_send_before <= m_now + 500ms);
            m_out = {};
            finish(start.m_attempt, attempt_outcome::not_run);
            step(640ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_state.m_jobs.size());
    }

    void peer_removed_ends_forwarded_attempts_as_unknown()
    {
        add_peer("near", "north", 1);
        submit("lodge", 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_forwards.size());
        remove_peer(m_state, {"near"}, m_now, m_random, m_out);
        assert_invariants();
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::outcome_unknown);
    }

    void accepted_task_succeeded_returns_result_to_sender()
    {
        accept_forwarded(m_state, {"other"}, make_forwarded(1), m_now, m_out);
        step();
        CPPUNIT_ASSERT_EQUAL(std::string("address-of-"),
                             take_one_start().m_upstream_address.substr(0, 11));
        finish({77, 1}, attempt_outcome::succeeded, "theirs");
        CPPUNIT_ASSERT_EQUAL(std::string("theirs"), take_forward_result().m_payload);
    }

    void accepted_task_duplicate_is_ignored()
    {
        for (int repeat = 0; repeat < 3; ++repeat)
        {
            accept_forwarded(m_state, {"other"}, make_forwarded(1), m_now, m_out);
            accept_forwarded(m_state, {"other"}, make_forwarded(1), m_now, m_out);
            step();
            if (repeat == 1)
            {
                finish({77, 1}, attempt_outcome::succeeded);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_starts.size());
    }

    void accepted_task_past_send_time_is_not_run()
    {
        submit("check", 20);
        accept_forwarded(m_state, {"other"}, make_forwarded(1), m_now, m_out);
        step(1s);
        CPPUNIT_ASSERT(take_forward_result().m_outcome == attempt_outcome::not_run);
    }

    void accepted_task_without_configuration_is_not_run_when_cancelled()
    {
        m_state = {};
        accept_forwarded(m_state, {"other"}, make_forwarded(1), m_now, m_out);
        step();
        cancel_forwarded(m_state, {77, 1}, m_now, m_out);
        CPPUNIT_ASSERT(take_forward_result().m_outcome == attempt_outcome::not_run);
    }

    void accepted_task_cancelled_while_waiting_is_not_run()
    {
        submit("check", 20);
        accept_forwarded(m_state, {"other"}, make_forwarded(1), m_now, m_out);
        cancel_forwarded(m_state, {77, 1}, m_now, m_out);
        assert_invariants();
        CPPUNIT_ASSERT(take_forward_result().m_outcome == attempt_outcome::not_run);
    }

    // Guards against tasks that are started or continue for an instance that failed
    // before its load was known.
    void accepted_task_of_unknown_peer_ends_when_that_peer_is_removed()
    {
        accept_forwarded(m_state, {"unknown"}, make_forwarded(1), m_now, m_out);
        step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_starts().size());
        submit("check", 20);
        take_starts();
        accept_forwarded(m_state, {"unknown"}, make_forwarded(2), m_now, m_out);
        step();
        remove_peer(m_state, {"unknown"}, m_now, m_random, m_out);
        assert_invariants();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_state.m_forwarded.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_cancels.size());
    }

    // Guards against a run that continues on its upstream after its attempt was given up.
    void accepted_run_beyond_its_time_limit_is_cancelled_at_its_upstream()
    {
        accept_forwarded(m_state, {"other"}, make_forwarded(1), m_now, m_out);
        step();
        time_point const timeout = m_state.m_attempts.at({77, 1}).m_timeout;
        step(timeout - m_now);
        CPPUNIT_ASSERT(!m_state.m_attempts.contains({77, 1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_cancels.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(forwarding_test);

} // namespace cassiahub::dispatch
