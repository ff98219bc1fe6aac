/// \file Replies of an upstream that come late, in virtual time.

#include "lease_fixture.hpp"

#include <cassiahub/core/random.hpp>

#include <functional>
#include <map>

namespace cassiahub::lease
{

namespace
{

/// Run time of a task at the upstream.
constexpr duration run_time = 60ms;
/// Time between two starts.
constexpr duration start_period = 20ms;

// Guards against starts that are stopped and made again only because their replies are
// late, which adds load to the path that makes them late.
class lease_delay_test : public lease_fixture
{
    CPPUNIT_TEST_SUITE(lease_delay_test);
    CPPUNIT_TEST(starts_over_steady_slow_path_are_not_stopped);
    CPPUNIT_TEST(starts_while_replies_take_60_to_300_ms_are_rarely_stopped);
    CPPUNIT_TEST(lost_start_after_end_of_delays_is_stopped_within_usual_time);
    CPPUNIT_TEST(single_lost_replies_leave_bound_near_its_minimum);
    CPPUNIT_TEST_SUITE_END();

    struct active_run
    {
        run_name m_run;
        time_point m_ends;
    };

    random_source m_random{7};
    std::multimap<time_point, std::function<void()>> m_arrivals;
    std::map<task_name, active_run> m_active;
    std::map<task_name, std::uint64_t> m_stopped; ///< generation
    std::vector<listed_end> m_ends;
    std::uint64_t m_next_end = 1;
    std::uint32_t m_next_task = 0;
    std::size_t m_starts = 0;
    std::size_t m_stops = 0;
    bool m_lose_next_start = false;

    duration draw(duration low, duration high)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(
            low.count(), high.count())(m_random));
    }

    void end_due_runs()
    {
        std::erase_if(m_active,
                      [this](auto const & entry)
                      {
                          if (entry.second.m_ends > m_now)
                          {
                              return false;
                          }
                          m_ends.push_back(
                              {m_next_end++, entry.second.m_run, end_cause::succeeded});
                          return true;
                      });
    }

    void serve_start(upstream_call const & call, duration back)
    {
        run_name const run = std::get<start_call>(call.m_body).m_run;
        bool const stopped = m_stopped.contains(run.m_task);
        if (!stopped)
        {
            m_active[run.m_task] = {run, m_now + run_time};
        }
        answer(call, stopped ? call_outcome::superseded : call_outcome::accepted, back);
    }

    void serve_stop(upstream_call const & call, duration back)
    {
        run_name const run = std::get<stop_call>(call.m_body).m_run;
        m_stopped[run.m_task] = run.m_generation;
        if (m_active.erase(run.m_task) > 0)
        {
            m_ends.push_back({m_next_end++, run, end_cause::stopped});
        }
        answer(call, call_outcome::accepted, back);
    }

    /// Answers once a run has ended or the wait is over.
    void serve_renewal(upstream_call const & call, time_point until, duration back)
    {
        auto const & body = std::get<renew_call>(call.m_body);
        std::erase_if(m_ends, [&body](listed_end const & end)
                      { return end.m_number <= body.m_acknowledged; });
        if (m_ends.empty() && m_now < until)
        {
            m_arrivals.emplace(m_now + 10ms, [this, call, until, back]
                               { serve_renewal(call, until, back); });
            return;
        }
        upstream_reply reply = make_reply(call, call_outcome::accepted);
        for (auto const & [task, run] : m_active)
        {
            auto const left = to_milliseconds(run.m_ends - m_now);
            reply.m_running.push_back(
                {run.m_run, static_cast<std::uint32_t>(
                                100 - left * 100 / to_milliseconds(run_time))});
        }
        reply.m_ended = m_ends;
        m_arrivals.emplace(m_now + back,
                           [this, reply] { receive(m_state, reply, m_now, m_out); });
    }

    void answer(upstream_call const & call, call_outcome outcome, duration back)
    {
        upstream_reply const reply = make_reply(call, outcome);
        m_arrivals.emplace(m_now + back,
                           [this, reply] { receive(m_state, reply, m_now, m_out); });
    }

    void time_out(upstream_call const & call)
    {
        m_arrivals.emplace(m_now + call.m_timeout,
                           [this, call] { this->reply(call, call_outcome::lost); });
    }

    /// Sends the calls of the sessions over a path with the given round trip time.
    void send_calls(duration shortest, duration longest)
    {
        for (upstream_call const & call : std::exchange(m_out.m_calls, {}))
        {
            duration const half = draw(shortest, longest) / 2;
            time_out(call);
            if (std::holds_alternative<start_call>(call.m_body))
            {
                ++m_starts;
                if (!std::exchange(m_lose_next_start, false))
                {
                    m_arrivals.emplace(m_now + half,
                                       [this, call, half] { serve_start(call, half); });
                }
            }
            else if (std::holds_alternative<stop_call>(call.m_body))
            {
                ++m_stops;
                m_arrivals.emplace(m_now + half,
                                   [this, call, half] { serve_stop(call, half); });
            }
            else
            {
                duration const wait = std::get<renew_call>(call.m_body).m_wait;
                m_arrivals.emplace(m_now + half, [this, call, half, wait]
                                   { serve_renewal(call, m_now + wait, half); });
            }
        }
    }

    void step(duration shortest, duration longest)
    {
        m_now += 10ms;
        end_due_runs();
        while (!m_arrivals.empty() && m_arrivals.begin()->first <= m_now)
        {
            auto const due = m_arrivals.extract(m_arrivals.begin());
            due.mapped()();
        }
        advance(m_state, first_token, m_now, m_out);
        send_calls(shortest, longest);
    }

    /// Starts tasks for \p time over a path with round trips of \p shortest to
    /// \p longest.
    void play(duration time, duration shortest, duration longest)
    {
        for (duration passed{0}; passed < time; passed += 10ms)
        {
            if (passed % start_period == 0ms)
            {
                start_run(m_next_task++);
            }
            step(shortest, longest);
        }
    }

    void forget_counts()
    {
        m_starts = 0;
        m_stops = 0;
    }

    void check_lost_start_is_stopped_within_80_ms()
    {
        forget_counts();
        m_lose_next_start = true;
        start_run(m_next_task++);
        for (int count = 0; count < 8; ++count)
        {
            step(2ms, 4ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_stops);
    }

public:
    void setUp() override
    {
        claim_upstream();
        play(1s, 2ms, 4ms);
        forget_counts();
    }

    void starts_over_steady_slow_path_are_not_stopped()
    {
        play(1s, 95ms, 100ms);
        forget_counts();
        play(5s, 95ms, 100ms);
        CPPUNIT_ASSERT(m_starts >= 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_stops);
    }

    // Pattern: replies that come after 60 to 300 ms for ten seconds.
    void starts_while_replies_take_60_to_300_ms_are_rarely_stopped()
    {
        play(1s, 60ms, 300ms);
        forget_counts();
        play(9s, 60ms, 300ms);
        CPPUNIT_ASSERT(m_starts >= 400);
        CPPUNIT_ASSERT(m_stops * 20 <= m_starts);
    }

    // Pattern: replies that come late for ten seconds and then at once again.
    void lost_start_after_end_of_delays_is_stopped_within_usual_time()
    {
        play(10s, 60ms, 300ms);
        play(1s, 2ms, 4ms);
        check_lost_start_is_stopped_within_80_ms();
    }

    void single_lost_replies_leave_bound_near_its_minimum()
    {
        for (int round = 0; round < 20; ++round)
        {
            m_lose_next_start = true;
            play(1s, 2ms, 4ms);
        }
        check_lost_start_is_stopped_within_80_ms();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_delay_test);

} // namespace

} // namespace cassiahub::lease
