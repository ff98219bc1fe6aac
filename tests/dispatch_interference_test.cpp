/// \file Placement and health of upstreams with kinds that slow each other down.

#include "dispatch_fixture.hpp"

#include <cassiahub/interference.hpp>

namespace cassiahub::dispatch
{

class dispatch_interference_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(dispatch_interference_test);
    CPPUNIT_TEST(placement_avoids_upstream_with_interfering_kind);
    CPPUNIT_TEST(placement_uses_only_free_place_beside_interfering_kind);
    CPPUNIT_TEST(placement_without_any_upstream_leaves_task_queued);
    CPPUNIT_TEST(placement_without_avoiding_ignores_evidence);
    CPPUNIT_TEST(placement_follows_rules_of_operators);
    CPPUNIT_TEST(slowness_explained_by_neighbours_does_not_eject);
    CPPUNIT_TEST(finished_runs_are_observed_with_their_neighbours);
    CPPUNIT_TEST_SUITE_END();

    /// Tasks take 7 of the 16 cores of an upstream, so that the fit decides without
    /// evidence.
    job_key submit(std::string kind, std::size_t tasks)
    {
        job_spec spec = make_spec(std::move(kind), tasks);
        for (task_spec & task : spec.m_tasks)
        {
            task.m_demand = {7000, 512, 0};
        }
        return dispatch_fixture::submit(std::move(spec));
    }

    void configure(config::interference_mode mode, bool pinned = false)
    {
        for (config::upstream & upstream : m_configuration.m_upstreams)
        {
            upstream.m_slots = 8;
        }
        m_configuration.m_dispatch.m_interference.m_mode = mode;
        if (pinned)
        {
            m_configuration.m_dispatch.m_interference.m_keep_apart = {{"bulk", "check"}};
        }
        apply();
    }

    /// Evidence of another instance that check slows bulk down by half.
    void learn_pair()
    {
        interference::summary evidence{1, 1, {"bulk", "check"}, {}};
        evidence.m_pairs.push_back({0, 1, {40, 30, 15, 6, 20}, {}});
        interference::merge(m_state.m_interference, {"peer"}, evidence, m_now);
        step(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_pair_changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("bulk"), m_out.m_pair_changes[0].m_kind);
        m_out = {};
    }

    std::vector<std::string> start(std::string const & kind, std::size_t tasks)
    {
        submit(kind, tasks);
        std::vector<std::string> upstreams;
        for (attempt_start const & started : take_starts())
        {
            upstreams.push_back(started.m_upstream);
        }
        return upstreams;
    }

    /// \returns how many of 20 tasks of bulk start beside a task of check, each alone
    /// with it on three upstreams.
    int count_shared()
    {
        int shared = 0;
        for (int round = 0; round < 20; ++round)
        {
            submit("check", 1);
            attempt_start const check = take_one_start();
            submit("bulk", 1);
            attempt_start const bulk = take_one_start();
            shared += bulk.m_upstream == check.m_upstream ? 1 : 0;
            m_now += 300ms;
            finish(check.m_attempt, attempt_outcome::succeeded);
            finish(bulk.m_attempt, attempt_outcome::succeeded);
        }
        return shared;
    }

public:
    void placement_avoids_upstream_with_interfering_kind()
    {
        configure(config::interference_mode::avoid);
        CPPUNIT_ASSERT(count_shared() > 0); // best fit
        learn_pair();
        CPPUNIT_ASSERT_EQUAL(0, count_shared());
        CPPUNIT_ASSERT(m_state.m_counters.m_moved_placements > 0);
    }

    // Guards against refusing or delaying a task because of interference.
    void placement_uses_only_free_place_beside_interfering_kind()
    {
        configure(config::interference_mode::avoid);
        learn_pair();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), start("check", 3).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), start("bulk", 3).size());
    }

    // Guards against a division by zero at an instance that owns no upstream.
    void placement_without_any_upstream_leaves_task_queued()
    {
        m_state = {};
        m_configuration.m_dispatch.m_interference.m_mode =
            config::interference_mode::avoid;
        apply_configuration(
            m_state, std::make_shared<config::fleet_configuration>(m_configuration),
            m_now);
        learn_pair();
        set_peer(m_state, {{"peer"}, "north", {{1, 0}}});
        CPPUNIT_ASSERT(start("check", 2).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_forwards.size());
    }

    void placement_without_avoiding_ignores_evidence()
    {
        configure(config::interference_mode::observe);
        learn_pair();
        CPPUNIT_ASSERT(count_shared() > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_state.m_counters.m_moved_placements);
    }

    void placement_follows_rules_of_operators()
    {
        configure(config::interference_mode::avoid, true);
        step(1s);
        CPPUNIT_ASSERT_EQUAL(0, count_shared());
    }

    // Guards against ejecting an upstream because of the kinds that share it.
    void slowness_explained_by_neighbours_does_not_eject()
    {
        double slowness[2] = {};
        for (bool const learned : {false, true})
        {
            m_state = {};
            configure(config::interference_mode::avoid);
            if (learned)
            {
                learn_pair();
            }
            m_configuration.m_upstreams.resize(1);
            apply();
            for (int round = 0; round < 12; ++round)
            {
                submit("check", 1);
                attempt_id const check = take_one_start().m_attempt;
                submit("bulk", 1);
                attempt_id const bulk = take_one_start().m_attempt;
                m_now += 300ms;
                finish(bulk, attempt_outcome::succeeded);
                finish(check, attempt_outcome::succeeded);
            }
            slowness[learned] = m_state.m_upstreams[0].m_health.m_slowness;
        }
        CPPUNIT_ASSERT(slowness[1] < 0.95 * slowness[0]);
    }

    void finished_runs_are_observed_with_their_neighbours()
    {
        configure(config::interference_mode::observe);
        submit("check", 6);
        std::vector<attempt_start> const starts = take_starts();
        m_now += 200ms;
        finish(starts[0].m_attempt, attempt_outcome::succeeded);
        finish(starts[1].m_attempt, attempt_outcome::failed);
        interference::interference_state const & state = m_state.m_interference;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), state.m_counters.m_observed);
        std::size_t runs = 0;
        for (interference::run_block const & block : state.m_blocks)
        {
            for (interference::finished_run const & run : block.m_runs)
            {
                ++runs;
                CPPUNIT_ASSERT_EQUAL(std::uint8_t(1), run.m_neighbour_count);
                CPPUNIT_ASSERT_EQUAL(1.0F, run.m_neighbours[0].m_share);
                CPPUNIT_ASSERT(run.m_beside_own_job);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), runs);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_interference_test);

} // namespace cassiahub::dispatch
