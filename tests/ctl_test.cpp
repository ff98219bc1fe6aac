/// \file Parsing and drawing of the histograms in a metrics response.

#include <cassiahub/ctl/histogram.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace cassiahub::ctl;

namespace
{

constexpr char const * page =
    "# HELP wait_seconds Time in the queue.\n"
    "# TYPE wait_seconds histogram\n"
    "wait_seconds_bucket{kind=\"levy}\",le=\"0.1\"} 10\n"
    "wait_seconds_bucket{kind=\"levy}\",le=\"0.2\"} 30 1700000000\n"
    "wait_seconds_bucket{kind=\"levy}\",le=\"+Inf\"} 40\n"
    "wait_seconds_sum{kind=\"levy}\"} 8\n"
    "wait_seconds_count{kind=\"levy}\"} 40\n"
    "wait_seconds_bucket{le=\"1\",kind=\"book\"} 0\n"
    "wait_seconds_bucket{le=\"+Inf\",kind=\"book\"} 0\n"
    "requests_total 7\n"
    "broken_bucket{le=\"x\"} 1\n"
    "broken_bucket{le=\"1\" 1\n";

// Guards against a metrics response that is parsed wrongly, and against a drawing that
// fails for an empty histogram.
class histogram_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(histogram_test);
    CPPUNIT_TEST(parse_page_returns_one_histogram_for_each_label_set);
    CPPUNIT_TEST(quantile_inside_bucket_is_interpolated);
    CPPUNIT_TEST(quantile_of_empty_histogram_is_zero);
    CPPUNIT_TEST(draw_nonempty_buckets_scales_to_width);
    CPPUNIT_TEST(draw_empty_histogram_has_no_bars);
    CPPUNIT_TEST_SUITE_END();

    std::vector<histogram> m_found = parse_histograms(page);

public:
    void parse_page_returns_one_histogram_for_each_label_set()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_found.size());
        CPPUNIT_ASSERT_EQUAL(std::string("kind=\"book\""), m_found[0].m_labels);
        CPPUNIT_ASSERT_EQUAL(std::string("kind=\"levy}\""), m_found[1].m_labels);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_found[1].m_buckets.size());
        CPPUNIT_ASSERT_EQUAL(30.0, m_found[1].m_buckets[1].m_cumulative);
        CPPUNIT_ASSERT_EQUAL(8.0, m_found[1].m_sum);
        CPPUNIT_ASSERT_EQUAL(40.0, m_found[1].m_count);
    }

    void quantile_inside_bucket_is_interpolated()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, estimate_quantile(m_found[1].m_buckets, 0.5),
                                     1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, estimate_quantile(m_found[1].m_buckets, 0.99),
                                     1e-9);
    }

    void quantile_of_empty_histogram_is_zero()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, estimate_quantile(m_found[0].m_buckets, 0.5));
        CPPUNIT_ASSERT_EQUAL(0.0, estimate_quantile({}, 0.5));
    }

    void draw_nonempty_buckets_scales_to_width()
    {
        std::string const drawn = draw_histogram(m_found[1], 20);
        CPPUNIT_ASSERT(drawn.find("count 40, mean 0.2, p50 0.15") != std::string::npos);
        CPPUNIT_ASSERT(drawn.find(" 20 " + std::string(20, '#') + "\n") !=
                       std::string::npos);
        CPPUNIT_ASSERT(drawn.find(" 10 " + std::string(10, '#') + "\n") !=
                       std::string::npos);
    }

    void draw_empty_histogram_has_no_bars()
    {
        CPPUNIT_ASSERT(draw_histogram(m_found[0], 20).find('#') == std::string::npos);
        CPPUNIT_ASSERT(draw_histogram({}, 20).find('#') == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(histogram_test);

} // namespace
