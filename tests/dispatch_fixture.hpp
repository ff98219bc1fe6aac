#ifndef CASSIAHUB_TESTS_DISPATCH_FIXTURE_HPP
#define CASSIAHUB_TESTS_DISPATCH_FIXTURE_HPP

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cassiahub::dispatch
{

using namespace std::chrono_literals;

constexpr time_point test_start{1000s};

inline config::work_kind make_kind(std::string name, std::uint32_t urgency,
                                   std::uint32_t share, bool repeatable)
{
    config::work_kind kind;
    kind.m_name = std::move(name);
    kind.m_urgency = urgency;
    kind.m_share = share;
    kind.m_repeatable = repeatable;
    return kind;
}

/// \returns a configuration with three upstreams of two slots each and the kinds bulk,
/// check and lodge, from least to most urgent; lodge is not repeatable.
inline config::fleet_configuration make_configuration()
{
    config::fleet_configuration result;
    result.m_domains.push_back({"north", "team", "here", 8});
    result.m_kinds = {make_kind("bulk", 8, 50, true), make_kind("check", 2, 50, true),
                      make_kind("lodge", 1, 50, false)};
    config::tenant tenant;
    tenant.m_name = "acme";
    tenant.m_max_tasks = 100;
    result.m_tenants.push_back(tenant);
    tenant.m_name = "zeta";
    result.m_tenants.push_back(tenant);
    for (char const * name : {"up-0", "up-1", "up-2"})
    {
        config::upstream upstream;
        upstream.m_name = name;
        upstream.m_address = std::string("address-of-") + name;
        upstream.m_domain = "north";
        upstream.m_slots = 2;
        result.m_upstreams.push_back(upstream);
    }
    return result;
}

/// A dispatcher that owns every upstream of m_configuration. step() and the functions
/// that call it check the invariants.
class dispatch_fixture : public CppUnit::TestFixture
{
protected:
    dispatch_state m_state;
    config::fleet_configuration m_configuration;
    time_point m_now = test_start;
    random_source m_random;
    effects m_out;
    std::uint64_t m_next_key = 0;

    /// Applies m_configuration and takes ownership of all its upstreams.
    void apply()
    {
        apply_configuration(
            m_state, std::make_shared<config::fleet_configuration>(m_configuration),
            m_now);
        std::vector<std::string> names;
        for (config::upstream const & upstream : m_configuration.m_upstreams)
        {
            names.push_back(upstream.m_name);
        }
        set_owned_upstreams(m_state, names);
    }

    static job_spec make_spec(std::string kind, std::size_t tasks,
                              std::string tenant = "acme")
    {
        job_spec spec;
        spec.m_key = {std::move(tenant), "north", {}};
        spec.m_kind = std::move(kind);
        spec.m_time_limit = 10s;
        spec.m_tasks.resize(tasks);
        for (task_spec & task : spec.m_tasks)
        {
            task.m_demand = {1000, 512, 0};
        }
        return spec;
    }

    job_key submit(job_spec spec)
    {
        spec.m_key.m_key = std::to_string(m_next_key++);
        job_key key = spec.m_key;
        time_point const deadline = m_now + spec.m_time_limit;
        enqueue_job(m_state, {std::move(spec), {}, deadline, deadline}, m_now);
        step();
        return key;
    }

    job_key submit(std::string kind, std::size_t tasks, std::string tenant = "acme")
    {
        return submit(make_spec(std::move(kind), tasks, std::move(tenant)));
    }

    void step(duration passed = duration::zero())
    {
        m_now += passed;
        advance(m_state, m_now, m_random, m_out);
        assert_invariants();
    }

    void assert_invariants() const
    {
        for (std::string_view const violation : check_invariants(m_state))
        {
            CPPUNIT_FAIL("broken invariant: " + std::string(violation));
        }
    }

    void finish(attempt_id const & id, attempt_outcome outcome, std::string payload = "")
    {
        finish_attempt(m_state, {id, outcome, std::move(payload), false}, m_now, m_random,
                       m_out);
        step();
    }

    /// \returns the attempts started since the last call.
    std::vector<attempt_start> take_starts()
    {
        return std::exchange(m_out.m_starts, {});
    }

    attempt_start take_one_start()
    {
        auto starts = take_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
        return starts.front();
    }

    job_answer take_answer()
    {
        auto finished = std::exchange(m_out.m_finished, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), finished.size());
        return finished.front().m_answer;
    }

    std::size_t count_kind(std::vector<attempt_start> const & starts,
                           std::string const & kind) const
    {
        return static_cast<std::size_t>(std::count_if(starts.begin(), starts.end(),
                                                      [&kind](attempt_start const & start)
                                                      { return start.m_kind == kind; }));
    }

public:
    void setUp() override
    {
        m_configuration = make_configuration();
        apply();
    }
};

} // namespace cassiahub::dispatch

#endif
