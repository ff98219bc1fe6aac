/// \file Tests of the limits for callers in the settings of a gateway.

#include <cassiahub/config/gateway_settings.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace cassiahub::config;

namespace
{

// Guards against a gateway that starts with limits which its ordinary callers exceed.
class config_gateway_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_gateway_limits_test);
    CPPUNIT_TEST(settings_without_limits_use_defaults);
    CPPUNIT_TEST(limits_out_of_range_are_refused);
    CPPUNIT_TEST(limits_that_contradict_each_other_are_refused);
    CPPUNIT_TEST_SUITE_END();

    std::vector<config_error> m_faults;

    std::optional<gateway_settings> parse(std::string const & limits)
    {
        m_faults.clear();
        return parse_gateway_settings(
            "[gateway]\ninstance = g1\ndomain = north\n"
            "caller_address = 127.0.0.1:1\nready_address = 127.0.0.1:2\n"
            "metrics_address = 127.0.0.1:3\npeer_address = 127.0.0.1:4\n"
            "peer_secret = secret-of-the-test\nstore_address = 127.0.0.1:5\n" +
                limits,
            m_faults);
    }

public:
    void settings_without_limits_use_defaults()
    {
        auto const settings = parse("max_connections = 500\n");
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(500), settings->m_max_connections);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(64), settings->m_max_body_kib);
    }

    void limits_out_of_range_are_refused()
    {
        for (char const * const line :
             {"max_connections = 0", "max_body_kib = -1", "max_held_mib = many",
              "head_timeout = 3", "idle_timeout = 0s"})
        {
            CPPUNIT_ASSERT_MESSAGE(line, !parse(line + std::string("\n")));
            CPPUNIT_ASSERT(m_faults[0].m_error == config_errc::bad_value);
        }
    }

    void limits_that_contradict_each_other_are_refused()
    {
        for (char const * const line : {"max_body_kib = 4096", "max_held_mib = 1"})
        {
            CPPUNIT_ASSERT_MESSAGE(line, !parse(line + std::string("\n")));
            CPPUNIT_ASSERT(m_faults[0].m_error == config_errc::inconsistent_value);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_gateway_limits_test);

} // namespace
