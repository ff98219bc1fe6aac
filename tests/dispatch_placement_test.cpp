#include "dispatch_fixture.hpp"

namespace cassiahub::dispatch
{

namespace
{

// Loads that the choice of an upstream answers: tasks that need half an upstream, more or
// less, and upstreams of which some are slow. The upstreams have 16 cores and eight
// slots.
class dispatch_placement_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(dispatch_placement_test);
    CPPUNIT_TEST(task_with_tight_fit_leaves_another_upstream_whole);
    CPPUNIT_TEST(mixed_demands_at_high_load_wait_for_no_fragmented_room);
    CPPUNIT_TEST(task_with_slack_runs_on_slow_upstream_that_fits_best);
    CPPUNIT_TEST(task_that_a_slow_upstream_would_delay_runs_on_a_fast_one);
    CPPUNIT_TEST(task_with_time_left_waits_for_a_fast_upstream);
    CPPUNIT_TEST(task_without_time_left_starts_on_slow_upstream);
    CPPUNIT_TEST(task_without_objective_takes_any_upstream);
    CPPUNIT_TEST(small_tasks_are_spread);
    CPPUNIT_TEST(large_pool_places_every_task_that_fits);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double slow = 1.8;

    job_spec make_demanding(std::uint32_t millicores, std::string kind = "check")
    {
        job_spec spec = make_spec(std::move(kind), 1);
        spec.m_tasks[0].m_demand = {millicores, 64, 0};
        spec.m_tasks[0].m_declared_run_time = 300ms;
        return spec;
    }

    upstream_state & upstream(std::string_view name)
    {
        return m_state.m_upstreams[m_state.m_upstream_index.find(name)->second];
    }

    /// Sets an objective of \p stretch times the run time plus 60 ms for the kind
    /// "check".
    void set_stretch(double stretch)
    {
        for (config::work_kind & kind : m_configuration.m_kinds)
        {
            kind.m_objective_stretch = kind.m_name == "check" ? stretch : 0;
            kind.m_objective_slack = 60ms;
        }
        apply();
    }

    std::string place(job_spec spec)
    {
        submit(std::move(spec));
        return take_one_start().m_upstream;
    }

public:
    void setUp() override
    {
        m_configuration = make_configuration();
        for (config::upstream & upstream : m_configuration.m_upstreams)
        {
            upstream.m_slots = 8;
        }
        apply();
    }

    void task_with_tight_fit_leaves_another_upstream_whole()
    {
        std::string const first = place(make_demanding(9000));
        CPPUNIT_ASSERT_EQUAL(first, place(make_demanding(7000)));
        CPPUNIT_ASSERT(first != place(make_demanding(4000)));
    }

    // With tasks spread over the upstreams the large ones find none that is whole.
    void mixed_demands_at_high_load_wait_for_no_fragmented_room()
    {
        for (std::uint32_t const demand : {6000, 10'000, 7000, 9000, 16'000})
        {
            place(make_demanding(demand));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_state.m_queued_tasks);
    }

    void task_with_slack_runs_on_slow_upstream_that_fits_best()
    {
        set_stretch(4);
        std::string const used = place(make_demanding(9000));
        upstream(used).m_health.m_slowness = slow;
        CPPUNIT_ASSERT_EQUAL(used, place(make_demanding(7000)));
    }

    void task_that_a_slow_upstream_would_delay_runs_on_a_fast_one()
    {
        set_stretch(1.3);
        std::string const used = place(make_demanding(9000));
        upstream(used).m_health.m_slowness = slow;
        CPPUNIT_ASSERT(used != place(make_demanding(7000)));
    }

    void task_with_time_left_waits_for_a_fast_upstream()
    {
        set_stretch(1.3);
        for (char const * const name : {"up-0", "up-1", "up-2"})
        {
            upstream(name).m_health.m_slowness = slow;
        }
        submit(make_demanding(7000));
        CPPUNIT_ASSERT(take_starts().empty());
        upstream("up-1").m_health.m_slowness = 1;
        step(20ms);
        CPPUNIT_ASSERT_EQUAL(std::string("up-1"), take_one_start().m_upstream);
    }

    void task_without_time_left_starts_on_slow_upstream()
    {
        set_stretch(1.3);
        for (char const * const name : {"up-0", "up-1", "up-2"})
        {
            upstream(name).m_health.m_slowness = slow;
        }
        submit(make_demanding(7000));
        step(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_starts().size());
    }

    void task_without_objective_takes_any_upstream()
    {
        for (char const * const name : {"up-0", "up-1", "up-2"})
        {
            upstream(name).m_health.m_slowness = slow;
        }
        CPPUNIT_ASSERT(!place(make_demanding(7000)).empty());
    }

    void small_tasks_are_spread()
    {
        int on_one_upstream = 0;
        for (int round = 0; round < 100; ++round)
        {
            submit("check", 3);
            auto const starts = take_starts();
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), starts.size());
            on_one_upstream +=
                std::any_of(m_state.m_upstreams.begin(), m_state.m_upstreams.end(),
                            [](upstream_state const & upstream)
                            { return upstream.m_running == 3; })
                    ? 1
                    : 0;
            m_now += 300ms;
            for (attempt_start const & start : starts)
            {
                finish(start.m_attempt, attempt_outcome::succeeded);
            }
        }
        CPPUNIT_ASSERT(on_one_upstream < 10);
    }

    void large_pool_places_every_task_that_fits()
    {
        constexpr std::size_t count = 60;
        config::upstream const model = m_configuration.m_upstreams.front();
        for (std::size_t index = 0; index < count; ++index)
        {
            config::upstream added = model;
            added.m_name = "vp-" + std::to_string(100 + index);
            m_configuration.m_upstreams.push_back(std::move(added));
        }
        apply();
        for (std::size_t job = 0; job < 2 * count; ++job)
        {
            place(make_demanding(8000));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_placement_test);

} // namespace

} // namespace cassiahub::dispatch
