#ifndef CASSIAHUB_TESTS_LEASE_FIXTURE_HPP
#define CASSIAHUB_TESTS_LEASE_FIXTURE_HPP

#include <cassiahub/lease.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::lease
{

using namespace std::chrono_literals;

constexpr upstream_clock clock_at_start = 50'000;
constexpr std::uint64_t first_token = 100;

/// Sessions with one upstream, "up", whose replies the test supplies.
class lease_fixture : public CppUnit::TestFixture
{
protected:
    lease_state m_state;
    effects m_out;
    time_point m_now{1000s};
    std::uint64_t m_serial = 0;

    void assign_upstream(std::uint64_t incarnation = 1)
    {
        std::vector<owned_upstream> const owned{{"up", "10.0.0.1:1", incarnation}};
        set_owned(m_state, owned, first_token, m_now, m_out);
    }

    void unassign_upstream()
    {
        set_owned(m_state, {}, first_token, m_now, m_out);
    }

    /// Removes the oldest call of type \p Call from the effects.
    /// \returns that call.
    template <typename Call>
    upstream_call take_call()
    {
        auto const found =
            std::find_if(m_out.m_calls.begin(), m_out.m_calls.end(),
                         [](upstream_call const & call)
                         { return std::holds_alternative<Call>(call.m_body); });
        CPPUNIT_ASSERT(found != m_out.m_calls.end());
        upstream_call call = *found;
        m_out.m_calls.erase(found);
        return call;
    }

    template <typename Call>
    std::size_t count_calls() const
    {
        return std::size_t(
            std::count_if(m_out.m_calls.begin(), m_out.m_calls.end(),
                          [](upstream_call const & call)
                          { return std::holds_alternative<Call>(call.m_body); }));
    }

    upstream_reply make_reply(upstream_call const & call, call_outcome outcome) const
    {
        upstream_reply reply;
        reply.m_number = call.m_number;
        reply.m_upstream = call.m_upstream;
        reply.m_outcome = outcome;
        if (outcome == call_outcome::accepted)
        {
            reply.m_clock = clock_at_start + to_milliseconds(m_now - time_point(1000s));
            bool const lists_runs = std::holds_alternative<renew_call>(call.m_body);
            reply.m_incarnation = lists_runs ? 1 : 0;
        }
        return reply;
    }

    void reply(upstream_call const & call, call_outcome outcome = call_outcome::accepted)
    {
        receive(m_state, make_reply(call, outcome), m_now, m_out);
    }

    void reply_to_renewal(upstream_call const & call, std::vector<listed_run> running,
                          std::vector<listed_end> ended = {})
    {
        upstream_reply reply = make_reply(call, call_outcome::accepted);
        reply.m_running = std::move(running);
        reply.m_ended = std::move(ended);
        receive(m_state, reply, m_now, m_out);
    }

    /// Advances the virtual clock by \p time in steps of 10 ms.
    void advance_by(duration time)
    {
        for (duration step{0}; step < time; step += 10ms)
        {
            m_now += 10ms;
            advance(m_state, first_token + std::uint64_t(to_milliseconds(step)), m_now,
                    m_out);
        }
        CPPUNIT_ASSERT(check_invariants(m_state).empty());
    }

    /// Claims the upstream.
    void claim_upstream()
    {
        assign_upstream();
        reply(take_call<renew_call>());
        CPPUNIT_ASSERT(is_available());
    }

    /// Starts a run of task \p index.
    attempt_id start_run(std::uint32_t index, std::uint64_t generation = 7)
    {
        attempt_id const attempt{1, ++m_serial};
        start(m_state, {attempt, "up", make_run_name(index, generation), "payload"},
              m_now, m_out);
        return attempt;
    }

    static run_name make_run_name(std::uint32_t index, std::uint64_t generation = 7)
    {
        return {{"job", 0, 0, index}, generation};
    }

    std::size_t count_events(std::string_view code) const
    {
        return std::size_t(std::count_if(m_out.m_events.begin(), m_out.m_events.end(),
                                         [code](session_event const & logged)
                                         { return logged.m_code == code; }));
    }

    /// \returns true when the task of \p attempt was reported as one that may be started
    /// elsewhere.
    bool may_be_restarted(attempt_id const & attempt) const
    {
        auto const outcome = outcome_of(attempt);
        return outcome && *outcome != dispatch::attempt_outcome::unknown;
    }

    bool is_available() const
    {
        return !m_out.m_availability.empty() && m_out.m_availability.back().m_available;
    }

    std::optional<dispatch::attempt_outcome> outcome_of(attempt_id const & attempt) const
    {
        for (dispatch::attempt_result const & result : m_out.m_results)
        {
            if (result.m_attempt == attempt)
            {
                return result.m_outcome;
            }
        }
        return std::nullopt;
    }
};

} // namespace cassiahub::lease

#endif
