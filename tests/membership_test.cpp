/// \file Failure detection, incarnations, clock conversion and rendezvous hashing.

#include <cassiahub/membership.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace cassiahub;
using namespace cassiahub::membership;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

// Guards against a failed member that stays live, a live member that is reported as
// failed, and heartbeats of a replaced process that are attributed to its successor.
class members_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(members_test);
    CPPUNIT_TEST(member_silent_in_domain_fails_after_timeout);
    CPPUNIT_TEST(member_silent_in_other_domain_keeps_longer_timeout);
    CPPUNIT_TEST(member_after_suspension_of_this_instance_stays_live);
    CPPUNIT_TEST(member_unheard_since_before_suspension_is_silent_after_catch_up);
    CPPUNIT_TEST(member_heard_after_suspension_is_not_silent);
    CPPUNIT_TEST(member_is_alive_when_its_heartbeat_arrives);
    CPPUNIT_TEST(heartbeat_read_late_shows_life_at_its_sending);
    CPPUNIT_TEST(clock_that_drifts_within_bound_keeps_member_alive_at_arrival);
    CPPUNIT_TEST(report_of_new_incarnation_replaces_old_one);
    CPPUNIT_TEST(report_of_replaced_incarnation_is_ignored);
    CPPUNIT_TEST(report_sent_before_received_one_is_ignored);
    CPPUNIT_TEST(list_address_takes_precedence_over_heartbeat);
    CPPUNIT_TEST(live_member_missing_from_list_stays_live);
    CPPUNIT_TEST(listed_member_is_waited_for);
    CPPUNIT_TEST(listed_member_with_old_registration_is_not_waited_for);
    CPPUNIT_TEST(heartbeats_at_design_size_stay_within_budget);
    CPPUNIT_TEST(peer_clock_limit_is_never_later_than_true_limit);
    CPPUNIT_TEST_SUITE_END();

    membership_state m_state;
    random_source m_random{1};

    static member_report make_report(std::string domain, std::uint64_t incarnation,
                                     duration sent_at = 1s)
    {
        member_report report;
        report.m_incarnation = incarnation;
        report.m_domain = std::move(domain);
        report.m_address = "heartbeat";
        report.m_sent_at = time_point(sent_at);
        return report;
    }

    report_effect receive(std::string name, member_report report, time_point now = start)
    {
        return receive_report(m_state, {std::move(name)}, std::move(report), now);
    }

    /// Calls expire_members() every 20 ms.
    /// \returns the number of members that have failed.
    std::size_t count_failed(time_point from, time_point until)
    {
        std::size_t failed = 0;
        for (time_point now = from; now <= until; now += 20ms)
        {
            failed += expire_members(m_state, now).size();
        }
        return failed;
    }

public:
    void setUp() override
    {
        m_state = {};
        m_state.m_self = {"self"};
        m_state.m_domain = "a";
    }

    void member_silent_in_domain_fails_after_timeout()
    {
        receive("p", make_report("a", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_failed(start, start + 1480ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             count_failed(start + 1500ms, start + 1600ms));
        CPPUNIT_ASSERT(find_live(m_state, {"p"}) == nullptr);
    }

    void member_silent_in_other_domain_keeps_longer_timeout()
    {
        receive("p", make_report("b", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_failed(start, start + 4980ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_failed(start + 5s, start + 5100ms));
    }

    void member_after_suspension_of_this_instance_stays_live()
    {
        receive("p", make_report("a", 1));
        count_failed(start, start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             count_failed(start + 30s, start + 30s + 400ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_failed(start + 30400ms, start + 31s));
    }

    // Guards against runs that continue for a failed member because a suspension of this
    // instance extends the failure timeout.
    void member_unheard_since_before_suspension_is_silent_after_catch_up()
    {
        receive("p", make_report("a", 1, 7s));
        count_failed(start, start + 100ms);
        time_point const resumed = start + 1600ms;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_failed(resumed, resumed + 80ms));
        CPPUNIT_ASSERT(silent_members(m_state, resumed + 80ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             silent_members(m_state, resumed + 100ms).size());
        CPPUNIT_ASSERT(find_live(m_state, {"p"}) != nullptr);
    }

    void member_heard_after_suspension_is_not_silent()
    {
        receive("p", make_report("a", 1, 7s));
        count_failed(start, start + 100ms);
        time_point const resumed = start + 1600ms;
        count_failed(resumed, resumed);
        receive("p", make_report("a", 1, 8600ms), resumed + 10ms);
        CPPUNIT_ASSERT(silent_members(m_state, resumed + 100ms).empty());
    }

    void member_is_alive_when_its_heartbeat_arrives()
    {
        receive("p", make_report("a", 1, 7s));
        receive("p", make_report("a", 1, 7250ms), start + 250ms);
        CPPUNIT_ASSERT(m_state.m_members.at({"p"}).m_alive_at == start + 250ms);
    }

    // Guards against runs that continue for an instance because heartbeats from before
    // its failure were read late, after a suspension of this instance.
    void heartbeat_read_late_shows_life_at_its_sending()
    {
        receive("p", make_report("a", 1, 7s));
        receive("p", make_report("a", 1, 7250ms), start + 900ms);
        time_point const alive_at = m_state.m_members.at({"p"}).m_alive_at;
        CPPUNIT_ASSERT(alive_at >= start + 250ms);
        CPPUNIT_ASSERT(alive_at <= start + 252ms);
    }

    void clock_that_drifts_within_bound_keeps_member_alive_at_arrival()
    {
        time_point now = start;
        for (int second = 0; second < 3600; ++second)
        {
            receive("p", make_report("a", 1, 7s + second * 1000500us), now);
            CPPUNIT_ASSERT(now - m_state.m_members.at({"p"}).m_alive_at < 3ms);
            now += 1s;
        }
        for (int second = 0; second < 3600; ++second)
        {
            receive("p", make_report("a", 1, 7s + 3600 * 1000500us + second * 999500us),
                    now);
            CPPUNIT_ASSERT(now - m_state.m_members.at({"p"}).m_alive_at < 3ms);
            now += 1s;
        }
    }

    void report_of_new_incarnation_replaces_old_one()
    {
        CPPUNIT_ASSERT(receive("p", make_report("a", 1)) == report_effect::joined);
        CPPUNIT_ASSERT(receive("p", make_report("a", 1)) == report_effect::refreshed);
        CPPUNIT_ASSERT(receive("p", make_report("a", 2, 0s)) == report_effect::restarted);
    }

    void report_of_replaced_incarnation_is_ignored()
    {
        receive("p", make_report("a", 1));
        receive("p", make_report("a", 2));
        CPPUNIT_ASSERT(receive("p", make_report("a", 1, 5s)) == report_effect::ignored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                             find_live(m_state, {"p"})->m_report.m_incarnation);
    }

    void report_sent_before_received_one_is_ignored()
    {
        receive("p", make_report("a", 1, 3s));
        CPPUNIT_ASSERT(receive("p", make_report("a", 1, 2s)) == report_effect::ignored);
    }

    void list_address_takes_precedence_over_heartbeat()
    {
        receive("p", make_report("a", 1));
        CPPUNIT_ASSERT(address_of(m_state.m_members.at({"p"})) == "heartbeat");
        std::vector<listed_member> const listed{{{"p"}, "a", "listed", false}};
        update_listed_members(m_state, listed, time_point{});
        CPPUNIT_ASSERT(address_of(m_state.m_members.at({"p"})) == "listed");
    }

    void live_member_missing_from_list_stays_live()
    {
        receive("p", make_report("a", 1));
        update_listed_members(m_state, {}, time_point{});
        CPPUNIT_ASSERT(find_live(m_state, {"p"}) != nullptr);
    }

    void listed_member_is_waited_for()
    {
        std::vector<listed_member> const listed = {{{"n"}, "a", "address", false, 7, 1s}};
        update_listed_members(m_state, listed, start);
        CPPUNIT_ASSERT(!has_heard_listed_members(m_state, start));
        receive("n", make_report("a", 1));
        CPPUNIT_ASSERT(has_heard_listed_members(m_state, start));
    }

    // The registration of a permanently removed instance stays in the store.
    void listed_member_with_old_registration_is_not_waited_for()
    {
        std::vector<listed_member> const listed = {
            {{"n"}, "a", "address", false, 7, registration_timeout}};
        update_listed_members(m_state, listed, start);
        CPPUNIT_ASSERT(has_heard_listed_members(m_state, start));
        CPPUNIT_ASSERT(!may_be_alive(m_state, m_state.m_members.at({"n"}), start));
    }

    // The budget of 9 KB/s for control messages, at 30 instances in each of 15 domains,
    // allows 100 messages of 90 bytes a second.
    void heartbeats_at_design_size_stay_within_budget()
    {
        for (int domain = 0; domain < 15; ++domain)
        {
            for (int index = 0; index < 30; ++index)
            {
                std::string const name = std::string(1, char('a' + domain));
                receive(name + std::to_string(index), make_report(name, 1));
            }
        }
        std::size_t sent = 0;
        for (time_point now = start; now < start + 10s; now += 20ms)
        {
            sent += schedule_heartbeats(m_state, now, m_random).size();
        }
        CPPUNIT_ASSERT(sent <= 1000);
    }

    void peer_clock_limit_is_never_later_than_true_limit()
    {
        CPPUNIT_ASSERT(rc::check(
            "peer clock limit",
            [](std::uint32_t offset, std::uint16_t delay, std::uint16_t ahead)
            {
                // The peer's clock shows the local time minus the offset.
                member peer;
                duration const shift = std::chrono::milliseconds(offset);
                time_point const sent = start + shift;
                peer.m_report.m_sent_at = sent - shift;
                peer.m_report_at = sent + std::chrono::milliseconds(delay);
                time_point const limit = sent + std::chrono::milliseconds(ahead);
                RC_ASSERT(to_peer_clock(peer, limit) <= limit - shift);
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(members_test);

// Guards against uneven shares and against items whose owner changes although another
// member has left.
class rendezvous_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rendezvous_test);
    CPPUNIT_TEST(owner_after_removal_of_another_member_is_unchanged);
    CPPUNIT_TEST(assignment_of_shards_gives_each_member_its_share);
    CPPUNIT_TEST(each_item_of_large_fleet_has_one_owner_in_its_domain);
    CPPUNIT_TEST(items_of_domain_without_owner_are_shared_by_all);
    CPPUNIT_TEST(items_without_any_owner_are_assigned_to_nobody);
    CPPUNIT_TEST_SUITE_END();

    /// \returns \p count names in each of the domains a to e.
    static std::vector<placed_name> place(std::string const & prefix, int count)
    {
        std::vector<placed_name> names;
        for (char domain = 'a'; domain <= 'e'; ++domain)
        {
            for (int index = 0; index < count; ++index)
            {
                names.push_back({prefix + domain + std::to_string(index), {domain}});
            }
        }
        return names;
    }

    /// \returns how many owners each item has.
    /// \param max_share receives the largest number of items of one owner.
    static std::vector<int> count_owners(std::span<placed_name const> owners,
                                         std::span<placed_name const> items,
                                         std::size_t & max_share)
    {
        std::vector<int> counts(items.size());
        max_share = 0;
        for (placed_name const & owner : owners)
        {
            auto const own = items_of_owner(owners, items, owner.m_name);
            max_share = std::max(max_share, own.size());
            for (std::size_t const index : own)
            {
                ++counts[index];
            }
        }
        return counts;
    }

public:
    void each_item_of_large_fleet_has_one_owner_in_its_domain()
    {
        std::vector<placed_name> const owners = place("instance-", 20);
        std::vector<placed_name> const items = place("upstream-", 108);
        std::size_t max_share = 0;
        std::vector<int> const counts = count_owners(owners, items, max_share);
        CPPUNIT_ASSERT_EQUAL(items.size(),
                             std::size_t(std::count(counts.begin(), counts.end(), 1)));
        CPPUNIT_ASSERT(max_share <= 6);
        for (std::size_t const index : items_of_owner(owners, items, owners[0].m_name))
        {
            CPPUNIT_ASSERT_EQUAL(owners[0].m_domain, items[index].m_domain);
        }
    }

    void items_of_domain_without_owner_are_shared_by_all()
    {
        std::vector<placed_name> owners = place("instance-", 20);
        std::erase_if(owners,
                      [](placed_name const & name) { return name.m_domain == "c"; });
        std::vector<placed_name> const items = place("upstream-", 108);
        std::size_t max_share = 0;
        std::vector<int> const counts = count_owners(owners, items, max_share);
        CPPUNIT_ASSERT_EQUAL(items.size(),
                             std::size_t(std::count(counts.begin(), counts.end(), 1)));
        CPPUNIT_ASSERT(max_share <= 8);
        CPPUNIT_ASSERT(items_of_owner(owners, items, "instance-c0").empty());
    }

    // Guards against a division by zero when the last instance of the fleet drains.
    void items_without_any_owner_are_assigned_to_nobody()
    {
        std::vector<placed_name> const items = place("upstream-", 2);
        CPPUNIT_ASSERT(items_of_owner({}, items, "instance-a0").empty());
    }

    void owner_after_removal_of_another_member_is_unchanged()
    {
        std::vector<std::string> const names{"a", "b", "c", "d"};
        for (int item = 0; item < 200; ++item)
        {
            std::string const text = "upstream-" + std::to_string(item);
            std::string const & owner = names[rendezvous_choice(names, text)];
            std::vector<std::string> remaining = names;
            std::erase(remaining, owner == "a" ? "b" : "a");
            CPPUNIT_ASSERT_EQUAL(owner, remaining[rendezvous_choice(remaining, text)]);
        }
    }

    void assignment_of_shards_gives_each_member_its_share()
    {
        std::vector<std::string> const names{"a", "b", "c"};
        std::map<std::size_t, int> counts;
        for (std::size_t const owner : assign_shards(names, 8))
        {
            ++counts[owner];
        }
        for (std::size_t index = 0; index < names.size(); ++index)
        {
            CPPUNIT_ASSERT(counts[index] >= 2 && counts[index] <= 3);
        }
        CPPUNIT_ASSERT(assign_shards({}, 8).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rendezvous_test);

} // namespace
