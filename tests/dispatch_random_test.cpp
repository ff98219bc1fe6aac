/// \file Random event sequences on one dispatcher with one to three services, whose
/// upstreams are lost, return and change their service; the invariants are checked after
/// each event.

#include "dispatch_fixture.hpp"

#include <rapidcheck.h>

#include <map>
#include <set>

namespace cassiahub::dispatch
{

// Guards against sequences of events that violate an invariant, start a task on an
// upstream of another service or of another instance, start a non-repeatable task again
// after it may have run, do not answer a job exactly once, or leave a slot in use.
class random_events_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(random_events_test);
    CPPUNIT_TEST(random_events_keep_invariants_and_answer_every_job);
    CPPUNIT_TEST_SUITE_END();

    std::map<attempt_id, std::string> m_running; ///< running attempts and their kinds
    std::map<job_key, int> m_answers;
    std::vector<job_key> m_keys;
    attempt_start m_forwarded; ///< last task of a peer
    std::vector<std::string> m_services;
    std::set<std::string> m_owned; ///< names of the owned upstreams

    void assert_allowed(attempt_start const & start) const
    {
        auto const & upstreams = m_configuration.m_upstreams;
        auto const found = std::find_if(upstreams.begin(), upstreams.end(),
                                        [&start](config::upstream const & upstream)
                                        { return upstream.m_name == start.m_upstream; });
        RC_ASSERT(found != upstreams.end());
        RC_ASSERT(found->m_service ==
                  config::find_kind(m_configuration, start.m_kind)->m_service);
        RC_ASSERT(m_owned.contains(start.m_upstream));
    }

    void collect_effects()
    {
        for (attempt_start const & start : m_out.m_starts)
        {
            assert_allowed(start);
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
            set_peer(m_state, {peer,
                               peer.m_value == "near" ? "north" : "south",
                               {{static_cast<std::uint32_t>(*rc::gen::inRange(0, 4)),
                                 0,
                                 {},
                                 draw_service()}}});
        }
        step();
    }

    /// Receives a new task of a peer or, unchanged, the last one again.
    void accept_forwarded_task()
    {
        if (m_forwarded.m_attempt.m_serial == 0 || *rc::gen::arbitrary<bool>())
        {
            ++m_forwarded.m_attempt.m_serial;
            m_forwarded.m_deadline = m_now + 2s;
            m_forwarded.m_send_before =
                m_now + std::chrono::milliseconds(*rc::gen::inRange(0, 500));
        }
        accept_forwarded(m_state, {"far"}, m_forwarded, m_now, m_out);
        step();
    }

    std::string draw_service()
    {
        return *rc::gen::elementOf(m_services);
    }

    config::upstream draw_upstream(std::string name)
    {
        config::upstream upstream;
        upstream.m_name = std::move(name);
        upstream.m_domain = *rc::gen::element<std::string>("north", "south");
        upstream.m_slots = 2;
        upstream.m_capacity.m_millicores = *rc::gen::element(8'000U, 16'000U);
        upstream.m_service = draw_service();
        return upstream;
    }

    void add_or_remove_upstream()
    {
        auto & upstreams = m_configuration.m_upstreams;
        std::string const name = "up-" + std::to_string(*rc::gen::inRange(0, 8));
        if (std::erase_if(upstreams, [&name](config::upstream const & upstream)
                          { return upstream.m_name == name; }) == 0)
        {
            upstreams.push_back(draw_upstream(name));
        }
    }

    void move_upstream()
    {
        if (!m_configuration.m_upstreams.empty())
        {
            auto const last =
                static_cast<std::ptrdiff_t>(m_configuration.m_upstreams.size());
            m_configuration
                .m_upstreams[std::size_t(*rc::gen::inRange<std::ptrdiff_t>(0, last))]
                .m_service = draw_service();
        }
    }

    /// Applies m_configuration and takes ownership of about \p percent of its upstreams.
    void apply_changes(int percent)
    {
        apply_configuration(
            m_state, std::make_shared<config::fleet_configuration>(m_configuration),
            m_now);
        m_owned.clear();
        for (config::upstream const & upstream : m_configuration.m_upstreams)
        {
            if (*rc::gen::inRange(0, 100) < percent)
            {
                m_owned.insert(upstream.m_name);
            }
        }
        set_owned_upstreams(m_state,
                            std::vector<std::string>(m_owned.begin(), m_owned.end()));
        step();
    }

    void change_upstreams()
    {
        switch (*rc::gen::inRange(0, 6))
        {
        case 0:
            m_configuration.m_kinds[std::size_t(*rc::gen::inRange(0, 3))].m_service =
                draw_service();
            break;
        case 1:
            move_upstream();
            break;
        default:
            add_or_remove_upstream();
            break;
        }
        apply_changes(*rc::gen::element(0, 50, 100, 100));
    }

    void change_state_of_upstream()
    {
        std::string const name = "up-" + std::to_string(*rc::gen::inRange(0, 8));
        switch (*rc::gen::inRange(0, 3))
        {
        case 0:
            set_upstream_leaving(m_state, name, *rc::gen::arbitrary<bool>());
            break;
        case 1:
            set_upstream_available(m_state, name, *rc::gen::inRange(0, 3) > 0);
            break;
        default:
            set_drained_domains(m_state,
                                *rc::gen::element(std::vector<std::string>{},
                                                  std::vector<std::string>{"south"}));
            break;
        }
        step();
    }

    void perform_random_event()
    {
        switch (*rc::gen::inRange(0, 14))
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
        case 9:
            return change_state_of_upstream();
        case 10:
            return change_upstreams();
        default:
            return finish_random_attempt();
        }
    }

    void draw_settings(std::size_t services)
    {
        m_configuration = make_configuration();
        m_configuration.m_dispatch.m_ejection = *rc::gen::element(
            config::ejection_policy::success_rate,
            config::ejection_policy::consecutive_failures, config::ejection_policy::none);
        m_configuration.m_dispatch.m_policy = *rc::gen::element(
            config::dispatch_policy::fair, config::dispatch_policy::fair,
            config::dispatch_policy::baseline);
        m_configuration.m_dispatch.m_hedge_budget_percent = 100;
        m_configuration.m_dispatch.m_reservation_delay =
            std::chrono::milliseconds(*rc::gen::inRange(1, 200));
        m_configuration.m_dispatch.m_interference.m_mode = *rc::gen::element(
            config::interference_mode::off, config::interference_mode::observe,
            config::interference_mode::avoid);
        m_services = {"", "archive", "pool"};
        m_services.resize(services);
        for (config::work_kind & kind : m_configuration.m_kinds)
        {
            kind.m_service = draw_service();
        }
        m_configuration.m_upstreams.clear();
        for (int index = *rc::gen::inRange(1, 8); index > 0; --index)
        {
            m_configuration.m_upstreams.push_back(
                draw_upstream("up-" + std::to_string(index)));
        }
    }

    void run_random_events(std::size_t services)
    {
        m_state = {};
        m_state.m_domain = "north";
        m_out = {}; // a run that failed may have left effects
        m_running.clear();
        m_answers.clear();
        m_keys.clear();
        m_forwarded = {};
        m_forwarded.m_attempt.m_incarnation = 77;
        m_forwarded.m_job = {"acme", "south", "theirs"};
        m_forwarded.m_kind = "lodge";
        draw_settings(services);
        apply_changes(100);
        for (int event = 0; event < 400; ++event)
        {
            perform_random_event();
            collect_effects();
        }
        step(20s); // past every deadline and attempt timeout
        collect_effects();
        RC_ASSERT(m_answers.size() == m_keys.size());
        RC_ASSERT(m_state.m_attempts.empty());
        RC_ASSERT(m_state.m_queued_tasks == 0);
        apply_changes(0);
        RC_ASSERT(m_state.m_upstream_index.empty());
        RC_ASSERT(m_state.m_free_upstream_indexes.size() == m_state.m_upstreams.size());
    }

public:
    void random_events_keep_invariants_and_answer_every_job()
    {
        for (std::size_t const services : {1, 2, 3})
        {
            CPPUNIT_ASSERT(
                rc::check("random events, services: " + std::to_string(services),
                          [this, services] { run_random_events(services); }));
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(random_events_test);

} // namespace cassiahub::dispatch
