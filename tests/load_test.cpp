/// \file Parsing of plans, generation of arrivals and the report of the load generator.

#include <cassiahub/load/load_arrivals.hpp>
#include <cassiahub/load/load_plan.hpp>
#include <cassiahub/load/load_report.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <string>

using namespace cassiahub;
using namespace cassiahub::load;
using namespace std::chrono_literals;

namespace
{

constexpr char const * valid_plan =
    "[load]\nseed = 7\nlength = 100s\ntargets = 127.0.0.1:1 127.0.0.1:2\n"
    "resubmit_percent = 10\n"
    "[kind.levy]\nrate = 20\ndeadline = 2s\nrepeatable = yes\ntasks = 1:1 3:1\n"
    "run_time = 50ms-1s:9 2s:1\ntenants = acme:1\n"
    "[kind.lodge]\nrate = 5\ndeadline = 2s\nrepeatable = no\ntasks = 1:1\n"
    "run_time = 100ms:1\ntenants = acme:1\n"
    "[flood.f]\nkind = levy\nfactor = 4\nstart = 40s\nlength = 20s\n";

load_plan make_plan()
{
    std::vector<config::config_error> faults;
    auto plan = parse_load_plan(valid_plan, faults);
    CPPUNIT_ASSERT(plan);
    return *plan;
}

std::vector<arrival> generate_all(load_plan const & plan)
{
    std::vector<arrival> arrivals;
    arrival_state state = make_arrival_state(plan, "r");
    while (auto item = next_arrival(plan, state))
    {
        arrivals.push_back(std::move(*item));
    }
    return arrivals;
}

class load_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_plan_test);
    CPPUNIT_TEST(parse_valid_plan_returns_values);
    CPPUNIT_TEST(parse_unknown_key_is_refused);
    CPPUNIT_TEST(parse_task_count_above_limit_names_allowed_range);
    CPPUNIT_TEST(parse_flood_of_unknown_kind_is_refused);
    CPPUNIT_TEST_SUITE_END();

    std::vector<config::config_error> m_faults;

public:
    void parse_valid_plan_returns_values()
    {
        load_plan const plan = make_plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.m_targets.size());
        CPPUNIT_ASSERT(plan.m_kinds[0].m_run_times[0].m_value.m_high == 1s);
        // Each second, 20 jobs with a mean of 2 tasks that run for
        // (0.95 / ln 20 * 0.9 + 2 * 0.1) s on average, and 5 jobs with one task of 0.1 s.
        double const slots = 40 * (0.95 / std::log(20.0) * 0.9 + 0.2) + 0.5;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(slots, offered_slots(plan), 0.001);
    }

    // Guards against a misspelt key that is ignored, so that the default stays in effect.
    void parse_unknown_key_is_refused()
    {
        CPPUNIT_ASSERT(!parse_load_plan("[load]\nsenderz = 3\n", m_faults));
        CPPUNIT_ASSERT(m_faults[0].m_error == config::config_errc::unknown_key);
    }

    void parse_task_count_above_limit_names_allowed_range()
    {
        std::string text = valid_plan;
        text.replace(text.find("3:1"), 3, "231:1");
        CPPUNIT_ASSERT(!parse_load_plan(text, m_faults));
        CPPUNIT_ASSERT(m_faults[0].m_allowed.find("1 to 230") != std::string::npos);
    }

    void parse_flood_of_unknown_kind_is_refused()
    {
        std::string text = valid_plan;
        text.replace(text.find("kind = levy"), 11, "kind = nope");
        CPPUNIT_ASSERT(!parse_load_plan(text, m_faults));
        CPPUNIT_ASSERT(m_faults[0].m_error == config::config_errc::unknown_reference);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_plan_test);

class load_arrivals_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_arrivals_test);
    CPPUNIT_TEST(arrivals_of_any_seed_are_ordered_and_reproducible);
    CPPUNIT_TEST(arrivals_match_rate_and_flood);
    CPPUNIT_TEST(resubmission_has_same_key_and_other_target);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a run that cannot be reproduced from its seed, and against arrivals
    // that are not in order of time.
    void arrivals_of_any_seed_are_ordered_and_reproducible()
    {
        CPPUNIT_ASSERT(rc::check(
            [](std::uint32_t seed)
            {
                load_plan plan = make_plan();
                plan.m_seed = seed;
                plan.m_length = 5s;
                auto const first = generate_all(plan);
                auto const second = generate_all(plan);
                RC_ASSERT(first.size() == second.size());
                for (std::size_t index = 0; index < first.size(); ++index)
                {
                    RC_ASSERT(first[index].m_at == second[index].m_at);
                    RC_ASSERT(first[index].m_job.m_key == second[index].m_job.m_key);
                    // RC_ASSERT evaluates both operands of ||.
                    bool const is_ordered =
                        index == 0 || first[index - 1].m_at <= first[index].m_at;
                    RC_ASSERT(is_ordered);
                }
            }));
    }

    // Guards against a flood that is weaker than planned. The bounds are five standard
    // deviations of the Poisson counts.
    void arrivals_match_rate_and_flood()
    {
        load_plan const plan = make_plan();
        double normal = 0;
        double flooded = 0;
        for (arrival const & item : generate_all(plan))
        {
            bool const counted = item.m_kind == 0 && !item.m_resubmission;
            bool const in_flood = item.m_at >= 40s && item.m_at < 60s;
            normal += counted && !in_flood ? 1 : 0;
            flooded += counted && in_flood ? 1 : 0;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1600, normal, 5 * 40);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1600, flooded, 5 * 40);
    }

    // Guards against resubmissions with a new key or to the same entry instance, which
    // would not test the recognition of known keys.
    void resubmission_has_same_key_and_other_target()
    {
        auto const arrivals = generate_all(make_plan());
        std::size_t found = 0;
        for (arrival const & item : arrivals)
        {
            if (item.m_resubmission)
            {
                auto const first =
                    std::find_if(arrivals.begin(), arrivals.end(),
                                 [&item](arrival const & candidate)
                                 { return candidate.m_job.m_key == item.m_job.m_key; });
                CPPUNIT_ASSERT(!first->m_resubmission && first->m_has_resubmission);
                CPPUNIT_ASSERT(first->m_target != item.m_target);
                ++found;
            }
        }
        CPPUNIT_ASSERT(found > arrivals.size() / 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_arrivals_test);

class load_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_report_test);
    CPPUNIT_TEST(quantile_lies_within_one_bin);
    CPPUNIT_TEST(late_answer_is_not_in_time);
    CPPUNIT_TEST(retention_during_flood_is_relative_to_normal);
    CPPUNIT_TEST(repeated_starts_of_non_repeatable_kind_are_violations);
    CPPUNIT_TEST_SUITE_END();

    load_plan m_plan;
    load_report m_report;

    void add(std::uint32_t kind, duration at, duration latency, std::uint64_t count = 1)
    {
        submission_outcome outcome;
        outcome.m_kind = kind;
        outcome.m_at = at;
        outcome.m_latency = latency;
        outcome.m_ideal_latency = 100ms;
        outcome.m_tasks = 2;
        outcome.m_complete = true;
        for (std::uint64_t index = 0; index < count; ++index)
        {
            add_outcome(m_plan, m_report, outcome);
        }
    }

public:
    void setUp() override
    {
        m_plan = make_plan();
        m_report = make_empty_report(m_plan);
    }

    void quantile_lies_within_one_bin()
    {
        log_histogram counts = make_log_histogram(0.5, 1000, 0.005);
        for (int value = 1; value <= 100; ++value)
        {
            counts(value);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, quantile(counts, 0.5), 50 * 0.006);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(99, quantile(counts, 0.99), 99 * 0.006);
    }

    // Guards against goodput that counts answers after the deadline.
    void late_answer_is_not_in_time()
    {
        add(0, 10s, 2001ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_report.m_kinds[0].m_in_time);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_report.m_kinds[0].m_late);
    }

    // Guards against retention whose share during the flood counts jobs of the flooding
    // kind or jobs from outside the flood.
    void retention_during_flood_is_relative_to_normal()
    {
        add(1, 10s, 100ms, 10);
        add(1, 50s, 100ms, 8);
        add(1, 50s, 3s, 2);
        add(0, 50s, 3s, 1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.8, flood_retention(m_plan, m_report, m_plan.m_floods[0]), 1e-9);
    }

    void repeated_starts_of_non_repeatable_kind_are_violations()
    {
        m_report.m_upstreams.m_repeated_starts_by_kind = {{"levy", 5}, {"lodge", 1}};
        m_report.m_started_despite_refusal = 2;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), count_violations(m_plan, m_report));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_report_test);

} // namespace
