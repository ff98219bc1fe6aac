/// \file Tasks under which upstreams were lost: verdicts at admission, retry and start.

#include "dispatch_fixture.hpp"

#include <set>
#include <utility>

namespace cassiahub::dispatch
{

class crash_fixture : public dispatch_fixture
{
protected:
    /// Ends an attempt with the loss of its upstream.
    void lose(attempt_start const & start, std::uint64_t incarnation = 1)
    {
        finish_attempt(
            m_state,
            {start.m_attempt, attempt_outcome::interrupted, "", false, true, incarnation},
            m_now, m_random, m_out);
    }

    /// Ends an attempt with the loss of its upstream before any progress.
    void lose_at_start(attempt_start const & start)
    {
        attempt_result result{
            start.m_attempt, attempt_outcome::interrupted, "", false, true, 1};
        result.m_lost_at_start = true;
        finish_attempt(m_state, result, m_now, m_random, m_out);
    }

    /// Ends an attempt with a crash of its upstream.
    void crash(attempt_start const & start)
    {
        lose(start);
        learn({{start.m_upstream, 1}, upstream_fate::crashed, {}, {}});
    }

    void learn(upstream_loss const & loss)
    {
        record_loss(m_state, loss, m_now);
    }

    /// Delivers the crash of an upstream of another instance under a task.
    void learn_crash(std::string upstream, job_key const & key, std::uint32_t task = 0)
    {
        learn({{std::move(upstream), 1},
               upstream_fate::crashed,
               {{key.m_tenant, key.m_key, task}},
               {}});
    }

    /// \returns the next start, after the retry delay of its task.
    attempt_start take_next_start()
    {
        for (int round = 0; round < 100 && m_out.m_starts.empty(); ++round)
        {
            step(20ms);
        }
        return take_one_start();
    }

    job_spec named_spec(std::string key, std::size_t tasks = 1)
    {
        job_spec spec = make_spec("check", tasks);
        spec.m_key.m_key = std::move(key);
        return spec;
    }

    void receive_forwarded(std::uint64_t serial, std::string key)
    {
        attempt_start start;
        start.m_attempt = {9, serial};
        start.m_job = {"acme", "north", std::move(key)};
        start.m_kind = "check";
        start.m_demand = {1000, 512, 0};
        start.m_deadline = start.m_send_before = m_now + 10s;
        accept_forwarded(m_state, {"peer"}, std::move(start), m_now, m_out);
        step();
    }
};

// Guards against a task that is started again after it has crashed upstreams, because a
// crash was counted as no failure (BUDGET).
class crash_retry_test : public crash_fixture
{
    static constexpr duration objective = 300ms;

    void set_objectives()
    {
        for (config::work_kind & kind : m_configuration.m_kinds)
        {
            kind.m_expected_run_time = 100ms;
            kind.m_objective_stretch = 3;
        }
        apply();
    }

    CPPUNIT_TEST_SUITE(crash_retry_test);
    CPPUNIT_TEST(task_that_crashed_two_upstreams_is_not_started_again);
    CPPUNIT_TEST(task_that_lost_three_upstreams_is_not_started_again);
    CPPUNIT_TEST(task_whose_upstreams_survived_is_started_again);
    CPPUNIT_TEST(neighbour_on_crashed_upstream_completes);
    CPPUNIT_TEST(cancelled_attempt_counts_as_loss);
    CPPUNIT_TEST(suspected_task_gets_no_hedge);
    CPPUNIT_TEST(upstream_without_start_time_that_crashes_twice_counts_twice);
    CPPUNIT_TEST(task_of_upstream_that_leaves_as_planned_is_not_suspected);
    CPPUNIT_TEST(task_lost_at_its_start_is_not_restarted_past_the_objective);
    CPPUNIT_TEST(task_lost_at_its_start_is_restarted_within_the_objective);
    CPPUNIT_TEST(task_lost_after_progress_is_restarted_past_the_objective);
    CPPUNIT_TEST_SUITE_END();

public:
    void task_that_crashed_two_upstreams_is_not_started_again()
    {
        submit("check", 1);
        crash(take_one_start());
        lose(take_next_start());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_out.m_losses.size());
        attempt_start const third = take_next_start();
        learn({m_out.m_losses[1].m_loss.m_upstream, upstream_fate::crashed, {}, {}});
        finish(third.m_attempt, attempt_outcome::interrupted);
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::crashes_upstreams);
        CPPUNIT_ASSERT(answer.m_ran == run_state::yes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.m_counters.m_convicted_jobs);
        step(5s);
        CPPUNIT_ASSERT(take_starts().empty());
    }

    // Guards against giving up a task whose upstreams left as planned while it ran.
    void task_of_upstream_that_leaves_as_planned_is_not_suspected()
    {
        submit("check", 1);
        attempt_start const first = take_one_start();
        for (config::upstream & upstream : m_configuration.m_upstreams)
        {
            upstream.m_draining = upstream.m_name == first.m_upstream;
        }
        apply();
        lose(first);
        attempt_start const second = take_next_start();
        set_upstream_leaving(m_state, second.m_upstream, true);
        lose(second);
        CPPUNIT_ASSERT(m_out.m_losses.empty());
        CPPUNIT_ASSERT(m_state.m_crashes.m_tasks.empty());
    }

    // Guards against a second upstream that crashes for an answer that is late anyway.
    void task_lost_at_its_start_is_not_restarted_past_the_objective()
    {
        set_objectives();
        submit("check", 1);
        attempt_start const start = take_one_start();
        step(objective + 100ms);
        lose_at_start(start);
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::outcome_unknown);
        CPPUNIT_ASSERT(answer.m_ran == run_state::yes);
    }

    void task_lost_at_its_start_is_restarted_within_the_objective()
    {
        set_objectives();
        submit("check", 1);
        lose_at_start(take_one_start());
        take_next_start();
    }

    void task_lost_after_progress_is_restarted_past_the_objective()
    {
        set_objectives();
        submit("check", 1);
        attempt_start const start = take_one_start();
        step(objective + 100ms);
        lose(start);
        take_next_start();
    }

    // Guards against counting the crashes of an upstream under one name as one.
    void upstream_without_start_time_that_crashes_twice_counts_twice()
    {
        submit("check", 1);
        attempt_start const first = take_one_start();
        lose(first, 0);
        attempt_start second = take_next_start();
        lose(second, 0);
        std::vector<task_loss> const losses = std::exchange(m_out.m_losses, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), losses.size());
        CPPUNIT_ASSERT(losses[0].m_loss.m_upstream.m_incarnation !=
                       losses[1].m_loss.m_upstream.m_incarnation);
    }

    void task_that_lost_three_upstreams_is_not_started_again()
    {
        m_configuration.m_dispatch.m_max_attempts = 10;
        apply();
        submit("check", 1);
        lose(take_one_start(), 1);
        lose(take_next_start(), 2);
        lose(take_next_start(), 3);
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::outcome_unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.m_counters.m_withheld_jobs);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_state.m_counters.m_losses);
    }

    void task_whose_upstreams_survived_is_started_again()
    {
        submit("check", 1);
        attempt_start const first = take_one_start();
        lose(first);
        learn({{first.m_upstream, 1}, upstream_fate::survived, {}, {}});
        CPPUNIT_ASSERT(m_state.m_crashes.m_tasks.empty());
        finish(take_next_start().m_attempt, attempt_outcome::succeeded);
        CPPUNIT_ASSERT(!take_answer().m_error);
    }

    // Guards against sound tasks that are given up with the task that crashes upstreams.
    void neighbour_on_crashed_upstream_completes()
    {
        submit("check", 6);
        std::vector<attempt_start> const starts = take_starts();
        for (attempt_start const & start : starts)
        {
            if (start.m_upstream == starts.front().m_upstream)
            {
                lose(start);
            }
        }
        learn({{starts.front().m_upstream, 1}, upstream_fate::crashed, {}, {}});
        for (attempt_start const & start : starts)
        {
            if (start.m_upstream != starts.front().m_upstream)
            {
                finish(start.m_attempt, attempt_outcome::succeeded);
            }
        }
        for (int round = 0; round < 100 && m_out.m_finished.empty(); ++round)
        {
            step(20ms);
            for (attempt_start const & start : take_starts())
            {
                finish(start.m_attempt, attempt_outcome::succeeded);
            }
        }
        CPPUNIT_ASSERT(!take_answer().m_error);
    }

    void cancelled_attempt_counts_as_loss()
    {
        job_key const key = submit("check", 1);
        attempt_start const start = take_one_start();
        cancel_job(m_state, key, m_now, m_out);
        lose(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_losses.size());
        CPPUNIT_ASSERT(judge_task(m_state.m_crashes, "acme", key.m_key, 0) ==
                       crash_verdict::suspected);
    }

    void suspected_task_gets_no_hedge()
    {
        m_configuration.m_dispatch.m_hedge_budget_percent = 100;
        apply();
        for (int round = 0; round < 40; ++round)
        {
            submit("check", 1);
            attempt_start const start = take_one_start();
            step(100ms);
            finish(start.m_attempt, attempt_outcome::succeeded);
        }
        m_out.m_finished.clear();
        job_key const key = submit("check", 1);
        take_one_start();
        learn_crash("far", key);
        for (int round = 0; round < 100; ++round)
        {
            step(20ms);
        }
        CPPUNIT_ASSERT(take_starts().empty());
    }
};

// Guards against a task that crashes further upstreams in each submission of its job, or
// after it was queued, here or for another instance (BUDGET).
class crash_start_test : public crash_fixture
{
    CPPUNIT_TEST_SUITE(crash_start_test);
    CPPUNIT_TEST(submission_with_convicted_task_is_refused);
    CPPUNIT_TEST(submission_with_withheld_task_is_refused);
    CPPUNIT_TEST(queued_task_that_becomes_convicted_is_not_started);
    CPPUNIT_TEST(task_assigned_by_baseline_policy_that_becomes_convicted_is_not_started);
    CPPUNIT_TEST(queued_task_that_becomes_withheld_is_not_started);
    CPPUNIT_TEST(queued_forwarded_task_that_becomes_convicted_is_returned);
    CPPUNIT_TEST(loss_under_forwarded_task_names_the_job_of_its_owner);
    CPPUNIT_TEST(loss_under_task_at_peer_is_not_recorded_twice);
    CPPUNIT_TEST(convicted_task_is_admitted_again_after_retention);
    CPPUNIT_TEST_SUITE_END();

    /// Occupies every slot.
    std::vector<attempt_start> fill_upstreams()
    {
        submit("check", 6);
        return take_starts();
    }

public:
    void submission_with_convicted_task_is_refused()
    {
        job_spec const spec = named_spec("deadly", 2);
        learn_crash("up-0", spec.m_key, 1);
        CPPUNIT_ASSERT(!check_admission(m_state, spec, m_now));
        learn_crash("up-1", spec.m_key, 1);
        CPPUNIT_ASSERT(check_admission(m_state, spec, m_now) ==
                       job_errc::crashes_upstreams);
        CPPUNIT_ASSERT(!check_admission(m_state, named_spec("other", 2), m_now));
    }

    void submission_with_withheld_task_is_refused()
    {
        job_spec const spec = named_spec("silent");
        for (char const * upstream : {"up-0", "up-1", "up-2"})
        {
            learn({{upstream, 1},
                   upstream_fate::unknown,
                   {{spec.m_key.m_tenant, spec.m_key.m_key, 0}},
                   {}});
        }
        CPPUNIT_ASSERT(check_admission(m_state, spec, m_now) ==
                       job_errc::crash_suspected);
    }

    void queued_task_that_becomes_convicted_is_not_started()
    {
        std::vector<attempt_start> const others = fill_upstreams();
        job_key const key = submit("check", 1);
        learn_crash("far-0", key);
        learn_crash("far-1", key);
        finish(others.front().m_attempt, attempt_outcome::succeeded);
        CPPUNIT_ASSERT(take_starts().empty());
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::crashes_upstreams);
    }

    // Guards against the start of a convicted task that waits at its upstream.
    void task_assigned_by_baseline_policy_that_becomes_convicted_is_not_started()
    {
        m_configuration.m_dispatch.m_policy = config::dispatch_policy::baseline;
        apply();
        submit("check", 60);
        std::vector<attempt_start> const others = take_starts();
        job_key const key = submit("check", 1);
        CPPUNIT_ASSERT(take_starts().empty());
        learn_crash("far-0", key);
        learn_crash("far-1", key);
        for (attempt_start const & other : others)
        {
            finish(other.m_attempt, attempt_outcome::succeeded);
        }
        std::vector<attempt_start> running;
        do
        {
            running = take_starts();
            for (attempt_start const & start : running)
            {
                CPPUNIT_ASSERT(start.m_job != key);
                finish(start.m_attempt, attempt_outcome::succeeded);
            }
        } while (!running.empty());
    }

    void queued_task_that_becomes_withheld_is_not_started()
    {
        std::vector<attempt_start> const others = fill_upstreams();
        job_key const key = submit("check", 1);
        for (char const * upstream : {"far-0", "far-1", "far-2"})
        {
            learn({{upstream, 1},
                   upstream_fate::unknown,
                   {{key.m_tenant, key.m_key, 0}},
                   {}});
        }
        finish(others.front().m_attempt, attempt_outcome::succeeded);
        CPPUNIT_ASSERT(take_starts().empty());
        job_answer const answer = take_answer();
        CPPUNIT_ASSERT(answer.m_error == job_errc::crash_suspected);
        CPPUNIT_ASSERT(answer.m_ran == run_state::no);
    }

    void queued_forwarded_task_that_becomes_convicted_is_returned()
    {
        std::vector<attempt_start> const others = fill_upstreams();
        receive_forwarded(1, "theirs");
        learn_crash("far-0", {"acme", "north", "theirs"});
        learn_crash("far-1", {"acme", "north", "theirs"});
        finish(others.front().m_attempt, attempt_outcome::succeeded);
        CPPUNIT_ASSERT(take_starts().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_forward_results.size());
        CPPUNIT_ASSERT(m_out.m_forward_results.front().m_result.m_outcome ==
                       attempt_outcome::not_run);
    }

    void loss_under_forwarded_task_names_the_job_of_its_owner()
    {
        receive_forwarded(1, "theirs");
        lose(take_one_start());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_losses.size());
        task_loss const & loss = m_out.m_losses.front();
        CPPUNIT_ASSERT_EQUAL(std::string("peer"), loss.m_from.m_value);
        CPPUNIT_ASSERT(loss.m_loss.m_tasks ==
                       std::vector<task_identity>({{"acme", "theirs", 0}}));
    }

    void loss_under_task_at_peer_is_not_recorded_twice()
    {
        fill_upstreams();
        set_peer(m_state, {{"peer"}, "north", {{4, 0, {}}}, true});
        submit("check", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_forwards.size());
        lose(m_out.m_forwards.front().m_start);
        CPPUNIT_ASSERT(m_out.m_losses.empty());
        CPPUNIT_ASSERT(m_state.m_crashes.m_tasks.empty());
    }

    void convicted_task_is_admitted_again_after_retention()
    {
        job_spec const spec = named_spec("deadly");
        learn_crash("up-0", spec.m_key);
        learn_crash("up-1", spec.m_key);
        step(loss_retention);
        CPPUNIT_ASSERT(!check_admission(m_state, spec, m_now));
    }
};

// Guards against sound tasks that are lost, and in the end given up, beside a task that
// crashes upstreams.
class crash_isolation_test : public crash_fixture
{
    CPPUNIT_TEST_SUITE(crash_isolation_test);
    CPPUNIT_TEST(suspected_task_starts_on_idle_upstream_that_takes_no_other_task);
    CPPUNIT_TEST(upstream_takes_tasks_again_after_suspected_task_has_ended);
    CPPUNIT_TEST(suspected_task_without_idle_upstream_starts_beside_no_suspect);
    CPPUNIT_TEST(suspected_forwarded_task_starts_on_idle_upstream);
    CPPUNIT_TEST_SUITE_END();

    /// Submits a job whose task is suspected.
    void submit_suspect()
    {
        learn_crash("far", {"acme", "north", std::to_string(m_next_key)});
        submit("check", 1);
    }

    /// Occupies one slot of each of two upstreams.
    std::string leave_one_upstream_idle()
    {
        submit("check", 2);
        auto const starts = take_starts();
        CPPUNIT_ASSERT(starts[0].m_upstream != starts[1].m_upstream);
        for (char const * name : {"up-0", "up-1", "up-2"})
        {
            if (starts[0].m_upstream != name && starts[1].m_upstream != name)
            {
                return name;
            }
        }
        return {};
    }

public:
    void suspected_task_starts_on_idle_upstream_that_takes_no_other_task()
    {
        std::string const idle = leave_one_upstream_idle();
        submit_suspect();
        CPPUNIT_ASSERT_EQUAL(idle, take_one_start().m_upstream);
        submit("check", 4);
        auto const starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
        for (attempt_start const & start : starts)
        {
            CPPUNIT_ASSERT(start.m_upstream != idle);
        }
    }

    void upstream_takes_tasks_again_after_suspected_task_has_ended()
    {
        leave_one_upstream_idle();
        submit_suspect();
        attempt_start const suspect = take_one_start();
        submit("check", 4);
        take_starts();
        m_now += 2s;
        finish(suspect.m_attempt, attempt_outcome::succeeded);
        auto const starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
        CPPUNIT_ASSERT_EQUAL(suspect.m_upstream, starts.front().m_upstream);
    }

    void suspected_task_without_idle_upstream_starts_beside_no_suspect()
    {
        submit("check", 6);
        std::set<std::string> finished;
        for (attempt_start const & start : take_starts())
        {
            if (finished.insert(start.m_upstream).second)
            {
                finish(start.m_attempt, attempt_outcome::succeeded);
            }
        }
        std::set<std::string> upstreams;
        for (int count = 0; count < 3; ++count)
        {
            submit_suspect();
            upstreams.insert(take_one_start().m_upstream);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), upstreams.size());
    }

    void suspected_forwarded_task_starts_on_idle_upstream()
    {
        std::string const idle = leave_one_upstream_idle();
        learn_crash("far", {"acme", "north", "theirs"});
        receive_forwarded(1, "theirs");
        CPPUNIT_ASSERT_EQUAL(idle, take_one_start().m_upstream);
    }
};

} // namespace cassiahub::dispatch

CPPUNIT_TEST_SUITE_REGISTRATION(cassiahub::dispatch::crash_isolation_test);
CPPUNIT_TEST_SUITE_REGISTRATION(cassiahub::dispatch::crash_retry_test);
CPPUNIT_TEST_SUITE_REGISTRATION(cassiahub::dispatch::crash_start_test);
