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
    CPPUNIT_TEST(drained_domain_gets_no_task_until_it_is_restored);
    CPPUNIT_TEST(running_attempt_when_drain_begins_finishes);
    CPPUNIT_TEST(upstream_added_or_moved_in_drain_is_marked);
    CPPUNIT_TEST(probe_is_sent_outside_drains_only);
    CPPUNIT_TEST(reservation_of_drained_upstream_is_released);
    CPPUNIT_TEST(load_in_drain_counts_other_domains_only);
    CPPUNIT_TEST(work_that_fits_only_drained_upstreams_is_refused_as_not_run);
    CPPUNIT_TEST(job_without_place_here_waits_for_peer_or_is_refused);
    CPPUNIT_TEST(drain_of_one_service_leaves_another_alone);
    CPPUNIT_TEST_SUITE_END();

    void drain(std::vector<std::string> const & domains)
    {
        set_drained_domains(m_state, domains);
        step();
    }

    bool admits_job(time_point now) const
    {
        job_spec spec = make_spec("check", 1);
        spec.m_key.m_key = "next";
        std::error_code const error = check_admission(m_state, spec, now);
        CPPUNIT_ASSERT(!error || error == job_errc::overloaded);
        return !error;
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

public:
    void setUp() override
    {
        m_configuration = make_configuration();
        m_configuration.m_upstreams[0].m_domain = "south";
        apply();
    }

    void drained_domain_gets_no_task_until_it_is_restored()
    {
        drain({"south"});
        submit("check", 5);
        auto const starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), starts.size());
        for (attempt_start const & start : starts)
        {
            CPPUNIT_ASSERT(start.m_upstream != "up-0");
        }
        drain({});
        CPPUNIT_ASSERT_EQUAL(std::string("up-0"), take_one_start().m_upstream);
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

    void probe_is_sent_outside_drains_only()
    {
        eject_up_0();
        drain({"south"});
        submit("check", 1);
        CPPUNIT_ASSERT(take_one_start().m_upstream != "up-0");
        for (int probe = 0; probe < 3; ++probe)
        {
            drain({});
            submit("check", 1);
            attempt_start const start = take_one_start();
            CPPUNIT_ASSERT_EQUAL(std::string("up-0"), start.m_upstream);
            drain({"south"});
            finish(start.m_attempt, attempt_outcome::succeeded);
            CPPUNIT_ASSERT_EQUAL(0U, m_state.m_pools[0].m_ejected_count);
        }
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

    void load_in_drain_counts_other_domains_only()
    {
        drain({"south"});
        CPPUNIT_ASSERT_EQUAL(4U, current_loads(m_state).at(0).m_free_slots);
        drain({"south", "north"});
        CPPUNIT_ASSERT(current_loads(m_state).empty());
        drain({});
        CPPUNIT_ASSERT_EQUAL(6U, current_loads(m_state).at(0).m_free_slots);
    }

    void work_that_fits_only_drained_upstreams_is_refused_as_not_run()
    {
        submit("check", 6);
        submit("check", 1);
        attempt_start task = take_starts().front();
        task.m_attempt = {9, 1};
        accept_forwarded(m_state, {"peer"}, task, m_now, m_out);
        drain({"north", "south"});
        job_answer const refused = take_answer();
        CPPUNIT_ASSERT(refused.m_error == job_errc::overloaded);
        CPPUNIT_ASSERT(refused.m_ran == run_state::no);
        task.m_attempt = {9, 2};
        accept_forwarded(m_state, {"peer"}, task, m_now, m_out);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_out.m_forward_results.size());
        CPPUNIT_ASSERT(!admits_job(m_now));
        // The refusal must not become a permanent one.
        CPPUNIT_ASSERT(!admits_job(m_now + 1h));
        drain({});
        CPPUNIT_ASSERT(admits_job(m_now));
    }

    // Guards against jobs that wait for their deadline at an instance which is cut off
    // together with the drained domain.
    void job_without_place_here_waits_for_peer_or_is_refused()
    {
        drain({"south"});
        set_peer(m_state, {{"peer"}, "north", {{0, 3, {}, ""}}});
        set_upstream_available(m_state, "up-1", false);
        set_upstream_available(m_state, "up-2", false);
        submit("check", 1);
        CPPUNIT_ASSERT(m_out.m_finished.empty());
        remove_peer(m_state, {"peer"}, m_now, m_random, m_out);
        step();
        CPPUNIT_ASSERT(take_answer().m_error == job_errc::overloaded);
        CPPUNIT_ASSERT(!admits_job(m_now));
        set_upstream_available(m_state, "up-2", true);
        CPPUNIT_ASSERT(admits_job(m_now));
    }

    void drain_of_one_service_leaves_another_alone()
    {
        m_configuration.m_kinds[1].m_service = "archive";
        m_configuration.m_upstreams[0].m_service = "archive";
        apply();
        drain({"south"});
        CPPUNIT_ASSERT(!admits_job(m_now));
        submit("bulk", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), take_starts().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_drain_test);

} // namespace

} // namespace cassiahub::dispatch
