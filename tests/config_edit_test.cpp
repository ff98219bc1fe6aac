/// \file Checks of section edits and team keys, without a store.

#include <cassiahub/config.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace cassiahub::config;

namespace
{

constexpr char const * salt = "5f1c0e7a92d34b68";
constexpr char const * returns_key = "key-of-team-returns";
constexpr char const * cutting_key = "key-of-team-cutting";
constexpr char const * platform_key = "key-of-team-platform";

std::string team_text(std::string const & name, char const * key)
{
    return "[team." + name + "]\nkey_hash = " + hash_team_key(key, salt) + "\n";
}

// Guards against edits of sections of another team, lost updates, and accepted edits that
// make the document invalid.
class section_edit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(section_edit_test);
    CPPUNIT_TEST(edit_own_section_is_accepted);
    CPPUNIT_TEST(edit_wrong_key_or_team_is_not_authenticated);
    CPPUNIT_TEST(edit_section_of_other_team_is_not_owner);
    CPPUNIT_TEST(edit_offered_section_is_accepted_from_offered_team_only);
    CPPUNIT_TEST(edit_old_version_returns_current_version_and_text);
    CPPUNIT_TEST(edit_without_version_is_refused);
    CPPUNIT_TEST(edit_two_sections_in_one_text_is_refused);
    CPPUNIT_TEST(edit_text_that_is_not_utf8_reports_line);
    CPPUNIT_TEST(edit_bad_value_reports_line_inside_section);
    CPPUNIT_TEST(add_duplicate_address_is_refused);
    CPPUNIT_TEST(delete_referenced_section_reports_referring_section);
    CPPUNIT_TEST(delete_section_succeeds_only_if_it_exists);
    CPPUNIT_TEST(edit_shards_of_domain_is_refused);
    CPPUNIT_TEST(edit_own_team_section_belongs_to_platform_by_default);
    CPPUNIT_TEST(edit_team_that_owns_itself_may_change_its_key);
    CPPUNIT_TEST(add_team_by_other_team_is_not_owner);
    CPPUNIT_TEST(delete_administrator_team_is_refused);
    CPPUNIT_TEST(edit_too_large_text_is_refused);
    CPPUNIT_TEST(set_key_any_section_changes_only_that_key);
    CPPUNIT_TEST_SUITE_END();

    std::map<std::string, std::string> m_texts;

    edit_check check(section_edit const & edit)
    {
        std::vector<stored_section> states;
        for (auto const & [name, text] : m_texts)
        {
            states.push_back({name, 7, text});
        }
        return check_edit(states, edit);
    }

    void assert_refused(section_edit const & edit, config_errc expected)
    {
        CPPUNIT_ASSERT_EQUAL(make_error_code(expected).message(),
                             check(edit).m_error.message());
    }

    void assert_accepted(section_edit const & edit)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check(edit).m_error
                                                ? check(edit).m_error.message()
                                                : std::string());
    }

    static section_edit levy_edit(std::string const & lines)
    {
        return {"returns", returns_key, "kind.levy", 7,
                "[kind.levy]\nurgency = 2\nshare = 40\nrepeatable = yes\n" + lines};
    }

    static std::string upstream_text(std::string const & name, std::string const & owner,
                                     std::string const & port)
    {
        return "[upstream." + name + "]\nowner = " + owner +
               "\naddress = 127.0.0.1:" + port + "\ndomain = nairobi\n";
    }

public:
    void setUp() override
    {
        m_texts = {
            {"team.platform", team_text("platform", platform_key)},
            {"team.returns", team_text("returns", returns_key)},
            {"team.cutting", team_text("cutting", cutting_key)},
            {"domain.nairobi", "[domain.nairobi]\nowner = platform\nregion = kenya\n"},
            {"kind.levy", levy_edit("owner = returns\n").m_text.value()},
            {"upstream.nbo-1", upstream_text("nbo-1", "returns", "9000")}};
    }

    void edit_own_section_is_accepted()
    {
        assert_accepted(levy_edit("owner = returns\nqueue_limit = 5\n"));
    }

    void edit_wrong_key_or_team_is_not_authenticated()
    {
        section_edit edit = levy_edit("owner = returns\n");
        edit.m_team_key = cutting_key;
        assert_refused(edit, config_errc::not_authenticated);
        edit.m_team_key = "";
        assert_refused(edit, config_errc::not_authenticated);
        edit.m_team = "nobody";
        assert_refused(edit, config_errc::not_authenticated);
    }

    void edit_section_of_other_team_is_not_owner()
    {
        // First the owner gives its section to another team. Then another team edits the
        // section, makes itself the owner, and deletes the section.
        assert_refused(levy_edit("owner = cutting\n"), config_errc::not_owner);
        for (std::string const owner : {"returns", "cutting", ""})
        {
            section_edit edit = levy_edit("owner = " + owner + "\n");
            edit.m_team = "cutting";
            edit.m_team_key = cutting_key;
            if (owner.empty())
            {
                edit.m_text.reset();
            }
            assert_refused(edit, config_errc::not_owner);
        }
    }

    void edit_offered_section_is_accepted_from_offered_team_only()
    {
        m_texts["kind.levy"] =
            levy_edit("owner = returns\noffered_to = cutting\n").m_text.value();
        section_edit edit = levy_edit("owner = cutting\n");
        edit.m_team = "cutting";
        edit.m_team_key = cutting_key;
        assert_accepted(edit);
        edit.m_text.reset();
        assert_refused(edit, config_errc::not_owner);
        section_edit other = levy_edit("owner = platform\n");
        other.m_team = "platform";
        other.m_team_key = platform_key;
        assert_refused(other, config_errc::not_owner);
    }

    void edit_old_version_returns_current_version_and_text()
    {
        section_edit edit = levy_edit("owner = returns\nqueue_limit = 5\n");
        edit.m_expected_version = 6;
        assert_refused(edit, config_errc::version_conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), check(edit).m_version);
        CPPUNIT_ASSERT_EQUAL(m_texts["kind.levy"], check(edit).m_text);
        edit.m_expected_version = 0;
        assert_refused(edit, config_errc::version_conflict);
    }

    void edit_without_version_is_refused()
    {
        section_edit edit = levy_edit("owner = returns\n");
        edit.m_expected_version.reset();
        assert_refused(edit, config_errc::precondition_required);
    }

    void edit_two_sections_in_one_text_is_refused()
    {
        std::string const second = "owner = returns\n[tenant.x]\n";
        assert_refused(levy_edit(second + "owner = returns\n"),
                       config_errc::section_mismatch);
        assert_refused(levy_edit(second), config_errc::section_mismatch);
    }

    void edit_text_that_is_not_utf8_reports_line()
    {
        for (std::string const & bytes : {std::string("\xe9"), std::string(1, '\0')})
        {
            section_edit const edit = levy_edit("owner = returns\n; " + bytes + "\n");
            assert_refused(edit, config_errc::invalid_document);
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), check(edit).m_faults[0].m_line);
        }
        assert_accepted(levy_edit("owner = returns\n; \xc3\xa9\n"));
    }

    void edit_bad_value_reports_line_inside_section()
    {
        section_edit const edit = levy_edit("owner = returns\nqueue_limit = 0\n");
        assert_refused(edit, config_errc::invalid_document);
        edit_check const result = check(edit);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.m_faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("line 6, [kind.levy] queue_limit: bad_value, "
                                         "allowed: 1 to 1000000 tasks"),
                             to_string(result.m_faults[0]));
    }

    void add_duplicate_address_is_refused()
    {
        section_edit edit{"cutting", cutting_key, "upstream.nbo-2", 0,
                          upstream_text("nbo-2", "cutting", "9000")};
        assert_refused(edit, config_errc::invalid_document);
        CPPUNIT_ASSERT(check(edit).m_faults[0].m_error == config_errc::duplicate_address);
        edit.m_text = upstream_text("nbo-2", "cutting", "9001");
        assert_accepted(edit);
    }

    void delete_referenced_section_reports_referring_section()
    {
        section_edit const edit{"platform", platform_key, "domain.nairobi", 7, {}};
        assert_refused(edit, config_errc::still_referenced);
        CPPUNIT_ASSERT_EQUAL(std::string("upstream.nbo-1"),
                             check(edit).m_faults[0].m_section);
        assert_refused({"platform", platform_key, "team.returns", 7, {}},
                       config_errc::still_referenced);
    }

    void delete_section_succeeds_only_if_it_exists()
    {
        assert_accepted({"returns", returns_key, "kind.levy", 7, {}});
        assert_refused({"returns", returns_key, "kind.none", 0, {}},
                       config_errc::section_not_found);
    }

    void edit_shards_of_domain_is_refused()
    {
        section_edit edit{"platform", platform_key, "domain.nairobi", 7,
                          "[domain.nairobi]\nowner = platform\nregion = kenya\n"
                          "shards = 9\n"};
        assert_refused(edit, config_errc::invalid_document);
        CPPUNIT_ASSERT(check(edit).m_faults[0].m_error == config_errc::fixed_value);
        edit.m_text = "[domain.nairobi]\nowner = platform\nregion = kenya\nshards = 8\n";
        assert_accepted(edit);
    }

    void edit_own_team_section_belongs_to_platform_by_default()
    {
        std::string const text = team_text("returns", "another-key-of-returns");
        assert_refused({"returns", returns_key, "team.returns", 7, text},
                       config_errc::not_owner);
        assert_accepted({"platform", platform_key, "team.returns", 7, text});
        assert_accepted({"platform", platform_key, "dispatch", 0, "[dispatch]\n"});
        assert_refused({"returns", returns_key, "dispatch", 0, "[dispatch]\n"},
                       config_errc::not_owner);
    }

    void edit_team_that_owns_itself_may_change_its_key()
    {
        std::string const text = team_text("returns", "another-key-of-returns");
        section_edit edit{"platform", platform_key, "team.returns", 7,
                          text + "owner = cutting\n"};
        assert_refused(edit, config_errc::not_owner);
        edit.m_text = text + "owner = returns\n";
        assert_accepted(edit);
        m_texts["team.returns"] = team_text("returns", returns_key) + "owner = returns\n";
        assert_accepted({"returns", returns_key, "team.returns", 7, edit.m_text});
        assert_accepted(edit);
    }

    void add_team_by_other_team_is_not_owner()
    {
        std::string const text = team_text("new", "key-of-a-new-team");
        assert_refused(
            {"returns", returns_key, "team.new", 0, text + "owner = returns\n"},
            config_errc::not_owner);
        assert_accepted({"platform", platform_key, "team.new", 0, text});
    }

    void delete_administrator_team_is_refused()
    {
        m_texts["domain.nairobi"] = "[domain.nairobi]\nowner = returns\nregion = kenya\n";
        assert_refused({"platform", platform_key, "team.platform", 7, {}},
                       config_errc::still_referenced);
    }

    void edit_too_large_text_is_refused()
    {
        std::string const comments(max_section_bytes, ';');
        assert_refused(levy_edit("owner = returns\n" + comments),
                       config_errc::text_too_large);
    }

    void set_key_any_section_changes_only_that_key()
    {
        bool const holds = rc::check(
            "set_key keeps the other keys",
            []
            {
                auto const count = *rc::gen::inRange(1, 8);
                auto const changed = *rc::gen::inRange(0, 9);
                std::string text = "; comment\n[upstream.x]\n";
                for (int index = 0; index < count; ++index)
                {
                    text += "k" + std::to_string(index) + " = old\n; note\n";
                }
                std::string const key = "k" + std::to_string(changed);
                std::vector<config_error> faults;
                ini_document const after = parse_ini(set_key(text, key, "new"), faults);
                RC_ASSERT(faults.empty() && after.m_sections.size() == 1U);
                for (int index = 0; index < count; ++index)
                {
                    std::string const other = "k" + std::to_string(index);
                    RC_ASSERT(find_entry(after.m_sections[0], other)->m_value ==
                              (other == key ? "new" : "old"));
                }
                RC_ASSERT(find_entry(after.m_sections[0], key)->m_value == "new");
            });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(section_edit_test);

// Guards against a hash that matches another key, and against equal keys with equal
// hashes although the salts differ.
class team_key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(team_key_test);
    CPPUNIT_TEST(verify_key_accepts_only_the_hashed_key);
    CPPUNIT_TEST(hash_with_other_salt_differs);
    CPPUNIT_TEST(parse_unsalted_or_malformed_hash_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void verify_key_accepts_only_the_hashed_key()
    {
        std::string const hash = hash_team_key(returns_key, salt);
        CPPUNIT_ASSERT(verify_team_key(hash, returns_key));
        CPPUNIT_ASSERT(!verify_team_key(hash, cutting_key));
        CPPUNIT_ASSERT(!verify_team_key(hash, ""));
        CPPUNIT_ASSERT(!verify_team_key("", returns_key));
    }

    void hash_with_other_salt_differs()
    {
        CPPUNIT_ASSERT(hash_team_key(returns_key, "00000000000000aa") !=
                       hash_team_key(returns_key, "00000000000000ab"));
    }

    void parse_unsalted_or_malformed_hash_is_refused()
    {
        std::string const digest(64, 'a');
        CPPUNIT_ASSERT(is_key_hash("sha256:" + std::string(salt) + ":" + digest));
        CPPUNIT_ASSERT(!is_key_hash("sha256:" + digest));
        CPPUNIT_ASSERT(!is_key_hash("sha256:abc:" + digest));
        CPPUNIT_ASSERT(!is_key_hash("sha256:" + std::string(salt) + ":" + digest + "a"));
        CPPUNIT_ASSERT(!is_key_hash("sha1:" + std::string(salt) + ":" + digest));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(team_key_test);

} // namespace
