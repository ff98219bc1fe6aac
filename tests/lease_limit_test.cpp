/// \file Limits of a lease while a run has to end or its instance is silent, in virtual
/// time.

#include "lease_fixture.hpp"

#include <utility>

namespace cassiahub::lease
{

namespace
{

/// Time after which a caller submits its job again.
constexpr duration resubmission_delay = 1300ms;
constexpr std::uint64_t other_incarnation = 2;

// Guards against a run that goes on after its caller has submitted the job again, because
// no stop takes effect while the lease is renewed (tausi-returns, TWICE).
class lease_limit_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_limit_test);
    CPPUNIT_TEST(lease_with_run_that_ignores_stops_ends_before_resubmission);
    CPPUNIT_TEST(lease_on_slow_clock_ends_before_resubmission);
    CPPUNIT_TEST(lease_with_run_of_silent_instance_ends_before_resubmission);
    CPPUNIT_TEST(lease_with_run_of_live_instance_is_extended);
    CPPUNIT_TEST(lease_with_stopped_run_of_live_instance_ends_before_resubmission);
    CPPUNIT_TEST(lease_after_end_of_stopped_run_is_extended);
    CPPUNIT_TEST(lease_in_backlog_after_gap_ends_before_resubmission);
    CPPUNIT_TEST(stop_in_backlog_after_gap_counts_from_start_of_gap);
    CPPUNIT_TEST(stop_after_gap_in_backlog_counts_from_start_of_first_gap);
    CPPUNIT_TEST(lease_of_process_with_steady_gaps_is_extended);
    CPPUNIT_TEST(start_in_backlog_after_long_gap_is_refused);
    CPPUNIT_TEST(start_whose_limit_precedes_lease_end_is_refused);
    CPPUNIT_TEST(renewal_before_limit_leaves_time_for_another_one);
    CPPUNIT_TEST(unwanted_run_reaches_its_limit_with_few_renewals);
    CPPUNIT_TEST_SUITE_END();

    /// Rate of the upstream's clock.
    double m_rate = 1;
    /// Latest lease end requested so far, as a time of this instance's clock.
    time_point m_lease_end;
    bool m_lapsed = false;
    duration m_shortest_lease = 1h; ///< shortest lease left when a renewal was sent
    std::size_t m_renewals = 0;

    upstream_clock upstream_time() const
    {
        return clock_at_start + upstream_clock(m_rate * double(to_milliseconds(
                                                            m_now - time_point(1000s))));
    }

    /// \returns true once the upstream has ended all runs.
    bool has_lapsed()
    {
        m_lapsed |= m_lease_end != time_point() && m_now >= m_lease_end;
        return m_lapsed;
    }

    void observe(std::optional<upstream_clock> until)
    {
        if (until && !has_lapsed())
        {
            double const ahead = double(*until - clock_at_start) / m_rate;
            m_lease_end = std::max(m_lease_end, time_point(1000s) +
                                                    duration(std::int64_t(ahead * 1e6)));
        }
    }

    /// Lists \p running in the reply to each renewal, when its wait has passed, as
    /// running until the lease ends. Loses all stops, for \p time.
    void renew_for(duration time, std::vector<run_name> const & running)
    {
        for (duration step{0}; step < time; step += 10ms)
        {
            while (count_calls<start_call>() > 0)
            {
                auto const call = take_call<start_call>();
                observe(std::get<start_call>(call.m_body).m_lease_until);
                m_waiting_starts.push_back(call);
            }
            while (count_calls<renew_call>() > 0)
            {
                auto const call = take_call<renew_call>();
                auto const & renewal = std::get<renew_call>(call.m_body);
                observe(renewal.m_lease_until);
                ++m_renewals;
                m_shortest_lease =
                    std::min(m_shortest_lease, m_lease_end - m_now - renewal.m_wait);
                m_waiting.emplace_back(m_now + renewal.m_wait, call);
            }
            advance_by(10ms);
            for (upstream_call const & call : std::exchange(m_waiting_starts, {}))
            {
                upstream_reply accepted = make_reply(call, call_outcome::accepted);
                accepted.m_clock = upstream_time();
                receive(m_state, accepted, m_now, m_out);
            }
            for (auto const & [due, call] : std::exchange(m_waiting, {}))
            {
                if (due > m_now)
                {
                    m_waiting.emplace_back(due, call);
                    continue;
                }
                upstream_reply list = make_reply(call, call_outcome::accepted);
                list.m_clock = upstream_time();
                for (run_name const & run : running)
                {
                    if (!has_lapsed())
                    {
                        list.m_running.push_back({run, ++m_percent});
                    }
                    else
                    {
                        list.m_ended.push_back({++m_end, run, end_cause::expired});
                    }
                }
                receive(m_state, list, m_now, m_out);
            }
        }
    }

    std::vector<std::pair<time_point, upstream_call>> m_waiting;
    std::vector<upstream_call> m_waiting_starts;
    std::uint32_t m_percent = 0;
    std::uint64_t m_end = 0;

    /// Starts a run for another instance, which was alive at \p heard_at.
    attempt_id start_run_of_other(std::uint32_t index, time_point heard_at)
    {
        attempt_id const attempt{other_incarnation, ++m_serial};
        start(m_state,
              {attempt, "up", make_run_name(index), "payload",
               heard_at + unwanted_run_limit},
              m_now, m_out);
        return attempt;
    }

public:
    void setUp() override
    {
        claim_upstream();
    }

    void lease_with_run_that_ignores_stops_ends_before_resubmission()
    {
        attempt_id const attempt = start_run(0);
        start_run(1);
        renew_for(500ms, {make_run_name(0), make_run_name(1)});
        CPPUNIT_ASSERT(m_lease_end > m_now);
        time_point const stopped = m_now;
        stop(m_state, attempt, m_now, m_out);
        renew_for(resubmission_delay, {make_run_name(0), make_run_name(1)});
        CPPUNIT_ASSERT(m_lease_end < stopped + resubmission_delay);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    void lease_on_slow_clock_ends_before_resubmission()
    {
        m_rate = 0.98;
        attempt_id const attempt = start_run(0);
        renew_for(500ms, {make_run_name(0)});
        time_point const stopped = m_now;
        stop(m_state, attempt, m_now, m_out);
        renew_for(resubmission_delay, {make_run_name(0)});
        CPPUNIT_ASSERT(m_lease_end < stopped + resubmission_delay);
    }

    void lease_with_run_of_silent_instance_ends_before_resubmission()
    {
        time_point const heard = m_now;
        attempt_id const attempt = start_run_of_other(0, heard);
        renew_for(resubmission_delay, {make_run_name(0)});
        CPPUNIT_ASSERT(m_lease_end > heard + 1s);
        CPPUNIT_ASSERT(m_lease_end < heard + resubmission_delay);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::interrupted);
    }

    void lease_with_run_of_live_instance_is_extended()
    {
        start_run_of_other(0, m_now);
        for (int heartbeat = 0; heartbeat < 10; ++heartbeat)
        {
            extend_lease_limits(m_state, other_incarnation, m_now);
            renew_for(500ms, {make_run_name(0)});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_events("lease_lapsed"));
        CPPUNIT_ASSERT(m_shortest_lease >= 250ms);
    }

    void lease_with_stopped_run_of_live_instance_ends_before_resubmission()
    {
        attempt_id const attempt = start_run_of_other(0, m_now);
        renew_for(200ms, {make_run_name(0)});
        time_point const stopped = m_now;
        stop(m_state, attempt, m_now, m_out);
        for (int heartbeat = 0; heartbeat < 5; ++heartbeat)
        {
            extend_lease_limits(m_state, other_incarnation, m_now);
            renew_for(250ms, {make_run_name(0)});
        }
        CPPUNIT_ASSERT(m_lease_end < stopped + resubmission_delay);
    }

    void lease_after_end_of_stopped_run_is_extended()
    {
        attempt_id const attempt = start_run(0);
        start_run(1);
        renew_for(500ms, {make_run_name(0), make_run_name(1)});
        stop(m_state, attempt, m_now, m_out);
        renew_for(900ms, {make_run_name(0), make_run_name(1)});
        CPPUNIT_ASSERT(outcome_of(attempt) == std::nullopt);
        upstream_reply list = make_reply(m_waiting.back().second, call_outcome::accepted);
        m_waiting.clear();
        list.m_running = {{make_run_name(1), 1}};
        list.m_ended = {{1, make_run_name(0), end_cause::stopped}};
        receive(m_state, list, m_now, m_out);
        renew_for(600ms, {make_run_name(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_events("lease_lapsed"));
        CPPUNIT_ASSERT(m_lease_end > m_now + 500ms);
    }

    // A caller may have left, or an instance may have failed, while this process was not
    // scheduled.
    void lease_in_backlog_after_gap_ends_before_resubmission()
    {
        start_run(0);
        renew_for(510ms, {make_run_name(0)});
        time_point const gap_began = m_now;
        m_now += 400ms;
        CPPUNIT_ASSERT(!has_lapsed());
        detect_gap(m_state, m_now);
        renew_for(10ms, {make_run_name(0)});
        renew_for(10ms, {make_run_name(0)});
        CPPUNIT_ASSERT(m_lease_end < gap_began + resubmission_delay);
    }

    void stop_in_backlog_after_gap_counts_from_start_of_gap()
    {
        attempt_id const attempt = start_run(0);
        renew_for(500ms, {make_run_name(0)});
        time_point const gap_began = m_now;
        m_now += 400ms;
        CPPUNIT_ASSERT(!has_lapsed());
        detect_gap(m_state, m_now);
        stop(m_state, attempt, m_now, m_out);
        renew_for(1s, {make_run_name(0)});
        CPPUNIT_ASSERT(m_lease_end < gap_began + resubmission_delay);
    }

    // Guards against a limit that counts from a short gap, while the notices that arrived
    // in the long one before it are still unread.
    void stop_after_gap_in_backlog_counts_from_start_of_first_gap()
    {
        attempt_id const attempt = start_run(0);
        renew_for(500ms, {make_run_name(0)});
        time_point const gap_began = m_now;
        m_now += 400ms;
        detect_gap(m_state, m_now);
        renew_for(10ms, {make_run_name(0)});
        m_now += 60ms;
        CPPUNIT_ASSERT(!has_lapsed());
        detect_gap(m_state, m_now);
        stop(m_state, attempt, m_now, m_out);
        renew_for(1s, {make_run_name(0)});
        CPPUNIT_ASSERT(m_lease_end < gap_began + resubmission_delay);
    }

    // Guards against leases that lapse on a machine that schedules the process rarely.
    void lease_of_process_with_steady_gaps_is_extended()
    {
        start_run(0);
        renew_for(100ms, {make_run_name(0)});
        for (int gap = 0; gap < 50; ++gap)
        {
            m_now += 60ms;
            CPPUNIT_ASSERT(!has_lapsed());
            detect_gap(m_state, m_now);
            renew_for(10ms, {make_run_name(0)});
        }
        CPPUNIT_ASSERT(m_lease_end > m_now + 600ms);
    }

    // Guards against a start with a lease that has ended: its run counted as lapsed, its
    // outcome as unknown, and the upstream had to be claimed again.
    void start_in_backlog_after_long_gap_is_refused()
    {
        renew_for(600ms, {});
        m_now += 2s;
        detect_gap(m_state, m_now);
        attempt_id const attempt = start_run(0);
        advance_by(20ms);
        CPPUNIT_ASSERT(outcome_of(attempt) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<start_call>());
        CPPUNIT_ASSERT(is_available());
        renew_for(60ms, {});
        CPPUNIT_ASSERT(!outcome_of(start_run(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_calls<start_call>());
    }

    void start_whose_limit_precedes_lease_end_is_refused()
    {
        start_run(0);
        renew_for(100ms, {make_run_name(0)});
        attempt_id const late = start_run_of_other(1, m_now - 400ms);
        CPPUNIT_ASSERT(outcome_of(late) == dispatch::attempt_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_calls<start_call>());
        attempt_id const recent = start_run_of_other(1, m_now - 60ms);
        CPPUNIT_ASSERT(outcome_of(recent) == std::nullopt);
    }

    void renewal_before_limit_leaves_time_for_another_one()
    {
        attempt_id const attempt = start_run(0);
        renew_for(500ms, {make_run_name(0)});
        stop(m_state, attempt, m_now, m_out);
        time_point const limit = m_now + unwanted_run_limit;
        renew_for(1100ms, {make_run_name(0)});
        CPPUNIT_ASSERT(!m_waiting.empty());
        CPPUNIT_ASSERT(m_waiting.back().first < limit);
    }

    void unwanted_run_reaches_its_limit_with_few_renewals()
    {
        attempt_id const attempt = start_run(0);
        renew_for(500ms, {make_run_name(0)});
        stop(m_state, attempt, m_now, m_out);
        m_renewals = 0;
        renew_for(1500ms, {make_run_name(0)});
        CPPUNIT_ASSERT(m_renewals < 30);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_limit_test);

} // namespace

} // namespace cassiahub::lease
