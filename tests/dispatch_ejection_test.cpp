/// \file Ejection and probing of upstreams of one dispatcher.

#include "dispatch_fixture.hpp"

#include <set>

namespace cassiahub::dispatch
{

// Guards against failing upstreams that attract tasks, and against the ejection of the
// whole fleet.
class ejection_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(ejection_test);
    CPPUNIT_TEST(failing_upstream_is_ejected_and_probed_after_cooling);
    CPPUNIT_TEST(probes_succeeded_readmit_the_upstream);
    CPPUNIT_TEST(task_of_restartable_kind_probes_the_upstream);
    CPPUNIT_TEST(task_of_non_repeatable_kind_probes_no_upstream);
    CPPUNIT_TEST(failure_of_every_upstream_ejects_none);
    CPPUNIT_TEST(upstream_without_results_gets_few_attempts);
    CPPUNIT_TEST(attempt_timed_out_counts_as_upstream_failure);
    CPPUNIT_TEST(breaker_opens_after_consecutive_failures);
    CPPUNIT_TEST(fast_failure_withholds_the_slot);
    CPPUNIT_TEST(leaving_upstream_gets_no_new_attempt);
    CPPUNIT_TEST_SUITE_END();

    /// Runs \p count jobs of one task, with 300 ms per attempt. Attempts on the upstreams
    /// in \p failing fail.
    /// \returns the number of attempts started on up-0.
    std::size_t run_tasks(std::size_t count, std::set<std::string> const & failing)
    {
        std::size_t starts_on_first = 0;
        for (std::size_t done = 0; done < count; ++done)
        {
            submit("check", 1);
            for (auto starts = take_starts(); !starts.empty(); starts = take_starts())
            {
                bool const fails = failing.contains(starts[0].m_upstream);
                starts_on_first += starts[0].m_upstream == "up-0" ? 1 : 0;
                m_now += 300ms;
                finish(starts[0].m_attempt,
                       fails ? attempt_outcome::failed : attempt_outcome::succeeded);
            }
            step(40ms);
            m_out = {};
        }
        return starts_on_first;
    }

public:
    void failing_upstream_is_ejected_and_probed_after_cooling()
    {
        run_tasks(30, {"up-0"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.m_counters.m_ejections);
        CPPUNIT_ASSERT_EQUAL(4U, total_load(m_state).m_free_slots);
        CPPUNIT_ASSERT(run_tasks(60, {"up-0"}) <= 2); // about 20 s: one or two probes
    }

    void probes_succeeded_readmit_the_upstream()
    {
        run_tasks(30, {"up-0"});
        step(10s);
        run_tasks(10, {});
        CPPUNIT_ASSERT_EQUAL(6U, total_load(m_state).m_free_slots);
    }

    // The platform's kinds are restartable but not repeatable. When only repeatable tasks
    // could be probes, an ejected upstream was never readmitted.
    void task_of_restartable_kind_probes_the_upstream()
    {
        for (config::work_kind & kind : m_configuration.m_kinds)
        {
            kind.m_repeatable = false;
            kind.m_restartable = true;
        }
        apply();
        run_tasks(30, {"up-0"});
        CPPUNIT_ASSERT_EQUAL(4U, total_load(m_state).m_free_slots);
        step(10s);
        run_tasks(10, {});
        CPPUNIT_ASSERT_EQUAL(6U, total_load(m_state).m_free_slots);
    }

    void task_of_non_repeatable_kind_probes_no_upstream()
    {
        run_tasks(30, {"up-0"});
        for (config::work_kind & kind : m_configuration.m_kinds)
        {
            kind.m_repeatable = false;
        }
        apply();
        step(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), run_tasks(10, {}));
    }

    void failure_of_every_upstream_ejects_none()
    {
        run_tasks(60, {"up-0", "up-1", "up-2"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_state.m_counters.m_ejections);
    }

    void upstream_without_results_gets_few_attempts()
    {
        for (config::upstream & upstream : m_configuration.m_upstreams)
        {
            upstream.m_slots = 8;
        }
        apply();
        run_tasks(30, {});
        std::size_t starts_on_silent = 0;
        for (int count = 0; count < 300; ++count)
        {
            submit("check", 1);
            for (attempt_start const & start : take_starts())
            {
                starts_on_silent += start.m_upstream == "up-0" ? 1 : 0;
                if (start.m_upstream != "up-0")
                {
                    m_now += 300ms;
                    finish(start.m_attempt, attempt_outcome::succeeded);
                }
            }
            step(450ms);
        }
        // If the eight slots were filled again after each attempt timeout of 15 s, up-0
        // would get 120 attempts.
        CPPUNIT_ASSERT(starts_on_silent <= 24);
    }

    void attempt_timed_out_counts_as_upstream_failure()
    {
        job_spec spec = make_spec("lodge", 1);
        spec.m_time_limit = 1s;
        submit(spec);
        step(6s);
        CPPUNIT_ASSERT_EQUAL(1U,
                             m_state.m_pools.front().m_all_results.m_halves[0].m_failed);
    }

    void breaker_opens_after_consecutive_failures()
    {
        m_configuration.m_dispatch.m_ejection =
            config::ejection_policy::consecutive_failures;
        apply();
        run_tasks(40, {"up-0"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.m_counters.m_ejections);
        CPPUNIT_ASSERT_EQUAL(4U, total_load(m_state).m_free_slots);
        step(30s);
        run_tasks(2, {});
        CPPUNIT_ASSERT_EQUAL(6U, total_load(m_state).m_free_slots);
    }

    void fast_failure_withholds_the_slot()
    {
        submit("lodge", 1);
        m_now += 1ms;
        finish(take_one_start().m_attempt, attempt_outcome::failed);
        CPPUNIT_ASSERT_EQUAL(5U, total_load(m_state).m_free_slots);
        step(300ms);
        CPPUNIT_ASSERT_EQUAL(6U, total_load(m_state).m_free_slots);
    }

    void leaving_upstream_gets_no_new_attempt()
    {
        set_upstream_leaving(m_state, "up-0", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), run_tasks(20, {}));
        set_upstream_leaving(m_state, "up-0", false);
        CPPUNIT_ASSERT(run_tasks(20, {}) > 0);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ejection_test);

} // namespace cassiahub::dispatch
