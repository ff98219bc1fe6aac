/// \file Long randomised runs of six entry states in three failure domains under a mix of
/// all injected faults that the design must tolerate, with one service or two.
/// Environment variables: CASSIAHUB_SEED selects the first seed, CASSIAHUB_RUNS the
/// number of runs, CASSIAHUB_MUTATION a fault of the test doubles; CASSIAHUB_VERBOSE
/// prints event counts, CASSIAHUB_KEY a trace and the history of one key.

#include "decision_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t default_runs = 300;
constexpr duration submission_time = 60s;
/// Time after the last fault by which every request must be answered: the longest pause
/// or the latest resubmission, followed by the longest job.
constexpr duration settle_time = 55s;
constexpr duration mean_job_period = 60ms;
/// Latest answer of a live instance after a job's deadline: the grace period for the
/// owner's answer and one scan period, at each of two hops.
constexpr duration answer_tolerance = 600ms;

std::uint64_t read_number(char const * name, std::uint64_t fallback)
{
    char const * const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// \returns the fault of the test doubles that CASSIAHUB_MUTATION names.
fleet::mutations read_mutations()
{
    char const * const text = std::getenv("CASSIAHUB_MUTATION");
    std::string const name = text == nullptr ? "" : text;
    fleet::mutations selected;
    selected.m_table_ignores_conditions = name == "table_ignores_conditions";
    selected.m_table_forgets_writes = name == "table_forgets_writes";
    selected.m_upstream_sends_late = name == "upstream_sends_late";
    selected.m_answers_cross = name == "answers_cross";
    selected.m_results_cut = name == "results_cut";
    return selected;
}

/// One run: generates requests and faults, then checks the result.
class random_run
{
public:
    /// Even seeds have two services.
    explicit random_run(std::uint64_t seed) : m_fleet(seed)
    {
        if (seed % 2 == 0)
        {
            m_fleet.m_services = {"archive", "pool"};
        }
    }

    fleet::simulation m_fleet;

    void run()
    {
        m_fleet.set_configuration(m_version);
        for (auto const & [name, domain] :
             {std::pair("a1", "a"), std::pair("a2", "a"), std::pair("a3", "a"),
              std::pair("b1", "b"), std::pair("b2", "b"), std::pair("c1", "c")})
        {
            m_fleet.add_instance(name, domain);
        }
        m_paused_until.resize(m_fleet.m_instances.size());
        for (std::size_t index = 0; index < m_fleet.m_instances.size(); ++index)
        {
            m_fleet.start(index);
        }
        m_fleet.m_fencing = m_fleet.chance(50);
        m_fleet.after(1s, [this] { submit_next_job(); });
        m_fleet.after(3s, [this] { inject_next_fault(); });
        m_fleet.run_until(submission_time + settle_time);
        check();
    }

private:
    std::uint64_t m_version = 1; ///< version of the newest configuration
    std::uint64_t m_next_key = 0;
    std::vector<duration> m_paused_until;

    void record_fault(char const * fault, std::string const & subject = {})
    {
        ++m_fleet.m_event_counts[fault];
        m_fleet.trace(std::string(fault) + " " + subject);
    }

    std::size_t pick_instance()
    {
        return m_fleet.draw(0, m_fleet.m_instances.size() - 1);
    }

    std::size_t pick_live_instance()
    {
        for (;;)
        {
            std::size_t const index = pick_instance();
            if (m_fleet.m_instances[index].m_alive)
            {
                return index;
            }
        }
    }

    void submit_next_job()
    {
        if (m_fleet.m_now >= submission_time)
        {
            return;
        }
        m_fleet.after(m_fleet.draw_time(duration(0), 2 * mean_job_period),
                      [this] { submit_next_job(); });
        std::string const key = "k" + std::to_string(m_next_key++);
        fleet::fleet_job job;
        job.m_repeatable = m_fleet.chance(50);
        job.m_spec.m_key = {"t", m_fleet.chance(50) ? "" : domain(), key};
        job.m_spec.m_kind = job.m_repeatable ? "repeat" : "once";
        job.m_spec.m_time_limit = m_fleet.draw_time(1s, 10s);
        for (std::uint64_t task = m_fleet.draw(1, 3); task > 0; --task)
        {
            job.m_spec.m_tasks.push_back(
                {key + "/" + std::to_string(job.m_spec.m_tasks.size()),
                 {100, 100, 0},
                 {}});
        }
        m_fleet.m_jobs.emplace(key, std::move(job));
        submit(key, 3);
        schedule_extra_request(key);
    }

    std::string domain()
    {
        return std::string(1, char('a' + m_fleet.draw(0, 2)));
    }

    /// Submits a job at a random live instance, and again, up to \p attempts times,
    /// if that instance fails before it answers.
    void submit(std::string const & key, int attempts)
    {
        std::size_t const index = pick_live_instance();
        std::size_t const position = m_fleet.submit(key, index);
        resubmit_on_failure(key, position, attempts);
    }

    void resubmit_on_failure(std::string const & key, std::size_t position, int attempts)
    {
        m_fleet.after(
            200ms,
            [this, key, position, attempts]
            {
                fleet::submission const & entry =
                    m_fleet.m_jobs.at(key).m_submissions[position];
                fleet::instance const & instance = m_fleet.m_instances[entry.m_instance];
                if (entry.m_answered || entry.m_disconnected)
                {
                    return;
                }
                if (instance.m_alive && instance.m_incarnation == entry.m_incarnation)
                {
                    resubmit_on_failure(key, position, attempts);
                    return;
                }
                m_fleet.disconnect_caller(key, position);
                if (attempts > 0)
                {
                    submit(key, attempts - 1);
                }
            });
    }

    /// Schedules at random a resubmission, cancellation, query, submission of a different
    /// job under the key, or a disconnect of the caller.
    void schedule_extra_request(std::string const & key)
    {
        duration const delay = m_fleet.draw_time(0ms, 3s);
        switch (m_fleet.draw(0, 11))
        {
        case 0:
        case 1:
        case 2:
            m_fleet.after(delay, [this, key] { submit(key, 1); });
            break;
        case 3:
            m_fleet.after(m_fleet.draw_time(0ms, 40s), [this, key] { submit(key, 0); });
            break;
        case 4:
            m_fleet.after(delay,
                          [this, key] {
                              m_fleet.request_key(key, pick_live_instance(),
                                                  decision::key_operation::cancel);
                          });
            break;
        case 5:
            m_fleet.after(delay,
                          [this, key] {
                              m_fleet.request_key(key, pick_live_instance(),
                                                  decision::key_operation::query);
                          });
            break;
        case 6:
            m_fleet.after(delay, [this, key]
                          { m_fleet.submit(key, pick_live_instance(), true); });
            break;
        case 7:
            m_fleet.after(delay,
                          [this, key]
                          {
                              m_fleet.disconnect_caller(key, 0);
                              submit(key, 0);
                          });
            break;
        default:
            break;
        }
    }

    void restart_after(std::size_t index, duration delay)
    {
        m_fleet.after(delay,
                      [this, index]
                      {
                          if (!m_fleet.m_instances[index].m_alive)
                          {
                              m_fleet.start(index);
                          }
                      });
    }

    void kill_random_instance()
    {
        std::size_t const index = pick_instance();
        std::size_t const alive = std::size_t(std::count_if(
            m_fleet.m_instances.begin(), m_fleet.m_instances.end(),
            [](fleet::instance const & instance) { return instance.m_alive; }));
        if (alive > 3 && m_fleet.m_instances[index].m_alive)
        {
            record_fault("fault_kill", m_fleet.m_instances[index].m_name);
            m_fleet.kill(index);
            restart_after(index, m_fleet.draw_time(100ms, 12s));
        }
    }

    void drain_random_instance()
    {
        std::size_t const index = pick_instance();
        std::uint64_t const incarnation = m_fleet.m_instances[index].m_incarnation;
        record_fault("fault_drain", m_fleet.m_instances[index].m_name);
        m_fleet.deliver(index, decision::drain_requested{});
        kill_when_idle(index, incarnation);
    }

    /// Kills a draining instance as soon as it is idle, and restarts it.
    void kill_when_idle(std::size_t index, std::uint64_t incarnation)
    {
        m_fleet.after(50ms,
                      [this, index, incarnation]
                      {
                          fleet::instance & instance = m_fleet.m_instances[index];
                          if (!instance.m_alive || instance.m_incarnation != incarnation)
                          {
                              return;
                          }
                          if (!decision::is_idle(instance.m_state) || instance.m_paused)
                          {
                              kill_when_idle(index, incarnation);
                              return;
                          }
                          if (m_fleet.count_waiting(index) > 0)
                          {
                              m_fleet.report_violation(
                                  instance.m_name +
                                  " drained_before_callers_were_answered");
                          }
                          m_fleet.kill(index);
                          ++m_fleet.m_event_counts["drained"];
                          restart_after(index, 500ms);
                      });
    }

    void inject_next_fault()
    {
        if (m_fleet.m_now >= submission_time)
        {
            end_faults();
            return;
        }
        m_fleet.after(m_fleet.draw_time(200ms, 4s), [this] { inject_next_fault(); });
        std::size_t const index = pick_instance();
        duration const length = m_fleet.draw_time(200ms, 15s);
        switch (m_fleet.draw(0, 9))
        {
        case 0:
            record_fault("fault_store_down", std::to_string(to_milliseconds(length)));
            m_fleet.m_store_down = true;
            m_fleet.after(length, [this] { m_fleet.m_store_down = false; });
            break;
        case 1:
            record_fault("fault_store_slow", std::to_string(to_milliseconds(length)));
            m_fleet.m_store_slow = true;
            m_fleet.after(length, [this] { m_fleet.m_store_slow = false; });
            break;
        case 2:
            record_fault("fault_lost_answers", std::to_string(to_milliseconds(length)));
            m_fleet.m_lost_replies_percent = 40;
            m_fleet.after(length, [this] { m_fleet.m_lost_replies_percent = 0; });
            break;
        case 3:
            record_fault("fault_store_cut", m_fleet.m_instances[index].m_name + " " +
                                                std::to_string(to_milliseconds(length)));
            m_fleet.m_instances[index].m_store_unreachable = true;
            m_fleet.after(length, [this, index]
                          { m_fleet.m_instances[index].m_store_unreachable = false; });
            break;
        case 4:
            partition(length);
            break;
        case 5:
            kill_random_instance();
            break;
        case 6:
            record_fault("fault_pause", m_fleet.m_instances[index].m_name + " " +
                                            std::to_string(to_milliseconds(length)));
            pause(index, m_fleet.chance(30) ? duration(30s) : length / 2);
            break;
        case 7:
            record_fault("fault_disconnect");
            m_fleet.disconnect(index, pick_instance());
            break;
        case 8:
            drain_random_instance();
            break;
        case 9:
            change_configuration();
            break;
        }
    }

    void pause(std::size_t index, duration length)
    {
        if (m_fleet.m_instances[index].m_alive && !m_fleet.m_instances[index].m_paused)
        {
            m_fleet.pause(index, length);
            m_paused_until[index] = m_fleet.m_now + length;
        }
    }

    void partition(duration length)
    {
        record_fault("fault_partition");
        std::pair<std::string, std::string> const domain_pair =
            std::minmax(domain(), domain());
        if (domain_pair.first == domain_pair.second)
        {
            return;
        }
        m_fleet.m_partitions.insert(domain_pair);
        for (std::size_t left = 0; left < m_fleet.m_instances.size(); ++left)
        {
            for (std::size_t right = left + 1; right < m_fleet.m_instances.size();
                 ++right)
            {
                if (std::pair<std::string, std::string>(
                        std::minmax(m_fleet.m_instances[left].m_domain,
                                    m_fleet.m_instances[right].m_domain)) == domain_pair)
                {
                    m_fleet.disconnect(left, right);
                }
            }
        }
        m_fleet.after(length,
                      [this, domain_pair] { m_fleet.m_partitions.erase(domain_pair); });
    }

    /// Delivers a newer document to one instance and an older one to another.
    void change_configuration()
    {
        auto const older = m_fleet.m_configuration;
        m_fleet.set_configuration(++m_version);
        m_fleet.deliver(pick_live_instance(),
                        decision::configuration_changed{m_fleet.m_configuration, "d"});
        m_fleet.deliver(pick_live_instance(),
                        decision::configuration_changed{older, "d"});
    }

    void end_faults()
    {
        m_fleet.m_store_down = false;
        m_fleet.m_store_slow = false;
        m_fleet.m_lost_replies_percent = 0;
        m_fleet.m_partitions.clear();
        for (fleet::instance & instance : m_fleet.m_instances)
        {
            instance.m_store_unreachable = false;
        }
    }

    void check()
    {
        for (auto const & [key, job] : m_fleet.m_jobs)
        {
            check_starts(key, job);
            for (fleet::submission const & entry : job.m_submissions)
            {
                check_answer(key, job, entry);
            }
        }
        for (fleet::instance const & instance : m_fleet.m_instances)
        {
            auto const & configuration = instance.m_state.m_dispatch.m_configuration;
            if (instance.m_alive && !instance.m_paused &&
                configuration->m_version != m_version)
            {
                m_fleet.report_violation(instance.m_name + " configuration_not_in_force");
            }
        }
    }

    void check_starts(std::string const & key, fleet::fleet_job const & job)
    {
        std::set<std::uint64_t> owners;
        std::set<fencing_token> tokens;
        for (auto const & [task, runs] : job.m_runs)
        {
            std::size_t const allowed = job.m_repeatable ? 3 : 1;
            if (runs.size() > allowed)
            {
                m_fleet.report_violation(key + " task_started_too_often");
            }
            for (fleet::task_run const & run : runs)
            {
                owners.insert(run.m_attempt.m_incarnation);
                tokens.insert(run.m_token);
            }
        }
        if (!job.m_key_lost && (owners.size() > 1 || tokens.size() > 1))
        {
            m_fleet.report_violation(key + " resubmission_started_again");
        }
        bool const refused_by_all = std::all_of(
            job.m_submissions.begin(), job.m_submissions.end(),
            [](fleet::submission const & entry)
            { return entry.m_answered && entry.m_answer.m_ran == run_state::no; });
        if (!job.m_runs.empty() && refused_by_all)
        {
            m_fleet.report_violation(key + " refused_as_not_run_but_started");
        }
    }

    void check_answer(std::string const & key, fleet::fleet_job const & job,
                      fleet::submission const & entry)
    {
        if (!entry.m_answered)
        {
            fleet::instance const & instance = m_fleet.m_instances[entry.m_instance];
            bool const served =
                instance.m_alive && instance.m_incarnation == entry.m_incarnation;
            if (served && !entry.m_disconnected && !instance.m_paused)
            {
                m_fleet.report_violation(key + " never_answered");
            }
            return;
        }
        bool const paused = m_paused_until[entry.m_instance] >= entry.m_at;
        if (!paused &&
            entry.m_answered_at > entry.m_at + job.m_spec.m_time_limit + answer_tolerance)
        {
            m_fleet.report_violation(key + " answered_late");
        }
        std::vector<std::string> expected;
        if (!entry.m_answer.m_error)
        {
            for (task_spec const & task : job.m_spec.m_tasks)
            {
                expected.push_back(task.m_payload);
            }
            if (entry.m_other_job && !job.m_submissions.empty())
            {
                expected[0] += "-other";
            }
        }
        if (entry.m_answer.m_results != expected)
        {
            m_fleet.report_violation(key + " answer_incomplete_or_of_another_job");
        }
    }
};

/// Prints the submissions, answers and starts of a job.
void print_job(fleet::simulation const & run, std::string const & key)
{
    fleet::fleet_job const & job = run.m_jobs.at(key);
    for (fleet::submission const & entry : job.m_submissions)
    {
        std::cout << "\n  submitted at " << run.m_instances[entry.m_instance].m_name
                  << " " << to_milliseconds(entry.m_at) << " ms, other job "
                  << entry.m_other_job << ", disconnected " << entry.m_disconnected
                  << ", answered " << entry.m_answered << " "
                  << to_milliseconds(entry.m_answered_at) << " ms "
                  << entry.m_answer.m_error.message() << " results";
        for (std::string const & result : entry.m_answer.m_results)
        {
            std::cout << " " << result;
        }
    }
    for (auto const & [task, runs] : job.m_runs)
    {
        for (fleet::task_run const & started : runs)
        {
            std::cout << "\n  task " << task << " started "
                      << to_milliseconds(started.m_at) << " ms attempt "
                      << to_string(started.m_attempt) << " token "
                      << started.m_token.m_shard << ":" << started.m_token.m_epoch;
        }
    }
}

void print_counts(std::uint64_t seed, fleet::simulation const & run)
{
    std::cout << "\nseed " << seed << ": " << run.m_jobs.size() << " jobs, "
              << run.m_steps << " steps, " << run.m_writes << " writes";
    for (auto const & [name, count] : run.m_event_counts)
    {
        std::cout << ", " << name << " " << count;
    }
    std::cout << std::endl;
}

// Guards against a second start of a task, a refusal of work that ran, an answer that is
// incomplete, missing or sent to the wrong caller, and a configuration that reverts,
// under any mix of faults.
class decision_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decision_property_test);
    CPPUNIT_TEST(fleet_under_random_faults_keeps_guarantees);
    CPPUNIT_TEST_SUITE_END();

public:
    void fleet_under_random_faults_keeps_guarantees()
    {
        std::uint64_t const first = read_number("CASSIAHUB_SEED", 1);
        std::uint64_t const runs = read_number("CASSIAHUB_RUNS", default_runs);
        std::map<std::string, std::uint64_t> totals;
        std::size_t violations = 0;
        for (std::uint64_t seed = first; seed < first + runs; ++seed)
        {
            random_run run(seed);
            run.m_fleet.m_mutations = read_mutations();
            run.m_fleet.m_trace_enabled = std::getenv("CASSIAHUB_KEY") != nullptr;
            try
            {
                run.run();
            }
            catch (std::exception const & error)
            {
                run.m_fleet.report_violation(std::string("exception ") + error.what());
            }
            if (std::getenv("CASSIAHUB_VERBOSE") != nullptr)
            {
                print_counts(seed, run.m_fleet);
            }
            for (auto const & [name, count] : run.m_fleet.m_event_counts)
            {
                totals[name] += count;
            }
            totals["steps"] += run.m_fleet.m_steps;
            totals["jobs"] += run.m_fleet.m_jobs.size();
            violations += run.m_fleet.m_violations.size();
            for (std::size_t index = 0;
                 index < std::min<std::size_t>(5, run.m_fleet.m_violations.size());
                 ++index)
            {
                std::cout << "\nseed " << seed << ": " << run.m_fleet.m_violations[index];
            }
            if (char const * const key = std::getenv("CASSIAHUB_KEY"))
            {
                print_job(run.m_fleet, key);
            }
        }
        std::cout << "\n"
                  << runs << " runs from seed " << first << ", " << violations
                  << " violations:";
        for (auto const & [name, count] : totals)
        {
            std::cout << " " << name << "=" << count;
        }
        std::cout << std::endl;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), violations);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_property_test);

} // namespace
