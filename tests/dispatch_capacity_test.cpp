/// \file Upstreams whose capacity shrinks and grows while tasks run on them.

#include "dispatch_fixture.hpp"

namespace cassiahub::dispatch
{

class capacity_fixture : public dispatch_fixture
{
protected:
    /// Applies \p capacity as that of upstream \p index.
    void set_capacity(std::size_t index, resources const & capacity)
    {
        m_configuration.m_upstreams[index].m_capacity = capacity;
        apply();
        step();
    }

    void set_all_capacities(resources const & capacity)
    {
        for (config::upstream & upstream : m_configuration.m_upstreams)
        {
            upstream.m_capacity = capacity;
        }
        apply();
        step();
    }

    static job_spec make_spec_with_demand(resources const & demand)
    {
        job_spec spec = make_spec("check", 1);
        spec.m_tasks[0].m_demand = demand;
        return spec;
    }

    upstream_state & upstream_named(std::string const & name)
    {
        return m_state.m_upstreams[m_state.m_upstream_index.find(name)->second];
    }

public:
    void setUp() override
    {
        m_configuration = make_configuration();
        for (config::upstream & upstream : m_configuration.m_upstreams)
        {
            upstream.m_slots = 8;
            upstream.m_capacity = {4000, 4096, 0};
        }
        apply();
    }
};

// Guards against starts that bring an upstream over a capacity that has shrunk.
class shrunk_capacity_test : public capacity_fixture
{
    CPPUNIT_TEST_SUITE(shrunk_capacity_test);
    CPPUNIT_TEST(upstream_shrunk_to_zero_keeps_its_runs_and_gets_no_start);
    CPPUNIT_TEST(upstream_shrunk_below_its_use_gets_no_start_until_use_fits);
    CPPUNIT_TEST(upstream_shrunk_counts_cancelled_attempt_until_it_ends);
    CPPUNIT_TEST(upstream_grown_again_gets_starts);
    CPPUNIT_TEST(load_report_without_any_capacity_tells_no_free_slot);
    CPPUNIT_TEST(probe_target_without_capacity_does_not_hide_the_next_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void upstream_shrunk_to_zero_keeps_its_runs_and_gets_no_start()
    {
        submit("check", 3);
        auto const starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), starts.size());
        set_all_capacities({0, 4096, 0});
        submit("check", 1);
        CPPUNIT_ASSERT(take_starts().empty());
        m_out.m_finished.clear();
        for (attempt_start const & start : starts)
        {
            finish(start.m_attempt, attempt_outcome::succeeded);
        }
        CPPUNIT_ASSERT(!take_answer().m_error);
        CPPUNIT_ASSERT(take_starts().empty());
    }

    void upstream_shrunk_below_its_use_gets_no_start_until_use_fits()
    {
        set_capacity(1, {0, 0, 0});
        set_capacity(2, {0, 0, 0});
        submit("check", 4);
        auto const starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), starts.size());
        set_capacity(0, {2500, 4096, 0});
        submit("check", 1);
        finish(starts[0].m_attempt, attempt_outcome::succeeded);
        finish(starts[1].m_attempt, attempt_outcome::succeeded);
        CPPUNIT_ASSERT(take_starts().empty());
        finish(starts[2].m_attempt, attempt_outcome::succeeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_starts().size());
    }

    void upstream_shrunk_counts_cancelled_attempt_until_it_ends()
    {
        set_capacity(1, {0, 0, 0});
        set_capacity(2, {0, 0, 0});
        job_key const key = submit("check", 1);
        attempt_start const start = take_one_start();
        set_capacity(0, {1500, 4096, 0});
        cancel_job(m_state, key, m_now, m_out);
        submit("check", 1);
        CPPUNIT_ASSERT(take_starts().empty());
        finish(start.m_attempt, attempt_outcome::interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_starts().size());
    }

    void upstream_grown_again_gets_starts()
    {
        set_capacity(1, {0, 0, 0});
        set_capacity(2, {0, 0, 0});
        set_capacity(0, {1000, 4096, 0});
        submit("check", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_starts().size());
        set_capacity(0, {4000, 4096, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_starts().size());
    }

    // An instance without any capacity looked like one that reports no capacity, so its
    // peers forwarded tasks of every size to it.
    void load_report_without_any_capacity_tells_no_free_slot()
    {
        set_all_capacities({0, 0, 0});
        CPPUNIT_ASSERT_EQUAL(0U, total_load(m_state).m_free_slots);
    }

    // Of several upstreams to probe only the first was looked at; without room it kept
    // the others ejected.
    void probe_target_without_capacity_does_not_hide_the_next_one()
    {
        for (char const * const name : {"up-0", "up-1", "up-2"})
        {
            upstream_named(name).m_health.m_phase = health_phase::probing;
        }
        upstream_named("up-0").m_definition.m_capacity = {0, 0, 0};
        set_capacity(0, {0, 0, 0});
        submit("check", 1);
        CPPUNIT_ASSERT(take_one_start().m_upstream != "up-0");
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(shrunk_capacity_test);

// Guards against jobs that are given up, or that block others, because a capacity has
// shrunk for a while.
class large_job_test : public capacity_fixture
{
    CPPUNIT_TEST_SUITE(large_job_test);
    CPPUNIT_TEST(admission_demand_above_shrunk_capacity_is_refused_as_not_run);
    CPPUNIT_TEST(admission_demand_above_every_capacity_never_fits);
    CPPUNIT_TEST(
        admission_demand_above_capacity_of_removed_upstream_is_refused_as_not_run);
    CPPUNIT_TEST(admission_long_after_capacity_shrank_never_fits);
    CPPUNIT_TEST(admission_after_capacity_grew_again_passes);
    CPPUNIT_TEST(queued_job_too_large_since_shrink_is_refused_at_its_turn_as_not_run);
    CPPUNIT_TEST(queued_job_too_large_since_shrink_does_not_block_smaller_jobs);
    CPPUNIT_TEST(reservation_of_upstream_that_shrinks_moves_to_another_one);
    CPPUNIT_TEST_SUITE_END();

    void assert_admission(resources const & demand, std::error_code expected) const
    {
        CPPUNIT_ASSERT_EQUAL(
            expected, check_admission(m_state, make_spec_with_demand(demand), m_now));
    }

public:
    // A job was answered "failed" although it would have fitted a moment later.
    void admission_demand_above_shrunk_capacity_is_refused_as_not_run()
    {
        set_all_capacities({1000, 4096, 0});
        assert_admission({2000, 512, 0}, job_errc::overloaded);
        assert_admission({1000, 512, 0}, {});
    }

    void admission_demand_above_every_capacity_never_fits()
    {
        set_all_capacities({1000, 4096, 0});
        assert_admission({5000, 512, 0}, job_errc::never_fits);
    }

    void admission_demand_above_capacity_of_removed_upstream_is_refused_as_not_run()
    {
        set_capacity(2, {8000, 4096, 0});
        m_configuration.m_upstreams.pop_back();
        apply();
        assert_admission({6000, 512, 0}, job_errc::overloaded);
    }

    void admission_long_after_capacity_shrank_never_fits()
    {
        set_all_capacities({1000, 4096, 0});
        step(601s);
        assert_admission({2000, 512, 0}, job_errc::never_fits);
    }

    void admission_after_capacity_grew_again_passes()
    {
        set_all_capacities({0, 0, 0});
        assert_admission({2000, 512, 0}, job_errc::overloaded);
        set_all_capacities({4000, 4096, 0});
        assert_admission({2000, 512, 0}, {});
    }

    void queued_job_too_large_since_shrink_is_refused_at_its_turn_as_not_run()
    {
        job_key const first = submit("check", 12);
        submit(make_spec_with_demand({3000, 512, 0}));
        set_all_capacities({2000, 4096, 0});
        cancel_job(m_state, first, m_now, m_out);
        for (attempt_start const & start : take_starts())
        {
            m_out.m_finished.clear();
            finish(start.m_attempt, attempt_outcome::interrupted);
            if (!m_out.m_finished.empty())
            {
                break;
            }
        }
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::overloaded);
        CPPUNIT_ASSERT(answer.m_ran == run_state::no);
    }

    // A job whose task fitted no upstream any more stayed at the head of its queue until
    // its deadline, and the jobs behind it waited with it.
    void queued_job_too_large_since_shrink_does_not_block_smaller_jobs()
    {
        submit("check", 12);
        auto const starts = take_starts();
        submit(make_spec_with_demand({3000, 512, 0}));
        submit("check", 1);
        set_all_capacities({2000, 4096, 0});
        for (attempt_start const & start : starts)
        {
            finish(start.m_attempt, attempt_outcome::succeeded);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_starts().size());
    }

    // A reserved upstream that had shrunk below the demand stayed closed to every task,
    // and the job got no other upstream.
    void reservation_of_upstream_that_shrinks_moves_to_another_one()
    {
        set_capacity(2, {0, 0, 0});
        submit("check", 6);
        auto const starts = take_starts();
        submit(make_spec_with_demand({4000, 512, 0}));
        step(1s);
        step(1s);
        CPPUNIT_ASSERT(m_state.m_pools.front().m_reservation.m_job != 0);
        std::uint32_t const reserved = m_state.m_pools.front().m_reservation.m_upstream;
        std::string const name = m_state.m_upstreams[reserved].m_definition.m_name;
        set_capacity(name == "up-0" ? 0 : 1, {3000, 4096, 0});
        for (attempt_start const & start : starts)
        {
            if (start.m_upstream == name)
            {
                finish(start.m_attempt, attempt_outcome::succeeded);
            }
        }
        submit("bulk", 1);
        CPPUNIT_ASSERT_EQUAL(name, take_one_start().m_upstream);
        CPPUNIT_ASSERT(m_state.m_pools.front().m_reservation.m_upstream != reserved);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(large_job_test);

} // namespace cassiahub::dispatch
