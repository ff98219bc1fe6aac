#include "dispatch_fixture.hpp"

namespace cassiahub::dispatch
{

namespace
{

// Guards against decisions for one service that the upstreams, the load or the failures
// of another one affect. The kind "lodge" and "up-2" belong to the service "archive", the
// rest to "pool".
class dispatch_service_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(dispatch_service_test);
    CPPUNIT_TEST(upstream_that_changes_its_service_gets_tasks_of_the_new_one);
    CPPUNIT_TEST(kind_that_changes_its_service_keeps_running_tasks_in_place);
    CPPUNIT_TEST(load_of_two_services_is_reported_apart);
    CPPUNIT_TEST(probe_of_ejected_upstream_is_a_task_of_its_service);
    CPPUNIT_TEST(failures_of_one_service_do_not_excuse_upstream_of_another);
    CPPUNIT_TEST(reservation_in_one_service_leaves_another_free);
    CPPUNIT_TEST(expected_wait_counts_own_service_only);
    CPPUNIT_TEST(demand_change_after_loss_in_another_service_leaves_pool_empty);
    CPPUNIT_TEST(reservation_of_lost_upstream_is_not_inherited_by_its_successor);
    CPPUNIT_TEST(assigned_task_of_upstream_that_changes_service_runs_in_its_own);
    CPPUNIT_TEST(assigned_task_of_lost_upstream_runs_on_another);
    CPPUNIT_TEST(assigned_task_of_kind_that_changes_service_runs_in_the_new_one);
    CPPUNIT_TEST_SUITE_END();

    void assign_services()
    {
        for (config::work_kind & kind : m_configuration.m_kinds)
        {
            kind.m_service = kind.m_name == "lodge" ? "archive" : "pool";
        }
        for (config::upstream & upstream : m_configuration.m_upstreams)
        {
            upstream.m_service = upstream.m_name == "up-2" ? "archive" : "pool";
        }
    }

    config::upstream & definition_of(std::string_view name)
    {
        return *std::find_if(m_configuration.m_upstreams.begin(),
                             m_configuration.m_upstreams.end(),
                             [name](config::upstream const & upstream)
                             { return upstream.m_name == name; });
    }

    /// Replaces the upstream \p name by a new one of \p service with the name \p
    /// successor.
    void replace_upstream(std::string_view name, std::string successor,
                          std::string_view service)
    {
        config::upstream & definition = definition_of(name);
        definition.m_name = std::move(successor);
        definition.m_service = service;
    }

    /// Finishes every attempt as it starts, until none starts any more. \returns the
    /// starts.
    std::vector<attempt_start> run_all(std::vector<attempt_start> started)
    {
        std::vector<attempt_start> all;
        while (!started.empty())
        {
            for (attempt_start const & start : started)
            {
                finish(start.m_attempt, attempt_outcome::succeeded);
                all.push_back(start);
            }
            started = take_starts();
        }
        return all;
    }

    /// Selects the baseline policy and puts up-0 into the service "archive" beside up-2.
    void assign_at_random()
    {
        m_configuration.m_dispatch.m_policy = config::dispatch_policy::baseline;
        definition_of("up-0").m_service = "archive";
        apply();
    }

    service_pool const & pool(std::string_view service) const
    {
        return m_state.m_pools[m_state.m_pool_index.find(service)->second];
    }

public:
    void setUp() override
    {
        m_configuration = make_configuration();
        assign_services();
        apply();
    }

    void upstream_that_changes_its_service_gets_tasks_of_the_new_one()
    {
        submit("lodge", 2);
        take_starts();
        submit("lodge", 1);
        CPPUNIT_ASSERT(take_starts().empty());
        definition_of("up-0").m_service = "archive";
        apply();
        step();
        CPPUNIT_ASSERT_EQUAL(std::string("up-0"), take_one_start().m_upstream);
        submit("check", 3);
        for (attempt_start const & start : take_starts())
        {
            CPPUNIT_ASSERT_EQUAL(std::string("up-1"), start.m_upstream);
        }
    }

    void kind_that_changes_its_service_keeps_running_tasks_in_place()
    {
        submit("lodge", 3);
        auto const running = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), running.size());
        m_configuration.m_kinds.back().m_service = "pool";
        apply();
        step();
        CPPUNIT_ASSERT(m_out.m_cancels.empty());
        CPPUNIT_ASSERT(take_one_start().m_upstream != "up-2");
        finish(running[0].m_attempt, attempt_outcome::succeeded);
        finish(running[1].m_attempt, attempt_outcome::succeeded);
        CPPUNIT_ASSERT_EQUAL(2U, pool("archive").m_offered_slots);
        CPPUNIT_ASSERT_EQUAL(3U, pool("pool").m_offered_slots);
    }

    void load_of_two_services_is_reported_apart()
    {
        submit("lodge", 3);
        auto const loads = current_loads(m_state);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), loads.size());
        for (peer_load const & load : loads)
        {
            bool const archive = load.m_service == "archive";
            CPPUNIT_ASSERT_EQUAL(archive ? 0U : 4U, load.m_free_slots);
            CPPUNIT_ASSERT_EQUAL(archive ? 1U : 0U, load.m_queued_tasks);
        }
    }

    void probe_of_ejected_upstream_is_a_task_of_its_service()
    {
        m_configuration.m_kinds.back().m_repeatable = true;
        definition_of("up-0").m_service = "archive";
        m_configuration.m_dispatch.m_ejection_cap_percent = 90;
        m_configuration.m_dispatch.m_max_attempts = 10;
        apply();
        while (m_state.m_counters.m_ejections == 0)
        {
            submit("lodge", 1);
            for (attempt_start const & start : take_starts())
            {
                finish(start.m_attempt, start.m_upstream == "up-0"
                                            ? attempt_outcome::failed
                                            : attempt_outcome::succeeded);
            }
            m_now += 10ms;
        }
        step(m_configuration.m_dispatch.m_ejection_cooling * 10);
        take_starts();
        submit("check", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("up-1"), take_one_start().m_upstream);
        submit("lodge", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("up-0"), take_one_start().m_upstream);
    }

    void failures_of_one_service_do_not_excuse_upstream_of_another()
    {
        m_configuration.m_dispatch.m_ejection_cap_percent = 90;
        apply();
        for (int round = 0; round < 40; ++round)
        {
            submit("lodge", 1);
            for (attempt_start const & start : take_starts())
            {
                finish(start.m_attempt, attempt_outcome::failed);
            }
            submit("check", 4);
            for (attempt_start const & start : take_starts())
            {
                finish(start.m_attempt, start.m_upstream == "up-0"
                                            ? attempt_outcome::failed
                                            : attempt_outcome::succeeded);
            }
            m_now += 10ms;
        }
        CPPUNIT_ASSERT_EQUAL(1U, pool("pool").m_ejected_count);
    }

    void reservation_in_one_service_leaves_another_free()
    {
        submit("check", 3);
        take_starts();
        job_spec large = make_spec("check", 1);
        large.m_tasks[0].m_demand = {16'000, 512, 0};
        submit(std::move(large));
        step(m_configuration.m_dispatch.m_reservation_delay * 2);
        step(m_configuration.m_dispatch.m_reservation_delay * 2);
        CPPUNIT_ASSERT(pool("pool").m_reservation.m_job != 0);
        CPPUNIT_ASSERT_EQUAL(2U, pool("archive").m_offered_slots);
    }

    void expected_wait_counts_own_service_only()
    {
        for (int round = 0; round < 30; ++round)
        {
            submit("check", 1);
            m_now += 100ms;
            finish(take_one_start().m_attempt, attempt_outcome::succeeded);
        }
        submit("bulk", 50);
        job_spec spec = make_spec("lodge", 1);
        spec.m_key.m_key = "next";
        spec.m_time_limit = 200ms;
        CPPUNIT_ASSERT(!check_admission(m_state, spec, m_now));
        submit("lodge", 2);
        take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), pool("archive").m_queued_tasks);
    }

    // Guards against an access beyond the capacity index of the first service when the
    // slot of a removed upstream counts as one of its upstreams.
    void demand_change_after_loss_in_another_service_leaves_pool_empty()
    {
        m_state = {};
        apply_configuration(
            m_state, std::make_shared<config::fleet_configuration>(m_configuration),
            m_now);
        set_owned_upstreams(m_state, std::vector<std::string>{"up-2"});
        set_owned_upstreams(m_state, {});
        submit("check", 1);
        job_spec larger = make_spec("check", 1);
        larger.m_tasks[0].m_demand.m_millicores = 14'000;
        submit(std::move(larger));
        CPPUNIT_ASSERT_EQUAL(0U, pool("pool").m_usable_slots);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pool("pool").m_queued_tasks);
    }

    // Guards against a start on an upstream of another service that has taken the slot of
    // a reserved upstream.
    void reservation_of_lost_upstream_is_not_inherited_by_its_successor()
    {
        config::upstream elsewhere = definition_of("up-2");
        elsewhere.m_name = "up-9";
        submit("lodge", 1);
        attempt_id const running = take_one_start().m_attempt;
        job_spec large = make_spec("lodge", 1);
        large.m_tasks[0].m_demand = {16'000, 512, 0};
        submit(std::move(large));
        step(m_configuration.m_dispatch.m_reservation_delay * 2);
        step(m_configuration.m_dispatch.m_reservation_delay * 2);
        CPPUNIT_ASSERT(pool("archive").m_reservation.m_job != 0);
        finish_attempt(m_state, {running, attempt_outcome::unknown, "", false}, m_now,
                       m_random, m_out);
        replace_upstream("up-2", "up-3", "pool");
        m_configuration.m_upstreams.push_back(elsewhere);
        apply_configuration(
            m_state, std::make_shared<config::fleet_configuration>(m_configuration),
            m_now);
        set_owned_upstreams(m_state, std::vector<std::string>{"up-0", "up-1", "up-3"});
        step();
        CPPUNIT_ASSERT(take_starts().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), pool("archive").m_reservation.m_job);
    }

    // Guards against a start of the baseline policy in the new service of an upstream.
    void assigned_task_of_upstream_that_changes_service_runs_in_its_own()
    {
        assign_at_random();
        submit("lodge", 20);
        auto const running = take_starts();
        definition_of("up-2").m_service = "pool";
        apply();
        step();
        auto const all = run_all(running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), all.size());
        for (std::size_t index = running.size(); index < all.size(); ++index)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("up-0"), all[index].m_upstream);
        }
        CPPUNIT_ASSERT(!take_answer().m_error);
    }

    // Guards against tasks of the baseline policy that wait for an upstream that is gone.
    void assigned_task_of_lost_upstream_runs_on_another()
    {
        assign_at_random();
        submit("lodge", 20);
        auto const running = take_starts();
        std::erase_if(m_configuration.m_upstreams, [](config::upstream const & upstream)
                      { return upstream.m_name == "up-2"; });
        apply();
        step();
        auto const all = run_all(running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), all.size());
        for (std::size_t index = running.size(); index < all.size(); ++index)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("up-0"), all[index].m_upstream);
        }
        CPPUNIT_ASSERT(!take_answer().m_error);
    }

    // Guards against a start of the baseline policy in the former service of a kind.
    void assigned_task_of_kind_that_changes_service_runs_in_the_new_one()
    {
        assign_at_random();
        submit("lodge", 20);
        auto const running = take_starts();
        m_configuration.m_kinds.back().m_service = "pool";
        apply();
        step();
        auto const all = run_all(running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), all.size());
        for (std::size_t index = running.size(); index < all.size(); ++index)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("up-1"), all[index].m_upstream);
        }
        CPPUNIT_ASSERT(!take_answer().m_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_service_test);

} // namespace

} // namespace cassiahub::dispatch
