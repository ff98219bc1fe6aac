/// \file Requests through three simulated instances, from submission to answer. Each test
/// injects the fault that its name gives, if any.

#include "decision_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

// Guards against wrong answers, callers without an answer and tasks that start where they
// must not, in the cases of sections 6 and 8 of the design page.
class entry_decision_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_decision_test);
    CPPUNIT_TEST(submit_at_any_instance_reaches_owner_and_completes);
    CPPUNIT_TEST(fleet_without_faults_completes_every_job_in_time);
    CPPUNIT_TEST(resubmission_of_running_job_gets_same_answer);
    CPPUNIT_TEST(resubmission_of_finished_job_gets_whole_answer_again);
    CPPUNIT_TEST(submission_of_other_job_under_same_key_is_refused);
    CPPUNIT_TEST(query_of_running_job_is_answered_as_in_progress);
    CPPUNIT_TEST(resubmission_of_cancelled_job_is_answered_as_cancelled);
    CPPUNIT_TEST(submit_of_non_repeatable_work_without_store_is_refused);
    CPPUNIT_TEST(submit_of_repeatable_work_without_store_is_served_with_a_peer);
    CPPUNIT_TEST(submit_of_repeatable_work_without_store_and_peer_is_refused);
    CPPUNIT_TEST(resubmission_after_owner_was_killed_is_not_started_again);
    CPPUNIT_TEST(request_to_killed_owner_is_answered_as_unknown);
    CPPUNIT_TEST(partitioned_domain_serves_own_keys_and_refuses_others);
    CPPUNIT_TEST(drained_instance_finishes_job_and_hands_over_shards_promptly);
    CPPUNIT_TEST(drained_instance_drops_tasks_of_killed_peer);
    CPPUNIT_TEST(restarted_instance_gets_its_share_of_shards_back);
    CPPUNIT_TEST(newer_configuration_reaches_peers_and_is_not_reverted);
    CPPUNIT_TEST(upstream_listed_as_leaving_receives_no_task);
    CPPUNIT_TEST_SUITE_END();

    fleet::simulation m_fleet{1};
    std::uint64_t m_next_key = 0;

    std::string add_job(bool repeatable, std::string domain = "a", duration limit = 5s)
    {
        std::string key = "k" + std::to_string(m_next_key++);
        fleet::fleet_job job;
        job.m_repeatable = repeatable;
        job.m_spec.m_key = {"t", std::move(domain), key};
        job.m_spec.m_kind = repeatable ? "repeat" : "once";
        job.m_spec.m_time_limit = limit;
        job.m_spec.m_tasks = {{key + "/0", {100, 100, 0}, {}},
                              {key + "/1", {100, 100, 0}, {}}};
        m_fleet.m_jobs.emplace(key, std::move(job));
        return key;
    }

    void run_for(duration length)
    {
        m_fleet.run_until(m_fleet.m_now + length);
    }

    fleet::submission const & submission_of(std::string const & key,
                                            std::size_t position = 0)
    {
        return m_fleet.m_jobs.at(key).m_submissions.at(position);
    }

    std::error_code error_of(std::string const & key, std::size_t position = 0)
    {
        CPPUNIT_ASSERT(submission_of(key, position).m_answered);
        return submission_of(key, position).m_answer.m_error;
    }

    std::size_t count_runs(std::string const & key)
    {
        std::size_t count = 0;
        for (auto const & [task, runs] : m_fleet.m_jobs.at(key).m_runs)
        {
            count += runs.size();
        }
        return count;
    }

    std::size_t count_shards(std::size_t index)
    {
        auto const & shards = m_fleet.m_instances[index].m_state.m_ownership.m_shards;
        return std::size_t(
            std::count_if(shards.begin(), shards.end(),
                          [](ownership::shard_state const & shard)
                          { return shard.m_phase == ownership::shard_phase::serving; }));
    }

    /// \returns the instance that owns the shard of \p key.
    std::size_t owner_of(std::string const & key)
    {
        job_key const & name = m_fleet.m_jobs.at(key).m_spec.m_key;
        for (std::size_t index = 0; index < m_fleet.m_instances.size(); ++index)
        {
            fleet::instance const & instance = m_fleet.m_instances[index];
            if (instance.m_alive &&
                ownership::find_key(instance.m_state.m_ownership, name, 0).m_status !=
                    ownership::key_status::not_owner)
            {
                return index;
            }
        }
        CPPUNIT_FAIL("no live instance owns the shard");
        return 0;
    }

    /// \returns the key of a new job whose shard the instance \p index owns.
    std::string add_job_owned_by(std::size_t index, bool repeatable, duration limit = 5s)
    {
        for (;;)
        {
            std::string key = add_job(repeatable, "a", limit);
            if (owner_of(key) == index)
            {
                return key;
            }
        }
    }

public:
    void setUp() override
    {
        m_fleet = fleet::simulation(1);
        m_fleet.m_failed_attempts_percent = 0;
        m_fleet.m_slow_attempts_percent = 0;
        m_fleet.m_stalled_attempts_percent = 0;
        m_fleet.set_configuration(1);
        m_fleet.add_instance("a1", "a");
        m_fleet.add_instance("a2", "a");
        m_fleet.add_instance("b1", "b");
        for (std::size_t index = 0; index < m_fleet.m_instances.size(); ++index)
        {
            m_fleet.start(index);
        }
        run_for(3s);
    }

    void tearDown() override
    {
        for (std::string const & violation : m_fleet.m_violations)
        {
            CPPUNIT_FAIL(violation);
        }
    }

    void submit_at_any_instance_reaches_owner_and_completes()
    {
        for (std::size_t index = 0; index < 3; ++index)
        {
            std::string const key = add_job(false, index == 0 ? "b" : "a");
            m_fleet.submit(key, index);
            run_for(1s);
            CPPUNIT_ASSERT(!error_of(key));
            CPPUNIT_ASSERT(submission_of(key).m_answer.m_results ==
                           (std::vector<std::string>{key + "/0", key + "/1"}));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_runs(key));
        }
    }

    // The write limit allows an initial burst, then 20 writes a second per instance.
    void fleet_without_faults_completes_every_job_in_time()
    {
        run_for(10s);
        std::uint64_t const writes = m_fleet.m_writes;
        std::vector<std::string> keys;
        for (int job = 0; job < 600; ++job)
        {
            keys.push_back(add_job(job % 2 == 0, job % 3 == 0 ? "" : "a"));
            m_fleet.submit(keys.back(), std::size_t(job % 3));
            run_for(50ms);
        }
        run_for(5s);
        for (std::string const & key : keys)
        {
            if (m_fleet.m_jobs.at(key).m_spec.m_key.m_home_domain == "a")
            {
                CPPUNIT_ASSERT(!error_of(key));
            }
        }
        CPPUNIT_ASSERT(m_fleet.m_writes - writes <= 3 * (35 * 20 + 11));
    }

    void resubmission_of_running_job_gets_same_answer()
    {
        std::string const key = add_job(false);
        m_fleet.submit(key, 0);
        run_for(20ms);
        m_fleet.submit(key, 1);
        m_fleet.submit(key, 2);
        run_for(1s);
        for (std::size_t position = 0; position < 3; ++position)
        {
            CPPUNIT_ASSERT(!error_of(key, position));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_runs(key));
    }

    void resubmission_of_finished_job_gets_whole_answer_again()
    {
        std::string const key = add_job(false);
        m_fleet.submit(key, 0);
        run_for(2s);
        m_fleet.submit(key, 2);
        run_for(100ms);
        CPPUNIT_ASSERT(submission_of(key, 1).m_answer.m_results ==
                       submission_of(key, 0).m_answer.m_results);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_runs(key));
    }

    void submission_of_other_job_under_same_key_is_refused()
    {
        std::string const key = add_job(false);
        m_fleet.submit(key, 0);
        run_for(20ms);
        m_fleet.submit(key, 1, true);
        run_for(2s);
        m_fleet.submit(key, 2, true);
        run_for(100ms);
        CPPUNIT_ASSERT(error_of(key, 1) == job_errc::key_reused);
        CPPUNIT_ASSERT(error_of(key, 2) == job_errc::key_reused);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_runs(key));
    }

    void query_of_running_job_is_answered_as_in_progress()
    {
        std::string const key = add_job(false);
        m_fleet.request_key(key, 1, decision::key_operation::query);
        run_for(20ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_fleet.m_event_counts["not_found"]);
        m_fleet.submit(key, 0);
        run_for(20ms);
        m_fleet.request_key(key, 1, decision::key_operation::query);
        run_for(20ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_fleet.m_event_counts["in_progress"]);
    }

    void resubmission_of_cancelled_job_is_answered_as_cancelled()
    {
        std::string const key = add_job(false);
        m_fleet.submit(key, 0);
        run_for(25ms);
        m_fleet.request_key(key, 2, decision::key_operation::cancel);
        run_for(20ms);
        CPPUNIT_ASSERT(error_of(key) == job_errc::cancelled);
        std::size_t const runs = count_runs(key);
        m_fleet.submit(key, 1);
        run_for(2s);
        CPPUNIT_ASSERT(error_of(key, 1) == job_errc::cancelled);
        CPPUNIT_ASSERT_EQUAL(runs, count_runs(key));
    }

    void submit_of_non_repeatable_work_without_store_is_refused()
    {
        m_fleet.m_store_down = true;
        run_for(3s);
        std::string const key = add_job(false);
        m_fleet.submit(key, 0);
        run_for(1s);
        CPPUNIT_ASSERT(error_of(key) == job_errc::store_unavailable);
        CPPUNIT_ASSERT(submission_of(key).m_answer.m_ran == run_state::no);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_runs(key));
    }

    void submit_of_repeatable_work_without_store_is_served_with_a_peer()
    {
        m_fleet.m_store_down = true;
        run_for(20s);
        std::string const key = add_job(true);
        m_fleet.submit(key, 0);
        run_for(2s);
        CPPUNIT_ASSERT(!error_of(key));
        m_fleet.m_store_down = false;
        run_for(5s);
        std::string const row = ownership::record_row_name(
            ownership::shard_of(m_fleet.m_jobs.at(key).m_spec.m_key, 4),
            m_fleet.m_jobs.at(key).m_spec.m_key);
        CPPUNIT_ASSERT(m_fleet.m_table.contains(row));
    }

    void submit_of_repeatable_work_without_store_and_peer_is_refused()
    {
        m_fleet.m_store_down = true;
        m_fleet.kill(1);
        run_for(3s);
        std::string const key = add_job_owned_by(0, true);
        m_fleet.submit(key, 0);
        run_for(1s);
        CPPUNIT_ASSERT(error_of(key) == job_errc::store_unavailable);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_runs(key));
    }

    void resubmission_after_owner_was_killed_is_not_started_again()
    {
        std::string const key = add_job_owned_by(1, false);
        m_fleet.submit(key, 1);
        run_for(30ms);
        m_fleet.kill(1);
        run_for(10s);
        m_fleet.submit(key, 0);
        run_for(1s);
        CPPUNIT_ASSERT(error_of(key, 1) == job_errc::outcome_unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_runs(key));
    }

    void request_to_killed_owner_is_answered_as_unknown()
    {
        std::string const key = add_job_owned_by(1, false, 3s);
        m_fleet.submit(key, 0);
        run_for(30ms);
        m_fleet.kill(1);
        run_for(4s);
        CPPUNIT_ASSERT(error_of(key) == job_errc::outcome_unknown);
        CPPUNIT_ASSERT(submission_of(key).m_answered_at - submission_of(key).m_at <=
                       duration(3300ms));
    }

    void partitioned_domain_serves_own_keys_and_refuses_others()
    {
        m_fleet.m_partitions.insert({"a", "b"});
        run_for(6s);
        std::string const own = add_job(false, "b");
        std::string const other = add_job(false, "a");
        m_fleet.submit(own, 2);
        m_fleet.submit(other, 2);
        run_for(2s);
        CPPUNIT_ASSERT(!error_of(own));
        CPPUNIT_ASSERT(error_of(other) == job_errc::owner_unreachable);
        CPPUNIT_ASSERT(submission_of(other).m_answer.m_ran == run_state::no);
    }

    void drained_instance_finishes_job_and_hands_over_shards_promptly()
    {
        std::string const key = add_job_owned_by(1, false);
        m_fleet.submit(key, 1);
        run_for(30ms);
        m_fleet.deliver(1, decision::drain_requested{});
        std::string const late = add_job(false, "b");
        m_fleet.submit(late, 1);
        run_for(2500ms);
        CPPUNIT_ASSERT(!error_of(key));
        CPPUNIT_ASSERT(error_of(late) == job_errc::draining);
        CPPUNIT_ASSERT(decision::is_idle(m_fleet.m_instances[1].m_state));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), count_shards(0));
    }

    // Guards against a drain that never ends because it waits for a task that a peer
    // forwarded before it was killed.
    void drained_instance_drops_tasks_of_killed_peer()
    {
        decision::forward_task forwarded;
        forwarded.m_start.m_attempt = {7, 1};
        forwarded.m_start.m_job = {"t", "a", "k"};
        forwarded.m_start.m_kind = "repeat";
        forwarded.m_start.m_demand = {1'000'000, 1, 0};
        forwarded.m_start.m_deadline = m_fleet.m_instances[1].m_state.m_now + 60s;
        forwarded.m_start.m_send_before = forwarded.m_start.m_deadline;
        m_fleet.deliver(1, decision::peer_message_received{{"a1"}, forwarded});
        m_fleet.kill(0);
        m_fleet.deliver(1, decision::drain_requested{});
        run_for(5s);
        CPPUNIT_ASSERT(decision::is_idle(m_fleet.m_instances[1].m_state));
    }

    void restarted_instance_gets_its_share_of_shards_back()
    {
        m_fleet.kill(1);
        run_for(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), count_shards(0));
        m_fleet.start(1);
        run_for(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_shards(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_shards(1));
    }

    void newer_configuration_reaches_peers_and_is_not_reverted()
    {
        auto const older = m_fleet.m_configuration;
        m_fleet.set_configuration(2);
        m_fleet.deliver(2, decision::configuration_changed{m_fleet.m_configuration, "d"});
        run_for(5s);
        m_fleet.deliver(0, decision::configuration_changed{older, "d"});
        for (fleet::instance const & instance : m_fleet.m_instances)
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                                 instance.m_state.m_dispatch.m_configuration->m_version);
        }
    }

    void upstream_listed_as_leaving_receives_no_task()
    {
        decision::instances_listed listed;
        for (char const * const name : {"a0", "a1", "a2"})
        {
            listed.m_instances.push_back({name, "a", name, false, true});
        }
        m_fleet.deliver(0, listed);
        m_fleet.deliver(1, listed);
        std::string const key = add_job(false);
        m_fleet.submit(key, 0);
        run_for(2s);
        // All upstreams of domain a are leaving; those of other domains may run the
        // tasks.
        for (auto const & [task, runs] : m_fleet.m_jobs.at(key).m_runs)
        {
            for (fleet::task_run const & run : runs)
            {
                CPPUNIT_ASSERT(!run.m_upstream.starts_with('a'));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_decision_test);

} // namespace
