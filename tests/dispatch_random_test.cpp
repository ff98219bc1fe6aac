/// \file Random event sequences on one dispatcher; the invariants are checked after each
/// event.

#include "dispatch_fixture.hpp"

#include <rapidcheck.h>

#include <map>

namespace cassiahub::dispatch
{

// Guards against sequences of events that violate an invariant, start a non-repeatable
// task again after it may have run, or do not answer a job exactly once.
class random_events_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(random_events_test);
    CPPUNIT_TEST(random_events_keep_invariants_and_answer_every_job);
    CPPUNIT_TEST_SUITE_END();

    std::map<attempt_id, std::string> m_running; ///< running attempts and their kinds
    std::map<job_key, int> m_answers;
    std::vector<job_key> m_keys;
    std::uint64_t m_forwarded_serial = 0;

    void collect_effects()
    {
        for (attempt_start const & start : m_out.m_starts)
        {
            RC_ASSERT(m_running.emplace(start.m_attempt, start.m_kind).second);
        }
        for (task_forward const & forward : m_out.m_forwards)
        {
            m_running.emplace(forward.m_start.m_attempt, forward.m_start.m_kind);
        }
        for (job_outcome const & outcome : m_out.m_finished)
        {
            RC_ASSERT(++m_answers[outcome.m_key] == 1);
            bool const failed = static_cast<bool>(outcome.m_answer.m_error);
            RC_ASSERT(failed == outcome.m_answer.m_results.empty());
        }
        m_out = {};
    }

    void submit_random_job()
    {
        static std::vector<std::string> const kinds = {"bulk", "check", "lodge"};
        job_spec spec = make_spec(*rc::gen::elementOf(kinds), *rc::gen::inRange(1, 9),
                                  *rc::gen::element<std::string>("acme", "zeta"));
        spec.m_time_limit = std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
        for (task_spec & task : spec.m_tasks)
        {
            task.m_demand.m_millicores =
                static_cast<std::uint32_t>(*rc::gen::inRange(1, 16'001));
        }
        if (!check_admission(m_state, spec, m_now))
        {
            m_keys.push_back(submit(std::move(spec)));
        }
    }

    void finish_random_attempt()
    {
        if (m_running.empty())
        {
            return;
        }
        auto const chosen = std::next(
            m_running.begin(), *rc::gen::inRange<std::ptrdiff_t>(
                                   0, static_cast<std::ptrdiff_t>(m_running.size())));
        attempt_id const id = chosen->first;
        // An attempt that stays in m_running may get a second result, like a duplicate or
        // late message.
        if (*rc::gen::inRange(0, 10) > 0)
        {
            m_running.erase(chosen);
        }
        finish(id, *rc::gen::element(attempt_outcome::succeeded, attempt_outcome::failed,
                                     attempt_outcome::not_run, attempt_outcome::unknown));
    }

    void cancel_random_job()
    {
        if (!m_keys.empty())
        {
            cancel_job(m_state, *rc::gen::elementOf(m_keys), m_now, m_out);
            step();
        }
    }

    void change_peer()
    {
        instance_id const peer{*rc::gen::element<std::string>("near", "far")};
        if (*rc::gen::inRange(0, 3) == 0)
        {
            remove_peer(m_state, peer, m_now, m_random, m_out);
        }
        else
        {
            set_peer(m_state,
                     {peer,
                      peer.m_value == "near" ? "north" : "south",
                      {{static_cast<std::uint32_t>(*rc::gen::inRange(0, 4)), 0}}});
        }
        step();
    }

    void accept_forwarded_task()
    {
        attempt_start start;
        start.m_attempt = {77, m_forwarded_serial += *rc::gen::inRange(0U, 2U)};
        start.m_job = {"acme", "south", "theirs"};
        start.m_kind = "lodge";
        start.m_deadline = m_now + 2s;
        start.m_send_before =
            m_now + std::chrono::milliseconds(*rc::gen::inRange(0, 500));
        accept_forwarded(m_state, {"far"}, start, m_now, m_out);
        step();
    }

    void change_upstreams()
    {
        std::vector<std::string> names = {"up-0", "up-1", "up-2"};
        names.erase(names.begin() + *rc::gen::inRange(0, 3));
        set_owned_upstreams(m_state, names);
        step();
        apply();
        set_upstream_leaving(m_state, names[0], *rc::gen::arbitrary<bool>());
        step();
    }

    void perform_random_event()
    {
        switch (*rc::gen::inRange(0, 12))
        {
        case 0:
            return cancel_random_job();
        case 1:
            return change_peer();
        case 2:
            return accept_forwarded_task();
        case 3:
            return change_upstreams();
        case 4:
        case 5:
            return step(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
        case 6:
        case 7:
        case 8:
            return submit_random_job();
        default:
            return finish_random_attempt();
        }
    }

    void run_random_events()
    {
        m_state = {};
        m_state.m_domain = "north";
        m_configuration.m_dispatch.m_ejection = *rc::gen::element(
            config::ejection_policy::success_rate,
            config::ejection_policy::consecutive_failures, config::ejection_policy::none);
        m_configuration.m_dispatch.m_policy = *rc::gen::element(
            config::dispatch_policy::fair, config::dispatch_policy::fair,
            config::dispatch_policy::baseline);
        m_configuration.m_dispatch.m_hedge_budget_percent = 100;
        m_running.clear();
        m_answers.clear();
        m_keys.clear();
        apply();
        for (int event = 0; event < 150; ++event)
        {
            perform_random_event();
            collect_effects();
        }
        step(20s); // past every deadline and attempt timeout
        collect_effects();
        RC_ASSERT(m_answers.size() == m_keys.size());
        RC_ASSERT(m_state.m_attempts.empty());
        RC_ASSERT(m_state.m_queued_tasks == 0);
    }

public:
    void random_events_keep_invariants_and_answer_every_job()
    {
        CPPUNIT_ASSERT(rc::check("random events", [this] { run_random_events(); }));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(random_events_test);

} // namespace cassiahub::dispatch
