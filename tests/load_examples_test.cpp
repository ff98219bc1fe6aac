/// \file Guards against example files that the programs cannot parse.

#include <cassiahub/codec.hpp>
#include <cassiahub/config.hpp>
#include <cassiahub/load/load_plan.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

using namespace cassiahub;

namespace
{

using parse_function =
    std::function<bool(std::string const &, std::vector<config::config_error> &)>;

class examples_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(examples_test);
    CPPUNIT_TEST(fleet_documents_parse_without_fault);
    CPPUNIT_TEST(fleet_documents_of_both_organisations_have_production_sizes);
    CPPUNIT_TEST(entry_settings_parse_without_fault);
    CPPUNIT_TEST(load_plans_parse_without_fault);
    CPPUNIT_TEST(job_bodies_refer_to_kinds_of_their_fleet);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::filesystem::path> find_files(std::string const & prefix,
                                                         std::string const & extension)
    {
        std::vector<std::filesystem::path> found;
        for (auto const & item : std::filesystem::recursive_directory_iterator(
                 CASSIAHUB_SOURCE_DIR "/examples"))
        {
            if (item.path().extension() == extension &&
                item.path().filename().string().starts_with(prefix))
            {
                found.push_back(item.path());
            }
        }
        return found;
    }

    static std::string read_text(std::filesystem::path const & path)
    {
        std::string text;
        CPPUNIT_ASSERT(!config::read_file(path, text));
        return text;
    }

    static void assert_all_parse(std::string const & prefix, std::size_t min_files,
                                 parse_function const & parse)
    {
        auto const files = find_files(prefix, ".ini");
        CPPUNIT_ASSERT(files.size() >= min_files);
        for (auto const & path : files)
        {
            std::vector<config::config_error> faults;
            bool const is_valid = parse(read_text(path), faults);
            CPPUNIT_ASSERT_MESSAGE(
                path.string() + (faults.empty() ? "" : ": " + to_string(faults.front())),
                is_valid);
        }
    }

    static config::fleet_configuration read_fleet(std::string const & name)
    {
        std::vector<config::config_error> faults;
        auto const fleet = config::parse_fleet_document(
            read_text(CASSIAHUB_SOURCE_DIR "/examples/" + name + "/fleet.ini"), faults);
        CPPUNIT_ASSERT(fleet);
        return *fleet;
    }

    static void assert_sizes(std::string const & name, std::uint32_t millicores)
    {
        auto const fleet = read_fleet(name);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.m_domains.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(50), fleet.m_upstreams.size());
        for (config::upstream const & upstream : fleet.m_upstreams)
        {
            CPPUNIT_ASSERT_EQUAL(8U, upstream.m_slots);
            CPPUNIT_ASSERT_EQUAL(64U, upstream.m_connections);
            CPPUNIT_ASSERT_EQUAL(millicores, upstream.m_capacity.m_millicores);
        }
    }

public:
    void fleet_documents_parse_without_fault()
    {
        assert_all_parse(
            "fleet", 3,
            [](auto const & text, auto & faults)
            { return config::parse_fleet_document(text, faults).has_value(); });
    }

    void fleet_documents_of_both_organisations_have_production_sizes()
    {
        assert_sizes("tausi", 16'000);
        assert_sizes("ente", 32'000);
    }

    void entry_settings_parse_without_fault()
    {
        assert_all_parse(
            "entry-", 22,
            [](auto const & text, auto & faults)
            { return config::parse_entry_settings(text, faults).has_value(); });
    }

    void load_plans_parse_without_fault()
    {
        assert_all_parse("load", 4,
                         [](auto const & text, auto & faults)
                         { return load::parse_load_plan(text, faults).has_value(); });
    }

    void job_bodies_refer_to_kinds_of_their_fleet()
    {
        auto const files = find_files("", ".json");
        CPPUNIT_ASSERT(files.size() >= 8);
        for (auto const & path : files)
        {
            job_spec spec;
            CPPUNIT_ASSERT_MESSAGE(path.string(),
                                   !codec::parse_job_body(read_text(path), spec));
            auto const fleet = read_fleet(path.parent_path().filename());
            auto const * const kind = config::find_kind(fleet, spec.m_kind);
            CPPUNIT_ASSERT_MESSAGE(path.string(), kind != nullptr);
            bool const once = spec.m_kind == "lodgement" || spec.m_kind == "cut-booking";
            CPPUNIT_ASSERT_EQUAL(once, !kind->m_repeatable);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(examples_test);

} // namespace
