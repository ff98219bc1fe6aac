/// \file Parsing and validation of the fleet configuration document.

#include <cassiahub/config.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace cassiahub::config;

namespace
{

constexpr char const * valid_document =
    "[team.returns]\n"
    "key_hash = sha256:5f1c0e7a92d34b68a1c7e0f3d5b29846:"
    "8c6976e5b5410415bde908bd4dee15dfb167a9c873fc4bb8a81f6f2ab448a918\n"
    "[domain.nairobi]\nowner = returns\nregion = kenya\n"
    "[kind.levy]\nowner = returns\nurgency = 2\nshare = 40\nrepeatable = yes\n"
    "[tenant.acme]\nowner = returns\n"
    "[upstream.nbo-1]\nowner = returns\naddress = 127.0.0.1:9000\ndomain = nairobi\n";

// Guards against accepting an invalid document, and against faults that do not name the
// section, key and line.
class fleet_document_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_document_test);
    CPPUNIT_TEST(parse_valid_document_returns_configuration);
    CPPUNIT_TEST(parse_unknown_key_names_section_and_line);
    CPPUNIT_TEST(parse_value_out_of_range_names_allowed_range);
    CPPUNIT_TEST(parse_missing_key_is_refused);
    CPPUNIT_TEST(parse_unknown_domain_reference_is_refused);
    CPPUNIT_TEST(parse_repeated_key_is_refused);
    CPPUNIT_TEST(parse_several_faults_reports_all);
    CPPUNIT_TEST_SUITE_END();

    std::vector<config_error> m_faults;

    std::optional<fleet_configuration> parse(std::string const & text)
    {
        return parse_fleet_document(text, m_faults);
    }

    void assert_single_fault(std::string const & text, config_errc expected)
    {
        CPPUNIT_ASSERT(!parse(text));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_faults.size());
        CPPUNIT_ASSERT(m_faults[0].m_error == expected);
    }

public:
    void setUp() override
    {
        m_faults.clear();
    }

    void parse_valid_document_returns_configuration()
    {
        auto const configuration = parse(valid_document);
        CPPUNIT_ASSERT(configuration);
        CPPUNIT_ASSERT(find_kind(*configuration, "levy")->m_repeatable);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9000"),
                             configuration->m_upstreams[0].m_address);
    }

    void parse_unknown_key_names_section_and_line()
    {
        assert_single_fault(std::string(valid_document) + "colour = red\n",
                            config_errc::unknown_key);
        CPPUNIT_ASSERT_EQUAL(std::string("upstream.nbo-1"), m_faults[0].m_section);
        CPPUNIT_ASSERT_EQUAL(std::size_t(17), m_faults[0].m_line);
        CPPUNIT_ASSERT(m_faults[0].m_allowed.starts_with("owner, offered_to, address,"));
    }

    void parse_value_out_of_range_names_allowed_range()
    {
        assert_single_fault(std::string(valid_document) + "slots = 0\n",
                            config_errc::bad_value);
        CPPUNIT_ASSERT_EQUAL(std::string("1 to 1024"), m_faults[0].m_allowed);
    }

    void parse_missing_key_is_refused()
    {
        assert_single_fault(
            std::string(valid_document) +
                "[kind.report]\nowner = returns\nurgency = 2\nshare = 1\n",
            config_errc::missing_key);
        CPPUNIT_ASSERT_EQUAL(std::string("repeatable"), m_faults[0].m_key);
    }

    void parse_unknown_domain_reference_is_refused()
    {
        assert_single_fault(std::string(valid_document) +
                                "[upstream.x]\nowner = returns\naddress = 127.0.0.1:1\n"
                                "domain = thika\n",
                            config_errc::unknown_reference);
    }

    void parse_repeated_key_is_refused()
    {
        assert_single_fault(std::string(valid_document) + "domain = nairobi\n",
                            config_errc::duplicate_key);
    }

    void parse_several_faults_reports_all()
    {
        CPPUNIT_ASSERT(!parse(std::string(valid_document) + "slots = x\nracks = 1\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_faults.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_document_test);

} // namespace
