/// \file Complete runs against a minimal HTTP server in place of an entry instance.
/// Guards against measurements that hide lateness or wrong answers.

#include "free_port.hpp"

#include <cassiahub/codec.hpp>
#include <cassiahub/http.hpp>
#include <cassiahub/load/load_arrivals.hpp>
#include <cassiahub/load/load_run.hpp>

#include <civetweb.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <string>
#include <thread>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

class load_run_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_run_test);
    CPPUNIT_TEST(run_with_expected_answers_counts_every_job);
    CPPUNIT_TEST(run_with_answer_of_other_key_counts_violations);
    CPPUNIT_TEST(run_with_one_busy_sender_counts_lateness);
    CPPUNIT_TEST(run_with_refusals_counts_them_by_code);
    CPPUNIT_TEST_SUITE_END();

    load::load_plan m_plan;
    load::load_report m_report;
    std::string m_answered_key; ///< replaces the key of the request unless empty
    duration m_answer_time{0};  ///< delay of every answer
    bool m_refuses = false;     ///< refuses every job as overloaded
    std::atomic<std::uint64_t> m_served{0}; ///< requests received

    http::response answer(http::request const & received)
    {
        ++m_served;
        std::this_thread::sleep_for(m_answer_time);
        if (m_refuses)
        {
            return {503,
                    "application/problem+json",
                    {},
                    codec::format_problem(503, job_errc::overloaded, run_state::no)};
        }
        job_spec spec;
        codec::parse_job_body(received.m_body, spec);
        spec.m_key.m_key = m_answered_key.empty()
                               ? http::find_header(received.m_headers, codec::key_header)
                               : m_answered_key;
        job_answer job_result;
        for (std::size_t index = 0; index < spec.m_tasks.size(); ++index)
        {
            job_result.m_results.push_back(load::expected_result(spec, index));
        }
        return {200,
                "application/json",
                {},
                codec::format_job_answer(spec.m_key, job_result)};
    }

    void run()
    {
        http::server_options options;
        options.m_address = fmt::format("127.0.0.1:{}", find_free_port());
        options.m_threads = 8;
        std::error_code error;
        http::server const server = http::start_server(
            options, [this](http::request const & received) { return answer(received); },
            error);
        CPPUNIT_ASSERT(!error);
        m_plan.m_targets = {options.m_address};
        m_report = load::make_empty_report(m_plan);
        CPPUNIT_ASSERT(!load::run_load(m_plan, {}, m_report));
    }

public:
    void setUp() override
    {
        mg_init_library(MG_FEATURES_DEFAULT);
        m_answered_key.clear();
        m_answer_time = 0ms;
        m_refuses = false;
        m_served = 0;
        m_plan = {};
        m_plan.m_length = 1s;
        m_plan.m_senders = 4;
        load::kind_load kind;
        kind.m_name = "levy";
        kind.m_rate = 20;
        kind.m_task_counts = {{2, 1}};
        kind.m_run_times = {{{50ms, 50ms}, 1}};
        kind.m_tenants = {{"acme", 1}};
        m_plan.m_kinds = {kind};
    }

    void run_with_expected_answers_counts_every_job()
    {
        m_plan.m_resubmit_percent = 50;
        run();
        load::kind_totals const & totals = m_report.m_kinds[0];
        CPPUNIT_ASSERT(totals.m_finished > 0 && totals.m_resubmissions > 0);
        CPPUNIT_ASSERT_EQUAL(totals.m_finished, totals.m_in_time);
        CPPUNIT_ASSERT_EQUAL(m_served.load(), totals.m_finished + totals.m_resubmissions);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), load::count_violations(m_plan, m_report));
    }

    void run_with_answer_of_other_key_counts_violations()
    {
        m_answered_key = "other";
        run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_report.m_kinds[0].m_complete);
        CPPUNIT_ASSERT_EQUAL(m_report.m_kinds[0].m_finished,
                             load::count_violations(m_plan, m_report));
    }

    // One sender needs 100 ms for each of the 20 jobs that are due within 1 s: the last
    // one ends about 1 s after it was due.
    void run_with_one_busy_sender_counts_lateness()
    {
        m_plan.m_senders = 1;
        m_answer_time = 100ms;
        run();
        CPPUNIT_ASSERT(load::quantile(m_report.m_kinds[0].m_latency, 0.99) > 0.4);
    }

    void run_with_refusals_counts_them_by_code()
    {
        m_refuses = true;
        run();
        load::kind_totals const & totals = m_report.m_kinds[0];
        CPPUNIT_ASSERT_EQUAL(totals.m_finished, totals.m_refused_not_run);
        CPPUNIT_ASSERT_EQUAL(totals.m_finished, totals.m_failed.at("overloaded"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_run_test);

} // namespace
