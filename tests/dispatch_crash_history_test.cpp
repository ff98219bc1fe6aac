/// \file Losses of upstreams under a task, over submissions and instances.

#include <cassiahub/dispatch/crash_history.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace cassiahub;
using namespace cassiahub::dispatch;
using namespace std::chrono_literals;

namespace
{

class crash_history_fixture : public CppUnit::TestFixture
{
protected:
    crash_history m_history;
    time_point m_now{1000s};

    static task_identity task(std::uint32_t index)
    {
        return {"tenant", "job", index};
    }

    void lose(std::string upstream, std::vector<task_identity> tasks,
              upstream_fate fate = upstream_fate::unknown)
    {
        record_loss(m_history, {{std::move(upstream), 1}, fate, std::move(tasks)}, m_now);
    }

    crash_verdict verdict(std::uint32_t index = 0) const
    {
        return judge_task(m_history, "tenant", "job", index);
    }
};

class crash_verdict_test : public crash_history_fixture
{
    CPPUNIT_TEST_SUITE(crash_verdict_test);
    CPPUNIT_TEST(task_without_loss_is_unsuspected);
    CPPUNIT_TEST(task_under_two_crashed_upstreams_is_convicted);
    CPPUNIT_TEST(task_under_three_lost_upstreams_is_withheld_until_one_survives);
    CPPUNIT_TEST(neighbour_of_convicted_task_is_only_suspected);
    CPPUNIT_TEST(loss_that_is_reported_twice_counts_once);
    CPPUNIT_TEST_SUITE_END();

    void task_without_loss_is_unsuspected()
    {
        lose("a", {task(0)});
        CPPUNIT_ASSERT(verdict(0) == crash_verdict::suspected);
        CPPUNIT_ASSERT(verdict(1) == crash_verdict::unsuspected);
    }

    void task_under_two_crashed_upstreams_is_convicted()
    {
        lose("a", {task(0)}, upstream_fate::crashed);
        CPPUNIT_ASSERT(verdict() == crash_verdict::suspected);
        lose("b", {task(0)});
        CPPUNIT_ASSERT(verdict() == crash_verdict::suspected);
        lose("b", {}, upstream_fate::crashed);
        CPPUNIT_ASSERT(verdict() == crash_verdict::convicted);
    }

    void task_under_three_lost_upstreams_is_withheld_until_one_survives()
    {
        lose("a", {task(0)});
        lose("b", {task(0)});
        lose("c", {task(0)});
        CPPUNIT_ASSERT(verdict() == crash_verdict::withheld);
        lose("b", {}, upstream_fate::survived);
        CPPUNIT_ASSERT(verdict() == crash_verdict::suspected);
    }

    void neighbour_of_convicted_task_is_only_suspected()
    {
        lose("a", {task(0), task(1)}, upstream_fate::crashed);
        lose("b", {task(0)}, upstream_fate::crashed);
        CPPUNIT_ASSERT(verdict(0) == crash_verdict::convicted);
        CPPUNIT_ASSERT(verdict(1) == crash_verdict::suspected);
    }

    void loss_that_is_reported_twice_counts_once()
    {
        lose("a", {task(0)}, upstream_fate::crashed);
        lose("a", {task(0)}, upstream_fate::crashed);
        CPPUNIT_ASSERT(verdict() == crash_verdict::suspected);
    }
};

class crash_history_size_test : public crash_history_fixture
{
    CPPUNIT_TEST_SUITE(crash_history_size_test);
    CPPUNIT_TEST(loss_older_than_retention_is_forgotten);
    CPPUNIT_TEST(full_history_forgets_oldest_task);
    CPPUNIT_TEST(listed_losses_give_another_history_the_same_verdicts);
    CPPUNIT_TEST(listed_loss_expires_with_the_original);
    CPPUNIT_TEST(loss_of_crashed_upstream_under_another_task_is_a_crash);
    CPPUNIT_TEST_SUITE_END();

    void loss_older_than_retention_is_forgotten()
    {
        lose("a", {task(0)});
        m_now += loss_retention / 2;
        lose("b", {task(1)});
        m_now += loss_retention / 2;
        expire_losses(m_history, m_now);
        CPPUNIT_ASSERT(verdict(0) == crash_verdict::unsuspected);
        CPPUNIT_ASSERT(verdict(1) == crash_verdict::suspected);
    }

    void full_history_forgets_oldest_task()
    {
        for (std::uint32_t index = 0; index <= max_suspects; ++index)
        {
            m_now += 1ms;
            lose("a", {task(index)});
        }
        CPPUNIT_ASSERT_EQUAL(max_suspects, m_history.m_tasks.size());
        CPPUNIT_ASSERT_EQUAL(max_suspects, m_history.m_by_time.size());
        CPPUNIT_ASSERT(verdict(0) == crash_verdict::unsuspected);
    }

    void listed_losses_give_another_history_the_same_verdicts()
    {
        lose("a", {task(0), task(1)}, upstream_fate::crashed);
        lose("b", {task(0)}, upstream_fate::crashed);
        crash_history other;
        for (upstream_loss const & loss : list_losses(m_history, m_now))
        {
            record_loss(other, loss, m_now);
        }
        CPPUNIT_ASSERT(judge_task(other, "tenant", "job", 0) == crash_verdict::convicted);
        CPPUNIT_ASSERT(judge_task(other, "tenant", "job", 1) == crash_verdict::suspected);
    }

    // Guards against a suspicion that instances restarted one after another pass on for
    // ever.
    void listed_loss_expires_with_the_original()
    {
        lose("a", {task(0)});
        m_now += loss_retention / 2;
        crash_history other;
        for (upstream_loss const & loss : list_losses(m_history, m_now))
        {
            record_loss(other, loss, m_now);
        }
        expire_losses(other, m_now + loss_retention / 2);
        CPPUNIT_ASSERT(other.m_tasks.empty());
        CPPUNIT_ASSERT(other.m_by_upstream.empty());
    }

    // Guards against a crash that counts only for the tasks whose losses were reported
    // before the fate of the upstream.
    void loss_of_crashed_upstream_under_another_task_is_a_crash()
    {
        lose("a", {task(0)}, upstream_fate::crashed);
        lose("a", {task(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_losses(m_history, task(1)).m_crashes);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(crash_verdict_test);
CPPUNIT_TEST_SUITE_REGISTRATION(crash_history_size_test);
