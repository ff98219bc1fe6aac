/// \file Admission, attempts, retries and cancellation of one dispatcher.

#include "dispatch_fixture.hpp"

namespace cassiahub::dispatch
{

// Guards against jobs that are admitted although they cannot be served.
class admission_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(admission_unknown_names_are_refused);
    CPPUNIT_TEST(admission_oversized_demand_is_refused);
    CPPUNIT_TEST(admission_task_count_out_of_range_is_refused);
    CPPUNIT_TEST(admission_full_kind_queue_is_refused);
    CPPUNIT_TEST(admission_over_tenant_quota_is_refused);
    CPPUNIT_TEST(admission_deadline_below_observed_run_times_is_refused);
    CPPUNIT_TEST_SUITE_END();

    void assert_refused(job_spec const & spec, job_errc expected)
    {
        CPPUNIT_ASSERT(check_admission(m_state, spec, m_now) == expected);
    }

public:
    void admission_unknown_names_are_refused()
    {
        assert_refused(make_spec("other", 1), job_errc::unknown_kind);
        assert_refused(make_spec("check", 1, "nobody"), job_errc::unknown_tenant);
        CPPUNIT_ASSERT(!check_admission(m_state, make_spec("check", 1), m_now));
    }

    void admission_oversized_demand_is_refused()
    {
        job_spec spec = make_spec("check", 2);
        spec.m_tasks[1].m_demand.m_accelerators = 1;
        assert_refused(spec, job_errc::never_fits);
    }

    void admission_task_count_out_of_range_is_refused()
    {
        assert_refused(make_spec("check", 0), job_errc::too_many_tasks);
        assert_refused(make_spec("check", 231), job_errc::too_many_tasks);
    }

    void admission_full_kind_queue_is_refused()
    {
        m_configuration.m_kinds[1].m_queue_limit = 5;
        apply();
        submit("check", 10); // six start, four are queued
        assert_refused(make_spec("check", 2), job_errc::queue_full);
        CPPUNIT_ASSERT(!check_admission(m_state, make_spec("check", 1), m_now));
    }

    void admission_over_tenant_quota_is_refused()
    {
        submit("check", 95);
        assert_refused(make_spec("bulk", 6), job_errc::quota_exceeded);
        CPPUNIT_ASSERT(!check_admission(m_state, make_spec("bulk", 6, "zeta"), m_now));
    }

    void admission_deadline_below_observed_run_times_is_refused()
    {
        job_spec slow = make_spec("check", 90);
        slow.m_time_limit = 120s;
        submit(slow);
        for (int round = 0; round < 4; ++round)
        {
            step(4s);
            for (attempt_start const & start : take_starts())
            {
                finish(start.m_attempt, attempt_outcome::succeeded);
            }
        }
        job_spec spec = make_spec("check", 30, "zeta");
        spec.m_tasks[0].m_declared_run_time = 1ms;
        assert_refused(spec, job_errc::deadline_unreachable);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

// Guards against incomplete answers, duplicate starts and lost results.
class attempt_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(attempt_test);
    CPPUNIT_TEST(job_all_tasks_succeeded_is_answered_in_order);
    CPPUNIT_TEST(job_past_deadline_fails_and_keeps_slot);
    CPPUNIT_TEST(attempt_without_result_frees_slot_after_timeout);
    CPPUNIT_TEST(result_repeated_is_dropped_and_counted);
    CPPUNIT_TEST(non_repeatable_task_failed_is_not_attempted_again);
    CPPUNIT_TEST(non_repeatable_task_with_unknown_outcome_fails_job);
    CPPUNIT_TEST(non_repeatable_task_not_run_is_retried_on_another_upstream);
    CPPUNIT_TEST(task_never_run_fails_job_as_not_run);
    CPPUNIT_TEST(task_not_run_twice_waits_before_third_attempt);
    CPPUNIT_TEST(retry_budget_exhausted_fails_the_job);
    CPPUNIT_TEST(job_past_send_time_is_not_started);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_all_tasks_succeeded_is_answered_in_order()
    {
        submit("check", 2);
        auto const starts = take_starts();
        finish(starts[1].m_attempt, attempt_outcome::succeeded, "second");
        CPPUNIT_ASSERT(m_out.m_finished.empty());
        finish(starts[0].m_attempt, attempt_outcome::succeeded, "first");
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(!answer.m_error);
        CPPUNIT_ASSERT((answer.m_results == std::vector<std::string>{"first", "second"}));
    }

    void job_past_deadline_fails_and_keeps_slot()
    {
        submit("check", 1);
        attempt_start const start = take_one_start();
        step(10s);
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::deadline_exceeded);
        CPPUNIT_ASSERT(answer.m_ran == run_state::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_cancels.size());
        CPPUNIT_ASSERT_EQUAL(5U, total_load(m_state).m_free_slots);
        finish(start.m_attempt, attempt_outcome::failed);
        CPPUNIT_ASSERT_EQUAL(6U, total_load(m_state).m_free_slots);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.m_counters.m_late_results);
    }

    void attempt_without_result_frees_slot_after_timeout()
    {
        submit("check", 1);
        step(15s - 1ms);
        CPPUNIT_ASSERT_EQUAL(5U, total_load(m_state).m_free_slots);
        step(1ms);
        CPPUNIT_ASSERT_EQUAL(6U, total_load(m_state).m_free_slots);
    }

    void result_repeated_is_dropped_and_counted()
    {
        submit("check", 2);
        auto const starts = take_starts();
        finish(starts[0].m_attempt, attempt_outcome::succeeded, "kept");
        finish(starts[0].m_attempt, attempt_outcome::failed, "dropped");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.m_counters.m_duplicate_results);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_state.m_jobs.size());
    }

    void non_repeatable_task_failed_is_not_attempted_again()
    {
        submit("lodge", 1);
        finish(take_one_start().m_attempt, attempt_outcome::failed);
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::task_failed);
        CPPUNIT_ASSERT(answer.m_ran == run_state::yes);
        CPPUNIT_ASSERT(m_out.m_starts.empty());
    }

    void non_repeatable_task_with_unknown_outcome_fails_job()
    {
        submit("lodge", 1);
        finish(take_one_start().m_attempt, attempt_outcome::unknown);
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::outcome_unknown);
        CPPUNIT_ASSERT(answer.m_ran == run_state::unknown);
    }

    void non_repeatable_task_not_run_is_retried_on_another_upstream()
    {
        submit("lodge", 1);
        attempt_start const first = take_one_start();
        finish(first.m_attempt, attempt_outcome::not_run);
        CPPUNIT_ASSERT(take_one_start().m_upstream != first.m_upstream);
    }

    void task_never_run_fails_job_as_not_run()
    {
        submit("lodge", 1);
        for (int attempt = 0; attempt < 3; ++attempt)
        {
            finish(take_one_start().m_attempt, attempt_outcome::not_run);
            step(20ms);
        }
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::retries_exhausted);
        CPPUNIT_ASSERT(answer.m_ran == run_state::no);
    }

    void task_not_run_twice_waits_before_third_attempt()
    {
        submit("check", 1);
        finish(take_one_start().m_attempt, attempt_outcome::not_run);
        finish(take_one_start().m_attempt, attempt_outcome::not_run);
        CPPUNIT_ASSERT(take_starts().empty());
        step(10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_starts().size());
    }

    void retry_budget_exhausted_fails_the_job()
    {
        m_configuration.m_dispatch.m_retry_budget_percent = 0;
        m_state = {};
        apply();
        submit("check", 1);
        finish(take_one_start().m_attempt, attempt_outcome::failed);
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::retries_exhausted);
    }

    void job_past_send_time_is_not_started()
    {
        job_spec spec = make_spec("lodge", 1);
        spec.m_key.m_key = "lapsed";
        enqueue_job(m_state, {spec, {}, m_now + 10s, m_now}, m_now);
        step();
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::lease_lapsed);
        CPPUNIT_ASSERT(take_starts().empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(attempt_test);

// Guards against cancellations that leave tasks queued or free slots before the attempts
// have ended.
class cancellation_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(cancellation_test);
    CPPUNIT_TEST(cancel_of_running_job_frees_queue_at_once_and_slots_later);
    CPPUNIT_TEST(cancel_of_answered_job_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void cancel_of_running_job_frees_queue_at_once_and_slots_later()
    {
        job_key const key = submit("check", 20);
        auto const starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), starts.size());
        cancel_job(m_state, key, m_now, m_out);
        step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_out.m_cancels.size());
        CPPUNIT_ASSERT_EQUAL(0U, total_load(m_state).m_queued_tasks);
        CPPUNIT_ASSERT_EQUAL(0U, total_load(m_state).m_free_slots);
        for (attempt_start const & start : starts)
        {
            finish(start.m_attempt, attempt_outcome::not_run);
        }
        CPPUNIT_ASSERT_EQUAL(6U, total_load(m_state).m_free_slots);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), wasted_messages(m_state.m_counters));
    }

    void cancel_of_answered_job_changes_nothing()
    {
        job_key const key = submit("check", 1);
        finish(take_one_start().m_attempt, attempt_outcome::succeeded, "whole");
        cancel_job(m_state, key, m_now, m_out);
        CPPUNIT_ASSERT(!take_answer().m_error);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(cancellation_test);

} // namespace cassiahub::dispatch
