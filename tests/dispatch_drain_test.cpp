#include "dispatch_fixture.hpp"

namespace cassiahub::dispatch
{

namespace
{

// Guards against tasks that start on upstreams of a drained failure domain, and against
// work that waits there instead of being refused. "up-0" is in the domain "south", the
// others in "north"; each has two slots.
class dispatch_drain_test : public dispatch_fixture
{
    CPPUNIT_TEST_SUITE(dispatch_drain_test);
    CPPUNIT_TEST(task_in_drain_starts_in_other_domains_only);
    CPPUNIT_TEST(running_attempt_when_drain_begins_finishes);
    CPPUNIT_TEST(queued_task_when_drain_ends_starts_at_once);
    CPPUNIT_TEST(upstream_added_or_moved_in_drain_is_marked);
    CPPUNIT_TEST(ejected_upstream_in_drain_gets_no_probe);
    CPPUNIT_TEST(probe_that_ends_in_drain_keeps_the_ejection_count);
    CPPUNIT_TEST(reservation_of_drained_upstream_is_released);
    CPPUNIT_TEST(hedge_in_drain_starts_in_other_domains_only);
    CPPUNIT_TEST(load_in_drain_counts_other_domains_only);
    CPPUNIT_TEST(queued_job_when_everything_is_drained_is_refused_as_not_run);
    CPPUNIT_TEST(submission_when_everything_is_drained_is_overloaded);
    CPPUNIT_TEST(job_waits_for_peer_when_own_upstreams_are_drained);
    CPPUNIT_TEST(job_when_upstreams_outside_the_drain_are_unreachable_is_refused);
    CPPUNIT_TEST(job_that_has_run_is_not_refused_by_drain);
    CPPUNIT_TEST(forwarded_task_that_fits_only_drained_upstream_is_returned);
    CPPUNIT_TEST(drain_of_one_service_leaves_another_alone);
    CPPUNIT_TEST_SUITE_END();

    void drain(std::vector<std::string> const & domains)
    {
        set_drained_domains(m_state, domains);
        step();
    }

    /// Ejects up-0 by failures and waits until it may be probed.
    void eject_up_0()
    {
        m_configuration.m_dispatch.m_ejection_cap_percent = 90;
        m_configuration.m_dispatch.m_max_attempts = 10;
        apply();
        while (m_state.m_counters.m_ejections == 0)
        {
            submit("check", 3);
            for (attempt_start const & start : take_starts())
            {
                finish(start.m_attempt, start.m_upstream == "up-0"
                                            ? attempt_outcome::failed
                                            : attempt_outcome::succeeded);
            }
            m_now += 10ms;
        }
        step(m_configuration.m_dispatch.m_ejection_cooling * 10);
        for (attempt_start const & start : take_starts())
        {
            finish(start.m_attempt, attempt_outcome::succeeded);
        }
    }

    forward_result take_forward_result()
    {
        auto results = std::exchange(m_out.m_forward_results, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), results.size());
        return results.front();
    }

    void forward(std::uint64_t serial, resources const & demand)
    {
        attempt_start task;
        task.m_attempt = {9, serial};
        task.m_job = {"acme", "north", "of-peer-" + std::to_string(serial)};
        task.m_kind = "check";
        task.m_demand = demand;
        task.m_deadline = m_now + 10s;
        task.m_send_before = m_now + 1s;
        accept_forwarded(m_state, {"peer"}, std::move(task), m_now, m_out);
        step();
    }

public:
    void setUp() override
    {
        m_configuration = make_configuration();
        m_configuration.m_upstreams[0].m_domain = "south";
        apply();
    }

    void task_in_drain_starts_in_other_domains_only()
    {
        drain({"south"});
        submit("check", 6);
        auto const starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), starts.size());
        for (attempt_start const & start : starts)
        {
            CPPUNIT_ASSERT(start.m_upstream != "up-0");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_drained_upstreams(m_state));
    }

    void running_attempt_when_drain_begins_finishes()
    {
        submit("check", 6);
        auto const starts = take_starts();
        drain({"south", "north"});
        CPPUNIT_ASSERT(m_out.m_cancels.empty());
        for (attempt_start const & start : starts)
        {
            finish(start.m_attempt, attempt_outcome::succeeded);
        }
        CPPUNIT_ASSERT(!take_answer().m_error);
    }

    void queued_task_when_drain_ends_starts_at_once()
    {
        drain({"south"});
        submit("check", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), take_starts().size());
        drain({});
        CPPUNIT_ASSERT_EQUAL(std::string("up-0"), take_one_start().m_upstream);
    }

    void upstream_added_or_moved_in_drain_is_marked()
    {
        drain({"west"});
        config::upstream added = m_configuration.m_upstreams[0];
        added.m_name = "up-3";
        added.m_domain = "west";
        m_configuration.m_upstreams.push_back(added);
        m_configuration.m_upstreams[1].m_domain = "west";
        apply();
        submit("check", 8);
        for (attempt_start const & start : take_starts())
        {
            CPPUNIT_ASSERT(start.m_upstream == "up-0" || start.m_upstream == "up-2");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_drained_upstreams(m_state));
    }

    void ejected_upstream_in_drain_gets_no_probe()
    {
        eject_up_0();
        drain({"south"});
        submit("check", 1);
        CPPUNIT_ASSERT(take_one_start().m_upstream != "up-0");
        drain({});
        submit("check", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("up-0"), take_one_start().m_upstream);
    }

    void probe_that_ends_in_drain_keeps_the_ejection_count()
    {
        eject_up_0();
        for (int probe = 0; probe < 3; ++probe)
        {
            submit("check", 1);
            attempt_start const start = take_one_start();
            CPPUNIT_ASSERT_EQUAL(std::string("up-0"), start.m_upstream);
            drain({"south"});
            finish(start.m_attempt, attempt_outcome::succeeded);
            CPPUNIT_ASSERT_EQUAL(0U, m_state.m_pools[0].m_ejected_count);
            drain({});
        }
        CPPUNIT_ASSERT_EQUAL(0U, m_state.m_pools[0].m_ejected_count);
        CPPUNIT_ASSERT_EQUAL(3U, m_state.m_pools[0].m_owned_count);
    }

    void reservation_of_drained_upstream_is_released()
    {
        m_configuration.m_upstreams[0].m_capacity.m_millicores = 64'000;
        m_configuration.m_upstreams[2].m_capacity.m_millicores = 64'000;
        apply();
        submit("check", 6);
        auto const running = take_starts();
        job_spec large = make_spec("check", 1);
        large.m_tasks[0].m_demand = {64'000, 512, 0};
        submit(std::move(large));
        auto const other = std::find_if(running.begin(), running.end(),
                                        [](attempt_start const & start)
                                        { return start.m_upstream == "up-1"; });
        finish(other->m_attempt, attempt_outcome::succeeded);
        step(m_configuration.m_dispatch.m_reservation_delay * 2);
        step(m_configuration.m_dispatch.m_reservation_delay * 2);
        CPPUNIT_ASSERT(m_state.m_pools[0].m_reservation.m_job != 0);
        std::uint32_t const reserved = m_state.m_pools[0].m_reservation.m_upstream;
        drain({m_state.m_upstreams[reserved].m_definition.m_domain});
        CPPUNIT_ASSERT(m_out.m_finished.empty());
        CPPUNIT_ASSERT(m_state.m_pools[0].m_reservation.m_upstream != reserved);
    }

    void hedge_in_drain_starts_in_other_domains_only()
    {
        m_configuration.m_dispatch.m_hedge_budget_percent = 100;
        apply();
        for (int round = 0; round < 40; ++round)
        {
            submit("check", 1);
            m_now += 100ms;
            finish(take_one_start().m_attempt, attempt_outcome::succeeded);
        }
        submit("check", 4);
        std::size_t const first = take_starts().size();
        drain({"south"});
        std::size_t hedges = 0;
        for (int wait = 0; wait < 40; ++wait)
        {
            step(50ms);
            for (attempt_start const & start : take_starts())
            {
                ++hedges;
                CPPUNIT_ASSERT(start.m_upstream != "up-0");
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), first);
        CPPUNIT_ASSERT(hedges > 0);
    }

    void load_in_drain_counts_other_domains_only()
    {
        drain({"south"});
        CPPUNIT_ASSERT_EQUAL(4U, current_loads(m_state).at(0).m_free_slots);
        drain({"south", "north"});
        CPPUNIT_ASSERT(current_loads(m_state).empty());
        drain({});
        CPPUNIT_ASSERT_EQUAL(6U, current_loads(m_state).at(0).m_free_slots);
    }

    void queued_job_when_everything_is_drained_is_refused_as_not_run()
    {
        submit("check", 6);
        submit("check", 1);
        drain({"north", "south"});
        job_answer const refused = take_answer();
        CPPUNIT_ASSERT(refused.m_error == job_errc::overloaded);
        CPPUNIT_ASSERT(refused.m_ran == run_state::no);
    }

    void submission_when_everything_is_drained_is_overloaded()
    {
        job_spec spec = make_spec("check", 1);
        spec.m_key.m_key = "next";
        drain({"north", "south"});
        CPPUNIT_ASSERT(check_admission(m_state, spec, m_now) == job_errc::overloaded);
        // The refusal must not become a permanent one.
        CPPUNIT_ASSERT(check_admission(m_state, spec, m_now + 1h) ==
                       job_errc::overloaded);
        drain({});
        CPPUNIT_ASSERT(!check_admission(m_state, spec, m_now));
    }

    void job_waits_for_peer_when_own_upstreams_are_drained()
    {
        std::vector<std::string> const owned = {"up-0"};
        set_owned_upstreams(m_state, owned);
        set_peer(m_state, {{"peer"}, "north", {{0, 3, {}, ""}}});
        job_spec spec = make_spec("check", 1);
        drain({"south"});
        submit(spec);
        CPPUNIT_ASSERT(m_out.m_finished.empty());
        remove_peer(m_state, {"peer"}, m_now, m_random, m_out);
        step();
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::overloaded);
        spec.m_key.m_key = "next";
        CPPUNIT_ASSERT(check_admission(m_state, spec, m_now) == job_errc::overloaded);
    }

    // An instance that is cut off together with the domain.
    void job_when_upstreams_outside_the_drain_are_unreachable_is_refused()
    {
        drain({"south"});
        submit("check", 4);
        submit("check", 1);
        set_upstream_available(m_state, "up-1", false);
        step();
        CPPUNIT_ASSERT(m_out.m_finished.empty());
        set_upstream_available(m_state, "up-2", false);
        step();
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::overloaded);
        job_spec spec = make_spec("check", 1);
        spec.m_key.m_key = "next";
        CPPUNIT_ASSERT(check_admission(m_state, spec, m_now) == job_errc::overloaded);
        set_upstream_available(m_state, "up-2", true);
        CPPUNIT_ASSERT(!check_admission(m_state, spec, m_now));
    }

    void job_that_has_run_is_not_refused_by_drain()
    {
        submit("check", 7);
        auto const starts = take_starts();
        finish(starts[0].m_attempt, attempt_outcome::succeeded);
        take_starts();
        submit("check", 1);
        drain({"north", "south"});
        CPPUNIT_ASSERT(take_answer().m_ran == run_state::no);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_state.m_jobs.size());
    }

    void forwarded_task_that_fits_only_drained_upstream_is_returned()
    {
        m_configuration.m_upstreams[0].m_capacity.m_millicores = 64'000;
        apply();
        submit("check", 6);
        forward(1, {64'000, 512, 0});
        CPPUNIT_ASSERT(m_out.m_forward_results.empty());
        drain({"south"});
        CPPUNIT_ASSERT(take_forward_result().m_result.m_outcome ==
                       attempt_outcome::not_run);
        forward(2, {64'000, 512, 0});
        CPPUNIT_ASSERT(take_forward_result().m_result.m_outcome ==
                       attempt_outcome::not_run);
        forward(3, {1000, 512, 0});
        CPPUNIT_ASSERT(m_out.m_forward_results.empty());
    }

    void drain_of_one_service_leaves_another_alone()
    {
        m_configuration.m_kinds.back().m_service = "archive";
        m_configuration.m_upstreams[0].m_service = "archive";
        apply();
        drain({"south"});
        job_spec spec = make_spec("lodge", 1);
        spec.m_key.m_key = "next";
        CPPUNIT_ASSERT(check_admission(m_state, spec, m_now) == job_errc::overloaded);
        submit("check", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), take_starts().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_drain_test);

} // namespace

} // namespace cassiahub::dispatch
