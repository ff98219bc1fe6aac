/// \file Detection of kinds that slow each other down, on scripted histories of runs.

#include "interference_history.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>

namespace cassiahub::interference
{

class interference_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(interference_test);
    CPPUNIT_TEST(pair_with_effect_of_half_is_found_within_1500_runs);
    CPPUNIT_TEST(effect_of_kind_on_itself_is_found);
    CPPUNIT_TEST(short_neighbours_of_long_kind_are_found_by_several_instances);
    CPPUNIT_TEST(histories_without_effect_accuse_no_pair);
    CPPUNIT_TEST(slow_upstreams_accuse_no_pair);
    CPPUNIT_TEST(interfering_pair_does_not_make_upstreams_look_slow);
    CPPUNIT_TEST(pair_whose_effect_has_gone_is_forgotten);
    CPPUNIT_TEST(summaries_in_any_order_and_repeated_give_the_same_state);
    CPPUNIT_TEST(lost_summary_is_made_up_by_the_next_one);
    CPPUNIT_TEST(evidence_of_lost_instance_decays);
    CPPUNIT_TEST(rules_of_operators_override_evidence);
    CPPUNIT_TEST(kinds_upstreams_and_instances_beyond_limits_are_ignored);
    CPPUNIT_TEST_SUITE_END();

    /// Number of histories of a case, which the environment variable CASSIAHUB_SEEDS
    /// sets.
    int const m_seeds = read_seeds();

    static int read_seeds()
    {
        char const * const text = std::getenv("CASSIAHUB_SEEDS");
        return text == nullptr ? 10 : std::max(std::atoi(text), 1);
    }

    /// Runs \p settings with each seed and fails when a pair is kept apart.
    void assert_no_pair(std::string const & name, script const & settings) const
    {
        for (int seed = 1; seed <= m_seeds; ++seed)
        {
            scripted_history history(settings, static_cast<std::uint64_t>(seed));
            history.run_until(600);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name + ", seed " + std::to_string(seed),
                                         std::size_t(0), history.m_changes.size());
        }
    }

    static script interfering_script()
    {
        script settings;
        settings.m_effects[{1, 3}] = 1.5;
        return settings;
    }

    static summary make_summary(std::uint64_t incarnation, std::uint64_t sequence,
                                float effect)
    {
        summary result{incarnation, sequence, {"bulk", "check"}, {}};
        result.m_pairs.push_back({0, 1, {40, 30, effect, effect * effect / 40, 20}, {}});
        return result;
    }

    static interference_state make_state()
    {
        interference_state state;
        track_kind(state, "check");
        track_kind(state, "bulk");
        return state;
    }

    /// \returns the slowdown of bulk beside check.
    static double slowdown(interference_state const & state)
    {
        std::uint8_t const check = find_kind(state, "check");
        return expected_slowdown(state, find_kind(state, "bulk"), {&check, 1});
    }

public:
    // Guards against a detection that needs more runs than a kind has in a few minutes.
    void pair_with_effect_of_half_is_found_within_1500_runs()
    {
        for (int seed = 1; seed <= m_seeds; ++seed)
        {
            scripted_history history(interfering_script(),
                                     static_cast<std::uint64_t>(seed));
            while (!history.pair(1, 3).m_apart && history.m_runs[1] < 1500)
            {
                history.run_until(history.m_time + 1);
            }
            CPPUNIT_ASSERT(history.pair(1, 3).m_apart);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), history.m_changes.size());
            std::uint8_t const other = 3;
            double const expected = expected_slowdown(history.m_state, 1, {&other, 1});
            CPPUNIT_ASSERT(expected > 1.1 && expected < 1.5);
        }
    }

    void effect_of_kind_on_itself_is_found()
    {
        script settings;
        settings.m_effects[{2, 2}] = 1.5;
        scripted_history history(settings, 1);
        history.run_until(300);
        CPPUNIT_ASSERT(history.pair(2, 2).m_apart);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), history.m_changes.size());
    }

    // Guards against an instrument that a long run does not have: hardly any of its
    // neighbours was there at its start.
    void short_neighbours_of_long_kind_are_found_by_several_instances()
    {
        script settings;
        settings.m_effects[{4, 0}] = 1.5;
        scripted_history first(settings, 100);
        first.run_until(300);
        for (std::uint64_t seed = 101; seed < 113; ++seed)
        {
            scripted_history other(settings, seed);
            other.run_until(300);
            merge(first.m_state, {std::to_string(seed)},
                  summarize(other.m_state, other.now()), first.now());
        }
        update_pairs(first.m_state, first.now());
        CPPUNIT_ASSERT(first.pair(4, 0).m_apart);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_apart(first.m_state));
    }

    // Guards against accusations by chance, by task sizes and by a busy gateway.
    void histories_without_effect_accuse_no_pair()
    {
        script uneven;
        for (scripted_kind & kind : uneven.m_kinds)
        {
            kind.m_spread = 0.9;
        }
        script jobs;
        jobs.m_job_tasks = 6;
        script busy;
        busy.m_delay = [](double time)
        {
            return std::fmod(time, 7) < 1.5 ? 0.3 : 0.0;
        };
        assert_no_pair("plain", {});
        assert_no_pair("uneven sizes", uneven);
        assert_no_pair("jobs of six tasks", jobs);
        assert_no_pair("busy gateway", busy);
    }

    // Guards against accusing the kinds that run on upstreams that are slow all the time
    // or for 20 s, or that hang for 2 s.
    void slow_upstreams_accuse_no_pair()
    {
        script slow;
        slow.m_speed = [](int upstream, double)
        {
            return upstream < 2 ? 0.5 : 1.1;
        };
        script phases;
        phases.m_speed = [](int upstream, double time)
        {
            return std::fmod(time + upstream * 13, 60) < 20 ? 0.4 : 1.0;
        };
        script hangs;
        hangs.m_speed = [](int upstream, double time)
        {
            return std::fmod(time + upstream * 7, 20) < 2 ? 0.0 : 1.0;
        };
        assert_no_pair("slow", slow);
        assert_no_pair("phases", phases);
        assert_no_pair("hangs", hangs);
        CPPUNIT_ASSERT(rc::check(
            "a slow upstream is no evidence",
            []
            {
                script settings;
                double const speed = *rc::gen::inRange(25, 100) / 100.0;
                int const count = *rc::gen::inRange(1, 7);
                settings.m_speed = [=](int upstream, double)
                {
                    return upstream < count ? speed : 1.0;
                };
                scripted_history history(settings, *rc::gen::arbitrary<std::uint32_t>());
                history.run_until(120);
                RC_ASSERT(history.m_changes.empty());
            }));
    }

    // Guards against ejecting upstreams because of the kinds that share them.
    void interfering_pair_does_not_make_upstreams_look_slow()
    {
        CPPUNIT_ASSERT(rc::check(
            "an interfering pair is no evidence against an upstream",
            []
            {
                script settings;
                double const effect = *rc::gen::inRange(20, 30) / 10.0;
                settings.m_effects = {
                    {{0, 4}, effect}, {{1, 4}, effect}, {{2, 4}, effect}};
                settings.m_allows = [](int kind, int upstream)
                {
                    return kind != 4 || upstream < 3;
                };
                settings.m_measured_from = 400;
                scripted_history history(settings, *rc::gen::arbitrary<std::uint32_t>());
                history.run_until(800);
                auto const excess = [&](std::vector<double> const & sums)
                {
                    return sums[0] / history.m_measured[0] -
                           sums[7] / history.m_measured[7];
                };
                RC_ASSERT(history.pair(0, 4).m_apart);
                // A history in which the effect hardly shows says nothing about its
                // correction: 1 of about 500 has a raw excess below this.
                RC_PRE(excess(history.m_slowness) > 0.15);
                RC_ASSERT(excess(history.m_corrected) < 0.5 * excess(history.m_slowness));
            }));
    }

    // Guards against pairs that stay apart for ever, because kinds that are kept apart
    // give no evidence.
    void pair_whose_effect_has_gone_is_forgotten()
    {
        for (bool const avoids : {false, true})
        {
            script settings = interfering_script();
            settings.m_avoids = avoids;
            scripted_history history(settings, 1);
            history.run_until(300);
            CPPUNIT_ASSERT(history.pair(1, 3).m_apart);
            history.settings().m_effects.clear();
            history.run_until(300 + 30 * 60);
            CPPUNIT_ASSERT(!history.pair(1, 3).m_apart);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), history.m_changes.size());
        }
    }

    // Guards against summaries that are added instead of replacing the earlier ones.
    void summaries_in_any_order_and_repeated_give_the_same_state()
    {
        CPPUNIT_ASSERT(rc::check(
            "order of summaries",
            []
            {
                std::vector<std::pair<std::string, summary>> sent;
                for (std::uint64_t number = 0; number < 12; ++number)
                {
                    sent.emplace_back(
                        number % 3 == 0 ? "a" : "b",
                        make_summary(number % 3, number, float(10 + number)));
                }
                time_point const now(std::chrono::seconds(1000));
                interference_state in_order = make_state();
                interference_state shuffled = make_state();
                for (auto const & [from, item] : sent)
                {
                    merge(in_order, {from}, item, now);
                }
                std::size_t const repeats = *rc::gen::inRange<std::size_t>(0, 12);
                sent.insert(sent.end(), sent.begin(),
                            sent.begin() + std::ptrdiff_t(repeats));
                random_source random(*rc::gen::arbitrary<std::uint32_t>());
                std::shuffle(sent.begin(), sent.end(), random);
                for (auto const & [from, item] : sent)
                {
                    merge(shuffled, {from}, item, now);
                }
                update_pairs(in_order, now);
                update_pairs(shuffled, now);
                RC_ASSERT(slowdown(in_order) > 1.2);
                RC_ASSERT(std::abs(slowdown(in_order) - slowdown(shuffled)) < 1e-4);
            }));
    }

    void lost_summary_is_made_up_by_the_next_one()
    {
        time_point const now(std::chrono::seconds(1000));
        interference_state all = make_state();
        interference_state some = make_state();
        merge(all, {"a"}, make_summary(1, 1, 10), now);
        merge(all, {"a"}, make_summary(1, 2, 20), now);
        merge(some, {"a"}, make_summary(1, 2, 20), now);
        update_pairs(all, now);
        update_pairs(some, now);
        CPPUNIT_ASSERT(slowdown(all) > 1);
        CPPUNIT_ASSERT_EQUAL(slowdown(all), slowdown(some));
    }

    // Guards against losing the evidence with the instance, and against keeping it for
    // ever.
    void evidence_of_lost_instance_decays()
    {
        time_point const now(std::chrono::seconds(1000));
        interference_state state = make_state();
        merge(state, {"a"}, make_summary(1, 1, 20), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), update_pairs(state, now).size());
        CPPUNIT_ASSERT(update_pairs(state, now + std::chrono::minutes(5)).empty());
        CPPUNIT_ASSERT(slowdown(state) > 1);
        auto const changes = update_pairs(state, now + std::chrono::minutes(11));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
        CPPUNIT_ASSERT(!changes[0].m_apart);
        CPPUNIT_ASSERT_EQUAL(1.0, slowdown(state));
    }

    void rules_of_operators_override_evidence()
    {
        time_point const now(std::chrono::seconds(1000));
        interference_state state = make_state();
        merge(state, {"a"}, make_summary(1, 1, 20), now);
        set_rule(state, 0, 1, pair_rule::never_separated);
        update_pairs(state, now);
        CPPUNIT_ASSERT_EQUAL(1.0, slowdown(state));
        clear_rules(state);
        state.m_instances.clear();
        set_rule(state, 0, 1, pair_rule::always_apart);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), update_pairs(state, now).size());
        CPPUNIT_ASSERT(slowdown(state) > 1.5);
    }

    // Guards against memory that grows with what peers and configurations name.
    void kinds_upstreams_and_instances_beyond_limits_are_ignored()
    {
        time_point const now(std::chrono::seconds(1000));
        interference_state state;
        for (std::size_t index = 0; index < 2 * max_kinds; ++index)
        {
            track_kind(state, "kind-" + std::to_string(index));
        }
        CPPUNIT_ASSERT_EQUAL(max_kinds * max_kinds, state.m_pairs.size());
        CPPUNIT_ASSERT(sizeof(pair_state) * state.m_pairs.size() <= 400'000);
        CPPUNIT_ASSERT_EQUAL(untracked_kind, track_kind(state, "kind-64"));
        finished_run run;
        observe(state, run, now);
        run.m_kind = 0;
        run.m_upstream = max_upstreams;
        observe(state, run, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.m_counters.m_ignored);
        run.m_upstream = 5;
        for (std::size_t index = 0; index < 5 * max_block_runs; ++index)
        {
            observe(state, run, now);
        }
        CPPUNIT_ASSERT(state.m_blocks[5].m_runs.capacity() <= max_block_runs);
        for (std::size_t index = 0; index < 2 * max_instances; ++index)
        {
            merge(state, {std::to_string(index)}, make_summary(index, 1, 20), now);
        }
        CPPUNIT_ASSERT_EQUAL(max_instances, state.m_instances.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(interference_test);

} // namespace cassiahub::interference
