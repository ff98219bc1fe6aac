/// \file Checks for every key of the fleet configuration document: allowed values, faults
/// and documentation.

#include <cassiahub/config.hpp>
#include <cassiahub/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <regex>
#include <string>

using namespace cassiahub::config;

namespace
{

/// Sections of a valid document, by section type.
std::map<std::string, std::string> const sections = {
    {"team", "[team.returns]\nkey_hash = sha256:5f1c0e7a92d34b68:"
             "8c6976e5b5410415bde908bd4dee15dfb167a9c873fc4bb8a81f6f2ab448a918\n"},
    {"domain", "[domain.nairobi]\nowner = returns\nregion = kenya\n"},
    {"kind", "[kind.levy]\nowner = returns\nurgency = 2\nshare = 4\nrepeatable = yes\n"},
    {"tenant", "[tenant.acme]\nowner = returns\n"},
    {"upstream", "[upstream.nbo-1]\nowner = returns\naddress = 127.0.0.1:9000\n"
                 "domain = nairobi\n"},
    {"dispatch", "[dispatch]\n"}};

// Guards against a key whose allowed values are not enforced, a fault that does not name
// its section, key and line, and a key or an error code that is missing in the
// documentation.
class configuration_keys_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_keys_test);
    CPPUNIT_TEST(check_malformed_value_of_each_key_reports_line_and_allowed_values);
    CPPUNIT_TEST(check_values_next_to_range_limits_are_refused);
    CPPUNIT_TEST(check_missing_required_key_is_reported);
    CPPUNIT_TEST(check_unresolved_reference_is_refused);
    CPPUNIT_TEST(check_long_section_names_stay_distinct);
    CPPUNIT_TEST(check_section_without_keys_is_checked);
    CPPUNIT_TEST(check_inconsistent_values_are_refused);
    CPPUNIT_TEST(documentation_of_each_key_has_a_table_row);
    CPPUNIT_TEST(documentation_of_each_error_code_exists);
    CPPUNIT_TEST_SUITE_END();

    std::vector<config_error> m_faults;

    /// Validates the document of \c sections with the section of \p type replaced by \p
    /// text, which comes last.
    bool check(std::string const & type, std::string const & text)
    {
        std::string document;
        for (auto const & [name, valid_text] : sections)
        {
            document += name == type ? "" : valid_text;
        }
        m_faults.clear();
        m_line_offset =
            static_cast<std::size_t>(std::count(document.begin(), document.end(), '\n'));
        return parse_fleet_document(document + text, m_faults).has_value();
    }

    std::size_t m_line_offset = 0;

    bool has_fault(config_errc error, key_documentation const & key, std::size_t line)
    {
        return std::any_of(m_faults.begin(), m_faults.end(),
                           [&](config_error const & fault)
                           {
                               return fault.m_error == error &&
                                      fault.m_key == key.m_key &&
                                      fault.m_line == m_line_offset + line &&
                                      fault.m_allowed == key.m_allowed &&
                                      fault.m_section.starts_with(key.m_section);
                           });
    }

    /// Sets \p key to \p value and asserts that the value is allowed when \p expected is
    /// true, and refused otherwise.
    void assert_value(key_documentation const & key, std::string const & value,
                      bool expected)
    {
        std::string const text =
            set_key(sections.at(std::string(key.m_section)), key.m_key, value);
        check(std::string(key.m_section), text);
        std::string const before =
            text.substr(0, text.find("\n" + std::string(key.m_key) + " = "));
        auto const line =
            static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n') + 2);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            std::string(key.m_section) + " " + std::string(key.m_key) + " = " + value,
            expected, !has_fault(config_errc::bad_value, key, line));
    }

public:
    void check_malformed_value_of_each_key_reports_line_and_allowed_values()
    {
        for (key_documentation const & key : list_keys())
        {
            assert_value(key, "!", false);
            CPPUNIT_ASSERT(std::all_of(m_faults.begin(), m_faults.end(),
                                       [&key](config_error const & fault)
                                       { return fault.m_key == key.m_key; }));
        }
    }

    void check_values_next_to_range_limits_are_refused()
    {
        std::regex const range(
            R"(^(\d+)(ms|s|min|)(?: \([^)]*\))? to (\d+)(ms|s|min|).*)");
        int checked = 0;
        for (key_documentation const & key : list_keys())
        {
            std::string const allowed(key.m_allowed);
            std::smatch match;
            if (!std::regex_match(allowed, match, range))
            {
                continue;
            }
            ++checked;
            long long const low = std::stoll(match[1]);
            long long const high = std::stoll(match[3]);
            assert_value(key, std::to_string(low) + match[2].str(), true);
            assert_value(key, std::to_string(high) + match[4].str(), true);
            assert_value(key, std::to_string(low - 1) + match[2].str(), false);
            assert_value(key, std::to_string(high + 1) + match[4].str(), false);
        }
        CPPUNIT_ASSERT(checked >= 15);
    }

    void check_missing_required_key_is_reported()
    {
        for (key_documentation const & key : list_keys())
        {
            std::string text = sections.at(std::string(key.m_section));
            std::size_t const start = text.find("\n" + std::string(key.m_key) + " = ");
            if (!key.m_required)
            {
                continue;
            }
            CPPUNIT_ASSERT(start != std::string::npos);
            text.erase(start, text.find('\n', start + 1) - start);
            CPPUNIT_ASSERT(!check(std::string(key.m_section), text));
            CPPUNIT_ASSERT(has_fault(config_errc::missing_key, key, 1));
        }
    }

    void check_unresolved_reference_is_refused()
    {
        for (key_documentation const & key : list_keys())
        {
            if (key.m_key != "owner" && key.m_key != "offered_to" &&
                key.m_key != "domain")
            {
                continue;
            }
            CPPUNIT_ASSERT(!check(
                std::string(key.m_section),
                set_key(sections.at(std::string(key.m_section)), key.m_key, "nothing")));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_faults.size());
            CPPUNIT_ASSERT(m_faults[0].m_error == config_errc::unknown_reference);
        }
    }

    void check_long_section_names_stay_distinct()
    {
        std::string const name(63, 'a');
        std::string const rest = "]\nowner = returns\n";
        CPPUNIT_ASSERT(check("tenant", "[tenant." + name + "b" + rest + "[tenant." +
                                           name + "c" + rest));
        CPPUNIT_ASSERT(!check("tenant", "[tenant." + name + "bb" + rest));
    }

    void check_section_without_keys_is_checked()
    {
        CPPUNIT_ASSERT(!check("tenant", "[tenant.acme]\n"));
        CPPUNIT_ASSERT(m_faults[0].m_error == config_errc::missing_key);
        CPPUNIT_ASSERT(!check("tenant", "[colour]\n"));
        CPPUNIT_ASSERT(m_faults[0].m_error == config_errc::unknown_section);
        CPPUNIT_ASSERT(!check("", "[tenant.acme]\n"));
        CPPUNIT_ASSERT(m_faults[0].m_error == config_errc::duplicate_section);
    }

    void check_inconsistent_values_are_refused()
    {
        std::string kinds;
        for (int index = 0; index < 11; ++index)
        {
            kinds += "[kind.k" + std::to_string(index) +
                     "]\nowner = returns\nurgency = 1\nshare = 1000\nrepeatable = no\n";
        }
        CPPUNIT_ASSERT(!check("kind", kinds));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_faults.size());
        CPPUNIT_ASSERT(m_faults[0].m_error == config_errc::inconsistent_value);
        CPPUNIT_ASSERT_EQUAL(std::string("kind.k10"), m_faults[0].m_section);
        CPPUNIT_ASSERT(!check("upstream", sections.at("upstream") + "slots = 65\n"));
        CPPUNIT_ASSERT(m_faults[0].m_error == config_errc::inconsistent_value);
        CPPUNIT_ASSERT(check("upstream",
                             sections.at("upstream") + "slots = 65\nconnections = 65\n"));
    }

    void documentation_of_each_key_has_a_table_row()
    {
        std::string page;
        CPPUNIT_ASSERT(!read_file(CASSIAHUB_SOURCE_DIR "/docs/configuration.md", page));
        for (key_documentation const & key : list_keys())
        {
            std::string const heading = "### [" + std::string(key.m_section);
            std::size_t const start = page.find(heading);
            CPPUNIT_ASSERT_MESSAGE(heading, start != std::string::npos);
            std::string const part = page.substr(start, page.find("\n##", start) - start);
            std::string const cell = "\n| `" + std::string(key.m_key) + "` |";
            std::size_t const row = part.find(cell);
            CPPUNIT_ASSERT_MESSAGE(heading + cell, row != std::string::npos);
            std::string const line = part.substr(row, part.find('\n', row + 1) - row);
            CPPUNIT_ASSERT_MESSAGE(line, line.find("| " + std::string(key.m_allowed) +
                                                   " |") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(
                line, line.find(key.m_required ? "| required |"
                                               : "| " + std::string(key.m_default)) !=
                          std::string::npos);
        }
    }

    void documentation_of_each_error_code_exists()
    {
        std::string page;
        CPPUNIT_ASSERT(!read_file(CASSIAHUB_SOURCE_DIR "/docs/OPERATIONS.md", page));
        for (std::error_category const * category :
             {&config_category(), &cassiahub::job_category()})
        {
            int value = 1;
            for (; category->message(value) != "unknown_error"; ++value)
            {
                std::string const code = "`" + category->message(value) + "`";
                CPPUNIT_ASSERT_MESSAGE(code, page.find(code) != std::string::npos);
            }
            CPPUNIT_ASSERT(value > 20);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_keys_test);

} // namespace
