/// \file Objectives of kinds, and tasks forwarded to busy peers.

#include "dispatch_fixture.hpp"

namespace cassiahub::dispatch
{

namespace
{

// Guards against queues that answer every job too late after a burst, and against urgent
// jobs with many tasks that wait for the upstreams of one instance only.
class dispatch_objective_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(dispatch_objective_test);
    CPPUNIT_TEST(job_past_objective_is_refused_while_others_wait);
    CPPUNIT_TEST(job_past_objective_without_competitors_stays_queued);
    CPPUNIT_TEST(late_job_is_refused_one_objective_later);
    CPPUNIT_TEST(late_job_yields_to_job_on_time);
    CPPUNIT_TEST(started_job_is_not_refused_for_its_objective);
    CPPUNIT_TEST(job_of_kind_without_objective_waits_until_its_deadline);
    CPPUNIT_TEST(task_of_most_urgent_kind_is_forwarded_to_busy_peer);
    CPPUNIT_TEST(task_of_less_urgent_kind_is_not_forwarded_to_busy_peer);
    CPPUNIT_TEST(busy_peer_shutting_down_gets_no_task);
    CPPUNIT_TEST(forwarded_task_succeeded_adds_no_run_time_observation);
    CPPUNIT_TEST(kind_without_observations_uses_declared_run_time);
    CPPUNIT_TEST(current_load_counts_further_typical_tasks_that_fit);
    CPPUNIT_TEST_SUITE_END();

    std::vector<attempt_start> m_running;

    /// Occupies all six slots with tasks of kind bulk.
    void occupy_all_slots()
    {
        submit("bulk", 6);
        m_running = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_running.size());
    }

    /// Reports success of the last attempt in m_running.
    void succeed_last_attempt()
    {
        attempt_id const id = m_running.back().m_attempt;
        m_running.pop_back();
        finish(id, attempt_outcome::succeeded);
    }

    void add_busy_peer(bool accepts_tasks = true)
    {
        set_peer(m_state, {{"peer"}, "north", {{}}, accepts_tasks});
    }

public:
    void setUp() override
    {
        dispatch_fixture::setUp();
        for (config::work_kind & kind : m_configuration.m_kinds)
        {
            // Expected run time 100 ms, objective 300 ms: a job is on time if it starts
            // within 200 ms.
            kind.m_expected_run_time = 100ms;
            kind.m_objective_stretch = kind.m_name == "bulk" ? 0 : 2;
            kind.m_objective_slack = 100ms;
        }
        apply();
    }

    void job_past_objective_is_refused_while_others_wait()
    {
        occupy_all_slots();
        submit("check", 1);
        step(150ms);
        submit("check", 1);
        step(100ms);
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::deadline_unreachable);
        CPPUNIT_ASSERT(answer.m_ran == run_state::no);
    }

    void job_past_objective_without_competitors_stays_queued()
    {
        occupy_all_slots();
        submit("check", 1);
        step(250ms);
        CPPUNIT_ASSERT(m_out.m_finished.empty());
        succeed_last_attempt();
        CPPUNIT_ASSERT_EQUAL(std::string("check"), take_one_start().m_kind);
    }

    void late_job_is_refused_one_objective_later()
    {
        occupy_all_slots();
        submit("check", 1);
        step(250ms);
        step(300ms);
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::deadline_unreachable);
    }

    void late_job_yields_to_job_on_time()
    {
        occupy_all_slots();
        submit("lodge", 1);
        step(250ms);
        submit("check", 1);
        succeed_last_attempt();
        CPPUNIT_ASSERT_EQUAL(std::string("check"), take_one_start().m_kind);
        succeed_last_attempt();
        CPPUNIT_ASSERT_EQUAL(std::string("lodge"), take_one_start().m_kind);
    }

    void started_job_is_not_refused_for_its_objective()
    {
        occupy_all_slots();
        submit("check", 2);
        succeed_last_attempt();
        CPPUNIT_ASSERT_EQUAL(std::string("check"), take_one_start().m_kind);
        submit("check", 1);
        step(190ms);
        CPPUNIT_ASSERT(m_out.m_finished.empty());
        step(60ms); // the second job is refused, the first has started
        CPPUNIT_ASSERT(m_out.m_finished.size() <= 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_state.m_jobs.size());
    }

    void job_of_kind_without_objective_waits_until_its_deadline()
    {
        occupy_all_slots();
        submit("bulk", 1);
        step(5s);
        CPPUNIT_ASSERT(m_out.m_finished.empty());
    }

    void task_of_most_urgent_kind_is_forwarded_to_busy_peer()
    {
        occupy_all_slots();
        add_busy_peer();
        submit("lodge", 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_forwards.size());
        step(15ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_out.m_forwards.size());
    }

    void task_of_less_urgent_kind_is_not_forwarded_to_busy_peer()
    {
        occupy_all_slots();
        add_busy_peer();
        submit("check", 3);
        CPPUNIT_ASSERT(m_out.m_forwards.empty());
    }

    void busy_peer_shutting_down_gets_no_task()
    {
        occupy_all_slots();
        add_busy_peer(false);
        submit("lodge", 3);
        CPPUNIT_ASSERT(m_out.m_forwards.empty());
    }

    // The elapsed time of a forwarded task includes its time in the peer's queue.
    void forwarded_task_succeeded_adds_no_run_time_observation()
    {
        occupy_all_slots();
        set_peer(m_state, {{"peer"}, "north", {{1, 0}}, true});
        submit("check", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_forwards.size());
        attempt_id const forwarded = m_out.m_forwards[0].m_start.m_attempt;
        step(2s);
        finish(forwarded, attempt_outcome::succeeded);
        kind_state const & kind = m_state.m_kinds[m_state.m_kind_index.at("check")];
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), kind.m_run_time.m_count);
    }

    void kind_without_observations_uses_declared_run_time()
    {
        occupy_all_slots();
        job_spec spec = make_spec("check", 1);
        spec.m_tasks[0].m_declared_run_time = 20ms;
        submit(spec);
        submit("lodge", 1);
        // Objective 140 ms: the job is on time if it starts within 120 ms.
        step(130ms);
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::deadline_unreachable);
    }

    void current_load_counts_further_typical_tasks_that_fit()
    {
        job_spec spec = make_spec("check", 1);
        spec.m_tasks[0].m_demand = {9000, 512, 0};
        submit(spec);
        // Two upstreams have capacity for one more such task each; the third one runs the
        // submitted task and has 7 cores left.
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), total_load(m_state).m_free_slots);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_objective_test);

} // namespace

} // namespace cassiahub::dispatch
