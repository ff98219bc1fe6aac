/// \file Edits of the fleet configuration document against a fake platform service that
/// can lose responses, fail, and commit other edits in between.

#include <cassiahub/config.hpp>
#include <cassiahub/http.hpp>
#include <cassiahub/store.hpp>

#include <civetweb.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

using namespace cassiahub;

namespace
{

constexpr char const * team_key = "key-of-team-platform";

/// State of the fake platform service.
struct fake_table
{
    std::mutex m_mutex;
    std::uint64_t m_sequence = 0;
    std::map<std::string, decision::table_row> m_rows; ///< by row name
    std::map<std::string, std::uint64_t>
        m_deleted; ///< version of the deletion, by row name
    std::map<std::string, codec::table_rows> m_writes; ///< committed, by identifier
    int m_commits = 0;
    int m_responses_to_lose = 0; ///< next writes that commit but respond with 500
    std::atomic<bool> m_down = false;
    /// Called once, before the next write is checked, without the lock held.
    std::function<void()> m_before_write;
};

http::response serve_batch(fake_table & table, http::request const & received)
{
    codec::table_batch batch;
    CPPUNIT_ASSERT(codec::parse_table_batch(received.m_body, batch));
    if (table.m_before_write)
    {
        std::exchange(table.m_before_write, nullptr)();
    }
    std::lock_guard<std::mutex> const lock(table.m_mutex);
    codec::table_rows rows;
    bool versions_match = true;
    for (decision::row_write const & write : batch.m_rows)
    {
        auto const found = table.m_rows.find(write.m_name);
        std::uint64_t const version =
            found == table.m_rows.end() ? 0 : found->second.m_version;
        versions_match =
            versions_match && write.m_expected_version.value_or(version) == version;
    }
    if (!versions_match)
    {
        return {412, "application/json", {}, codec::format_table_rows(rows)};
    }
    ++table.m_sequence;
    ++table.m_commits;
    for (decision::row_write const & write : batch.m_rows)
    {
        if (write.m_value)
        {
            table.m_rows[write.m_name] = {write.m_name, table.m_sequence, *write.m_value};
            rows.m_rows.push_back(table.m_rows[write.m_name]);
        }
        else
        {
            table.m_rows.erase(write.m_name);
            table.m_deleted[write.m_name] = table.m_sequence;
        }
    }
    rows.m_sequence = table.m_sequence;
    table.m_writes[batch.m_write_id] = rows;
    if (table.m_responses_to_lose > 0)
    {
        --table.m_responses_to_lose;
        return {500, "text/plain", {}, "lost\n"};
    }
    return {200, "application/json", {}, codec::format_table_rows(rows)};
}

http::response serve_read(fake_table & table, http::request const & received)
{
    std::string const prefix = http::query_value(received.m_query, "prefix");
    std::uint64_t const after = std::stoull(http::query_value(received.m_query, "after"));
    std::lock_guard<std::mutex> const lock(table.m_mutex);
    codec::table_rows rows;
    rows.m_sequence = table.m_sequence;
    for (auto const & [name, row] : table.m_rows)
    {
        if (name.starts_with(prefix) && row.m_version > after)
        {
            rows.m_rows.push_back(row);
        }
    }
    for (auto const & [name, version] : table.m_deleted)
    {
        if (name.starts_with(prefix) && version > after)
        {
            rows.m_deleted.push_back(name);
        }
    }
    return {200, "application/json", {}, codec::format_table_rows(rows)};
}

http::response serve(fake_table & table, http::request const & received)
{
    if (table.m_down)
    {
        return {503, "text/plain", {}, "down\n"};
    }
    if (received.m_path == "/table:batch")
    {
        return serve_batch(table, received);
    }
    if (received.m_path == "/table")
    {
        return serve_read(table, received);
    }
    // POST /writes/{id}:resolve
    std::string const id = received.m_path.substr(8, received.m_path.size() - 16);
    std::lock_guard<std::mutex> const lock(table.m_mutex);
    auto const found = table.m_writes.find(id);
    return found == table.m_writes.end()
               ? http::response{404, "text/plain", {}, "not committed\n"}
               : http::response{200,
                                "application/json",
                                {},
                                codec::format_table_rows(found->second)};
}

// Guards against an edit that is written twice or reported wrongly when the store loses a
// response, fails, or commits another edit between the check and the write.
class edit_fault_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edit_fault_test);
    CPPUNIT_TEST(edit_with_lost_response_is_written_once);
    CPPUNIT_TEST(history_with_time_out_of_range_leaves_out_that_edit);
    CPPUNIT_TEST(edit_store_down_is_refused_without_a_write);
    CPPUNIT_TEST(edit_store_down_after_the_write_has_unknown_outcome);
    CPPUNIT_TEST(edit_concurrent_with_other_section_is_checked_again);
    CPPUNIT_TEST(edit_concurrent_with_same_section_returns_current_text);
    CPPUNIT_TEST(edit_with_conflict_on_each_try_is_contended);
    CPPUNIT_TEST(delete_section_increments_document_version);
    CPPUNIT_TEST(merge_older_rows_changes_nothing);
    CPPUNIT_TEST(init_second_document_conflicts);
    CPPUNIT_TEST_SUITE_END();

    fake_table * m_table = nullptr;
    std::unique_ptr<fake_table> m_owned_table;
    http::server m_server;
    store::configuration_session m_session;

    static std::string kind_text(int share)
    {
        return fmt::format("[kind.levy]\nowner = platform\nurgency = 2\nshare = {}\n"
                           "repeatable = yes\n",
                           share);
    }

    store::edit_result edit(store::configuration_session & session,
                            std::string const & section, std::uint64_t version,
                            std::optional<std::string> text)
    {
        return store::apply_edit(
            session, {"platform", team_key, section, version, std::move(text)}, {});
    }

    store::configuration_session make_session() const
    {
        store::configuration_session session;
        session.m_client.m_address = m_session.m_client.m_address;
        session.m_random = random_source(m_table->m_sequence);
        return session;
    }

    void assert_error(config::config_errc expected, store::edit_result const & result)
    {
        CPPUNIT_ASSERT_EQUAL(make_error_code(expected).message(),
                             result.m_check.m_error.message());
    }

    std::error_code write_document()
    {
        std::string const team = "[team.platform]\nkey_hash = " +
                                 config::hash_team_key(team_key, "5f1c0e7a92d34b68") +
                                 "\n";
        std::string const kind = kind_text(10);
        std::vector<config::stored_section> const sections{{"kind.levy", 0, kind},
                                                           {"team.platform", 0, team}};
        return store::write_first_document(m_session, sections, {});
    }

public:
    void setUp() override
    {
        mg_init_library(MG_FEATURES_DEFAULT);
        m_owned_table = std::make_unique<fake_table>();
        m_table = m_owned_table.get();
        std::error_code error;
        // Below the ephemeral port range, so that no client socket uses the port.
        for (int port = 21'000; port < 21'100 && !m_server; ++port)
        {
            m_session = {};
            m_session.m_client.m_address = fmt::format("127.0.0.1:{}", port);
            m_server = http::start_server(
                {m_session.m_client.m_address, 8},
                [this](http::request const & received)
                { return serve(*m_table, received); },
                error);
        }
        CPPUNIT_ASSERT(m_server);
        CPPUNIT_ASSERT(!write_document());
    }

    void tearDown() override
    {
        m_session = {};
        m_server.reset();
        mg_exit_library();
    }

    void edit_with_lost_response_is_written_once()
    {
        m_table->m_responses_to_lose = 1;
        store::edit_result const result = edit(m_session, "kind.levy", 1, kind_text(20));
        CPPUNIT_ASSERT(!result.m_check.m_error);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), result.m_version);
        CPPUNIT_ASSERT_EQUAL(2, m_table->m_commits);
        std::vector<store::history_entry> history;
        CPPUNIT_ASSERT(!store::read_history(m_session.m_client, history));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), history.size());
        CPPUNIT_ASSERT_EQUAL(std::string("kind.levy"), history[0].m_section);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), history[0].m_version);
    }

    // Guards against one row whose time cannot be formatted, for which no operator gets
    // the history.
    void history_with_time_out_of_range_leaves_out_that_edit()
    {
        for (char const * const time : {"-1", "9000000000000000000"})
        {
            std::string const name = "config-history/99";
            m_table->m_rows[name] = {name, 1, fmt::format("9 {} put t s", time)};
            std::vector<store::history_entry> history;
            CPPUNIT_ASSERT(!store::read_history(m_session.m_client, history));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(time, std::size_t(1), history.size());
        }
    }

    void edit_store_down_is_refused_without_a_write()
    {
        m_table->m_down = true;
        assert_error(config::config_errc::store_unavailable,
                     edit(m_session, "kind.levy", 1, kind_text(20)));
        CPPUNIT_ASSERT_EQUAL(1, m_table->m_commits);
    }

    void edit_store_down_after_the_write_has_unknown_outcome()
    {
        m_table->m_responses_to_lose = 1;
        m_table->m_before_write = [this]
        {
            m_table->m_down = true;
        };
        assert_error(config::config_errc::edit_outcome_unknown,
                     edit(m_session, "kind.levy", 1, kind_text(20)));
    }

    void edit_concurrent_with_other_section_is_checked_again()
    {
        std::string const tenant = "[tenant.acme]\nowner = platform\n";
        m_table->m_before_write = [&]
        {
            auto other = make_session();
            CPPUNIT_ASSERT(!edit(other, "tenant.acme", 0, tenant).m_check.m_error);
        };
        store::edit_result const result = edit(m_session, "kind.levy", 1, kind_text(20));
        CPPUNIT_ASSERT(!result.m_check.m_error);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), result.m_version);
    }

    void edit_concurrent_with_same_section_returns_current_text()
    {
        m_table->m_before_write = [&]
        {
            auto other = make_session();
            CPPUNIT_ASSERT(!edit(other, "kind.levy", 1, kind_text(30)).m_check.m_error);
        };
        store::edit_result const result = edit(m_session, "kind.levy", 1, kind_text(20));
        assert_error(config::config_errc::version_conflict, result);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), result.m_check.m_version);
        CPPUNIT_ASSERT_EQUAL(kind_text(30), result.m_check.m_text);
    }

    void edit_with_conflict_on_each_try_is_contended()
    {
        std::function<void()> const bump_document_version = [&]
        {
            std::lock_guard<std::mutex> const lock(m_table->m_mutex);
            auto & row = m_table->m_rows.at(std::string(store::version_row));
            row.m_version = ++m_table->m_sequence;
        };
        // Reinstalls itself, because serve_batch() clears the callback before the call.
        std::function<void()> bump_before_each_write = [&]
        {
            bump_document_version();
            m_table->m_before_write = bump_before_each_write;
        };
        m_table->m_before_write = bump_before_each_write;
        assert_error(config::config_errc::contended,
                     edit(m_session, "kind.levy", 1, kind_text(20)));
        CPPUNIT_ASSERT_EQUAL(1, m_table->m_commits);
    }

    void delete_section_increments_document_version()
    {
        CPPUNIT_ASSERT(!store::refresh(m_session));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             store::document_version(m_session.m_replica));
        CPPUNIT_ASSERT(!edit(m_session, "kind.levy", 1, std::nullopt).m_check.m_error);
        CPPUNIT_ASSERT(!store::refresh(m_session));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_session.m_replica.m_sections.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                             store::document_version(m_session.m_replica));
    }

    void merge_older_rows_changes_nothing()
    {
        CPPUNIT_ASSERT(!edit(m_session, "kind.levy", 1, kind_text(20)).m_check.m_error);
        CPPUNIT_ASSERT(!store::refresh(m_session));
        codec::table_rows older;
        older.m_sequence = 1;
        older.m_deleted = {"config/section/kind.levy"};
        CPPUNIT_ASSERT(!store::merge_sections(m_session.m_replica, older));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_session.m_replica.m_sections.size());
    }

    void init_second_document_conflicts()
    {
        CPPUNIT_ASSERT(write_document() == config::config_errc::version_conflict);
        CPPUNIT_ASSERT_EQUAL(1, m_table->m_commits);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edit_fault_test);

} // namespace
