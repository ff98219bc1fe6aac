/// \file Exchange of evidence about interference between an instance and a peer.

#include "decision_actions.hpp"

#include <cassiahub/decision.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

class evidence_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evidence_exchange_test);
    CPPUNIT_TEST(heartbeats_carry_summary_at_most_every_ten_seconds);
    CPPUNIT_TEST(summary_of_peer_is_logged_and_outlives_the_peer);
    CPPUNIT_TEST_SUITE_END();

    entry_state m_state;
    random_source m_random{1};
    time_point m_now{5000s};
    std::vector<action> m_actions;
    std::uint64_t m_beats = 0;

    void handle(event occurred)
    {
        step(m_state, std::move(occurred), m_now, m_random, m_actions);
    }

    static interference::summary make_summary()
    {
        return {0, 1, {"check", "bulk"}, {{0, 1, {40, 30, 15, 6, 20}, 0s}}};
    }

    void receive_heartbeat(interference::summary evidence)
    {
        heartbeat message;
        message.m_incarnation = 7;
        message.m_domain = "north";
        message.m_peer_address = "10.0.0.2:1";
        message.m_sent_at = time_point(100s) + 500ms * ++m_beats;
        message.m_interference = std::move(evidence);
        message.m_interference.m_incarnation = 7;
        handle(peer_message_received{{"peer"}, std::move(message)});
    }

    /// Advances the clock in steps that are no suspension of the instance.
    void advance_time(duration time, bool peer_lives)
    {
        for (duration passed{0}; passed < time; passed += 100ms)
        {
            m_now += 100ms;
            if (peer_lives && passed % 500ms == 0ms)
            {
                receive_heartbeat({});
            }
            handle(tick{});
        }
    }

    bool logged(std::string_view code) const
    {
        return std::any_of(m_actions.begin(), m_actions.end(),
                           [code](action const & item)
                           {
                               auto const * const line = std::get_if<log_event>(&item);
                               return line != nullptr && line->m_code == code;
                           });
    }

public:
    void setUp() override
    {
        m_state.m_identity = {{"own"}, "north", "10.0.0.1:1", 5, true};
        m_state.m_dispatch.m_incarnation = 5;
        auto configuration = std::make_shared<config::fleet_configuration>(
            *make_leased_configuration(1, "pool"));
        config::work_kind bulk = configuration->m_kinds.front();
        bulk.m_name = "bulk";
        configuration->m_kinds.insert(configuration->m_kinds.begin(), bulk);
        handle(configuration_changed{std::move(configuration), "document"});
        receive_heartbeat({});
    }

    // Guards against summaries that use up the link of a small machine.
    void heartbeats_carry_summary_at_most_every_ten_seconds()
    {
        interference::interference_state & own = m_state.m_dispatch.m_interference;
        own.m_pairs[1].m_own = {40, 30, 15, 6, 20};
        own.m_pairs[1].m_own_at = m_now;
        advance_time(60s, true);
        int heartbeats = 0;
        int summaries = 0;
        for (action const & item : m_actions)
        {
            auto const * const sent = std::get_if<send_peer>(&item);
            if (sent != nullptr && std::holds_alternative<heartbeat>(sent->m_message))
            {
                ++heartbeats;
                summaries +=
                    std::get<heartbeat>(sent->m_message).m_interference.m_pairs.empty()
                        ? 0
                        : 1;
            }
        }
        CPPUNIT_ASSERT(heartbeats > 20);
        CPPUNIT_ASSERT(summaries >= 5 && summaries <= 7);
    }

    void summary_of_peer_is_logged_and_outlives_the_peer()
    {
        receive_heartbeat(make_summary());
        advance_time(2s, true);
        CPPUNIT_ASSERT(logged("kinds_kept_apart"));
        m_actions.clear();
        advance_time(60s, false);
        CPPUNIT_ASSERT(logged("peer_failed"));
        CPPUNIT_ASSERT(!logged("kinds_together_again"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_state.m_dispatch.m_pairs_apart);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(evidence_exchange_test);

} // namespace
