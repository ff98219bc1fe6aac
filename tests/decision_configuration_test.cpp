/// \file Instances that pass a configuration on to one that is behind, in virtual time.

#include "decision_actions.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace cassiahub;
using namespace cassiahub::decision;
using namespace std::chrono_literals;

namespace
{

// Guards against copies of a document from every peer, which fill the links of the
// instances that wait for it, and against an instance that gets none.
class decision_configuration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decision_configuration_test);
    CPPUNIT_TEST(instance_that_is_behind_on_slow_link_gets_few_copies);
    CPPUNIT_TEST(instance_without_store_contact_gets_document_within_a_second);
    CPPUNIT_TEST(instance_whose_request_is_lost_asks_another_peer);
    CPPUNIT_TEST(instance_of_earlier_software_gets_document_unasked);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int fleet_size = 12;
    static constexpr std::uint64_t old_version = 1;
    static constexpr std::uint64_t new_version = 2;
    static constexpr duration step_time = 10ms;
    /// Time of any other message than a document.
    static constexpr duration message_time = 10ms;
    static constexpr std::size_t behind = 0; ///< index of the instance that is behind

    struct member
    {
        entry_state m_state;
        bool m_reaches_store = true;
    };

    struct message
    {
        std::string m_from;
        std::size_t m_to = 0;
        peer_message m_content;
    };

    std::vector<member> m_fleet;
    std::multimap<time_point, message> m_in_transit; ///< by arrival
    random_source m_random{1};
    time_point m_now{5000s};
    time_point m_next_listing{};
    duration m_document_time{0};     ///< for which a document is in transit
    int m_copies = 0;                ///< documents sent to the instance that is behind
    int m_lost_requests = 0;         ///< requests for a document still to be lost
    bool m_earlier_software = false; ///< that of the instance that is behind

    static std::string name_of(std::size_t index)
    {
        return "gateway-" + std::to_string(index);
    }

    static std::size_t index_of(instance_id const & instance)
    {
        return std::stoul(instance.m_value.substr(std::string("gateway-").size()));
    }

    std::uint64_t version_in_force(std::size_t index) const
    {
        return m_fleet[index].m_state.m_leasing.m_base_configuration->m_version;
    }

    void handle(std::size_t index, event occurred)
    {
        std::vector<action> actions;
        step(m_fleet[index].m_state, std::move(occurred), m_now, m_random, actions);
        for (send_peer & sent : take_actions<send_peer>(actions))
        {
            transmit(index, std::move(sent));
        }
        for (check_document const & check : take_actions<check_document>(actions))
        {
            configure(index, check.m_version);
        }
    }

    void transmit(std::size_t from, send_peer sent)
    {
        std::size_t const to = index_of(sent.m_to);
        bool const is_document =
            std::holds_alternative<configuration_notice>(sent.m_message);
        m_copies += is_document && to == behind ? 1 : 0;
        if (std::holds_alternative<configuration_request>(sent.m_message) &&
            m_lost_requests > 0)
        {
            --m_lost_requests;
            return;
        }
        auto * const report = std::get_if<heartbeat>(&sent.m_message);
        if (report != nullptr && from == behind && m_earlier_software)
        {
            report->m_requests_configuration = false;
        }
        m_in_transit.emplace(m_now + (is_document ? m_document_time : message_time),
                             message{name_of(from), to, std::move(sent.m_message)});
    }

    void configure(std::size_t index, std::uint64_t version)
    {
        handle(index, configuration_changed{make_leased_configuration(version),
                                            "document " + std::to_string(version)});
    }

    void list_instances()
    {
        instances_listed listed;
        for (std::size_t index = 0; index < m_fleet.size(); ++index)
        {
            listed.m_instances.push_back(
                {name_of(index), "north", "10.0.0.1:" + std::to_string(index + 1), true,
                 false, static_cast<std::uint64_t>(m_now.time_since_epoch().count()),
                 duration(0)});
        }
        for (std::size_t index = 0; index < m_fleet.size(); ++index)
        {
            if (m_fleet[index].m_reaches_store)
            {
                handle(index, listed);
            }
        }
    }

    void run_for(duration time)
    {
        for (time_point const end = m_now + time; m_now < end; m_now += step_time)
        {
            if (m_now >= m_next_listing)
            {
                m_next_listing = m_now + 1s;
                list_instances();
            }
            while (!m_in_transit.empty() && m_in_transit.begin()->first <= m_now)
            {
                message arrived = std::move(m_in_transit.begin()->second);
                m_in_transit.erase(m_in_transit.begin());
                handle(arrived.m_to, peer_message_received{{arrived.m_from},
                                                           std::move(arrived.m_content)});
            }
            for (std::size_t index = 0; index < m_fleet.size(); ++index)
            {
                handle(index, tick{});
            }
        }
    }

    /// Gives every instance but one the new version.
    void publish_new_version()
    {
        for (std::size_t index = 1; index < m_fleet.size(); ++index)
        {
            configure(index, new_version);
        }
    }

public:
    void setUp() override
    {
        for (std::size_t index = 0; index < fleet_size; ++index)
        {
            m_fleet.push_back({make_entry_state({{name_of(index)},
                                                 "north",
                                                 "10.0.0.1:" + std::to_string(index + 1),
                                                 100 + index,
                                                 true}),
                               true});
            configure(index, old_version);
        }
        run_for(4s);
        CPPUNIT_ASSERT_EQUAL(0, m_copies);
    }

    void instance_that_is_behind_on_slow_link_gets_few_copies()
    {
        m_document_time = 4s;
        publish_new_version();
        run_for(10s);
        CPPUNIT_ASSERT_EQUAL(new_version, version_in_force(behind));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(m_copies) + " copies", m_copies <= 3);
    }

    void instance_without_store_contact_gets_document_within_a_second()
    {
        m_document_time = 50ms;
        m_fleet[behind].m_reaches_store = false;
        run_for(3s);
        publish_new_version();
        run_for(1s);
        CPPUNIT_ASSERT_EQUAL(new_version, version_in_force(behind));
    }

    void instance_whose_request_is_lost_asks_another_peer()
    {
        m_document_time = 50ms;
        m_lost_requests = 1;
        publish_new_version();
        run_for(4s);
        CPPUNIT_ASSERT_EQUAL(new_version, version_in_force(behind));
        CPPUNIT_ASSERT_EQUAL(1, m_copies);
    }

    void instance_of_earlier_software_gets_document_unasked()
    {
        m_document_time = 50ms;
        m_earlier_software = true;
        m_lost_requests = 100;
        run_for(1s);
        publish_new_version();
        run_for(1s);
        CPPUNIT_ASSERT_EQUAL(new_version, version_in_force(behind));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_configuration_test);

} // namespace
