/// \file Tests of log rate limits, histograms and the text exposition.

#include <cassiahub/telemetry.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace cassiahub;
using namespace cassiahub::telemetry;
using namespace std::chrono_literals;

namespace
{

// Guards against a value of a caller that fills the log or ends the process.
class log_line_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_line_test);
    CPPUNIT_TEST(line_with_long_value_not_utf8_is_bounded_json);
    CPPUNIT_TEST_SUITE_END();

public:
    void line_with_long_value_not_utf8_is_bounded_json()
    {
        std::string const value(1'000'000, '\xe9');
        log_field const field{"subject", value};
        std::string const line =
            format_log(log_level::warning, "g1", "request_refused", {&field, 1});
        CPPUNIT_ASSERT(line.size() < 4 * max_log_value);
        CPPUNIT_ASSERT(line.starts_with('{') && line.ends_with("\xef\xbf\xbd\"}"));
    }
};

// Guards against a burst of lines of one code that fills the log.
class log_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_limiter_test);
    CPPUNIT_TEST(admit_line_above_limit_is_suppressed);
    CPPUNIT_TEST(admit_line_next_period_reports_suppressed_lines);
    CPPUNIT_TEST(admit_line_other_code_has_its_own_limit);
    CPPUNIT_TEST_SUITE_END();

    log_limiter m_limiter;

public:
    void setUp() override
    {
        m_limiter = {2, 1s, {}};
    }

    void admit_line_above_limit_is_suppressed()
    {
        CPPUNIT_ASSERT(admit_line(m_limiter, "a", time_point(0s)).m_allowed);
        CPPUNIT_ASSERT(admit_line(m_limiter, "a", time_point(0s)).m_allowed);
        CPPUNIT_ASSERT(!admit_line(m_limiter, "a", time_point(0s)).m_allowed);
    }

    void admit_line_next_period_reports_suppressed_lines()
    {
        for (int line = 0; line < 5; ++line)
        {
            admit_line(m_limiter, "a", time_point(0s));
        }
        log_permission const permission = admit_line(m_limiter, "a", time_point(1s));
        CPPUNIT_ASSERT(permission.m_allowed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), permission.m_suppressed_before);
    }

    void admit_line_other_code_has_its_own_limit()
    {
        for (int line = 0; line < 3; ++line)
        {
            admit_line(m_limiter, "a", time_point(0s));
        }
        CPPUNIT_ASSERT(admit_line(m_limiter, "b", time_point(0s)).m_allowed);
    }
};

// Guards against samples in the wrong bucket and an unbounded number of labels.
class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(record_job_value_on_bound_counts_in_that_bucket);
    CPPUNIT_TEST(record_job_too_many_tenants_share_one_series);
    CPPUNIT_TEST(format_exposition_buckets_are_cumulative);
    CPPUNIT_TEST(format_exposition_label_with_quote_is_escaped);
    CPPUNIT_TEST_SUITE_END();

    metrics m_metrics;

public:
    void setUp() override
    {
        m_metrics = {};
    }

    void record_job_value_on_bound_counts_in_that_bucket()
    {
        record_job(m_metrics, "t", "k", "ok", 5ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             bucket_counts(m_metrics.m_response_by_tenant.at("t"))[0]);
    }

    void record_job_too_many_tenants_share_one_series()
    {
        for (std::size_t tenant = 0; tenant < max_series + 10; ++tenant)
        {
            record_job(m_metrics, std::to_string(tenant), "k", "ok", 1ms);
        }
        CPPUNIT_ASSERT_EQUAL(max_series + 1, m_metrics.m_response_by_tenant.size());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(10),
            sample_count(m_metrics.m_response_by_tenant.at(std::string(overflow_label))));
    }

    void format_exposition_buckets_are_cumulative()
    {
        record_job(m_metrics, "t", "k", "ok", 1ms);
        record_job(m_metrics, "t", "k", "ok", 90ms);
        std::string const text = format_exposition(m_metrics);
        CPPUNIT_ASSERT(text.find("cassiahub_tenant_response_seconds_bucket{tenant=\"t\","
                                 "le=\"0.1\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("cassiahub_kind_response_seconds_bucket{kind=\"k\","
                                 "le=\"0.05\"} 1\n") != std::string::npos);
    }

    void format_exposition_label_with_quote_is_escaped()
    {
        record_job(m_metrics, "a\"b", "k", "ok", 1ms);
        CPPUNIT_ASSERT(format_exposition(m_metrics).find("tenant=\"a\\\"b\"") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_line_test);
CPPUNIT_TEST_SUITE_REGISTRATION(log_limiter_test);
CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);

} // namespace
