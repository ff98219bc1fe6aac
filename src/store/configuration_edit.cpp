#include <cassiahub/store/configuration_edit.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <thread>
#include <utility>

namespace cassiahub::store
{

namespace internal
{

/// Differs from configuration_row_prefix, so that instances do not read the history as
/// part of their configuration.
constexpr std::string_view history_row_prefix = "config-history/";
/// End of the year 9999, the last that RFC 3339 can write; seconds since 1970.
constexpr std::int64_t max_history_time_s = 253'402'300'799;

/// Attempts to write an edit that conflicts only on the version row. Each conflict means
/// that another edit was accepted, so only a burst of edits uses up all attempts.
constexpr int max_attempts = 16;
/// Increase of the maximum backoff with each attempt, which spreads out a burst of edits.
/// A write that the platform syncs to disk takes several ms.
constexpr std::int64_t backoff_step_ms = 10;
/// Attempts of set_section_key(), which reads the version of the section again each time.
constexpr int max_key_attempts = 8;

/// \returns 0 when \p text is not a number.
std::uint64_t to_number(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// \returns the name of the store row that holds section \p name.
std::string section_row_name(std::string_view name)
{
    return std::string(section_row_prefix) + std::string(name);
}

/// \returns the writes of the version row and of the history row that accompany an edit.
std::vector<decision::row_write>
version_and_history_rows(configuration_replica const & replica, std::string_view action,
                         std::string_view team, std::string_view section,
                         std::chrono::system_clock::time_point now)
{
    std::uint64_t const edit = to_number(replica.m_version_row.m_value) + 1;
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    // The history row needs no expected version: the batch is atomic, and the version row
    // has one.
    return {
        {std::string(version_row), replica.m_version_row.m_version, fmt::to_string(edit)},
        {fmt::format("{}{:02}", history_row_prefix, edit % history_length), std::nullopt,
         fmt::format("{} {} {} {} {}", edit, seconds, action, team, section)}};
}

decision::write_store make_write(configuration_session & session,
                                 config::section_edit const & edit,
                                 std::chrono::system_clock::time_point now)
{
    decision::write_store write;
    write.m_write_id =
        fmt::format("config-{:016x}{:016x}", session.m_random(), session.m_random());
    write.m_rows =
        version_and_history_rows(session.m_replica, edit.m_text ? "put" : "delete",
                                 edit.m_team, edit.m_section, now);
    write.m_rows.push_back(
        {section_row_name(edit.m_section), edit.m_expected_version, edit.m_text});
    return write;
}

/// \returns the version of the version row in \p rows; 0 when it is missing.
std::uint64_t written_version(std::span<decision::table_row const> rows)
{
    auto const found = std::find_if(rows.begin(), rows.end(),
                                    [](decision::table_row const & row)
                                    { return row.m_name == version_row; });
    return found == rows.end() ? 0 : found->m_version;
}

void back_off(int attempt, random_source & random)
{
    std::uniform_int_distribution<std::int64_t> distribution(0, backoff_step_ms *
                                                                    (attempt + 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(distribution(random)));
}

/// Parses "<edit> <seconds> <action> <team> <section>".
bool parse_history_row(decision::table_row const & row, history_entry & entry)
{
    std::istringstream stream(row.m_value);
    stream >> entry.m_edit_number >> entry.m_time_s >> entry.m_action >> entry.m_team >>
        entry.m_section;
    entry.m_version = row.m_version;
    return !stream.fail() && entry.m_time_s >= 0 && entry.m_time_s <= max_history_time_s;
}

} // namespace internal

std::error_code refresh(configuration_session & session)
{
    codec::table_rows rows;
    if (read_rows(session.m_client, configuration_row_prefix,
                  session.m_replica.m_sequence, rows))
    {
        return config::config_errc::store_unavailable;
    }
    merge_sections(session.m_replica, rows);
    return {};
}

std::vector<config::stored_section> list_sections(configuration_replica const & replica)
{
    std::vector<config::stored_section> sections;
    sections.reserve(replica.m_sections.size());
    for (auto const & [name, row] : replica.m_sections)
    {
        sections.push_back({std::string_view(name).substr(section_row_prefix.size()),
                            row.m_version, row.m_value});
    }
    return sections;
}

edit_result apply_edit(configuration_session & session, config::section_edit const & edit,
                       std::chrono::system_clock::time_point now)
{
    edit_result result;
    for (int attempt = 0; attempt < internal::max_attempts; ++attempt)
    {
        if (std::error_code const error = refresh(session))
        {
            result.m_check.m_error = error;
            return result;
        }
        result.m_check = config::check_edit(list_sections(session.m_replica), edit);
        if (result.m_check.m_error)
        {
            return result;
        }
        std::vector<decision::table_row> rows;
        switch (
            write_rows(session.m_client, internal::make_write(session, edit, now), rows))
        {
        case decision::store_outcome::done:
            result.m_version = internal::written_version(rows);
            return result;
        case decision::store_outcome::unavailable:
            result.m_check.m_error = config::config_errc::edit_outcome_unknown;
            return result;
        case decision::store_outcome::conflict:
            // If the section itself has changed, the next check reports the conflict.
            internal::back_off(attempt, session.m_random);
            break;
        }
    }
    result.m_check.m_error = config::config_errc::contended;
    return result;
}

edit_result set_section_key(configuration_session & session, config::section_edit edit,
                            std::string_view key, std::string_view value,
                            std::chrono::system_clock::time_point now)
{
    edit_result result;
    for (int attempt = 0; attempt < internal::max_key_attempts; ++attempt)
    {
        if (std::error_code const error = refresh(session))
        {
            result.m_check.m_error = error;
            return result;
        }
        auto const sections = list_sections(session.m_replica);
        config::stored_section const * const stored =
            config::find_stored_section(sections, edit.m_section);
        if (stored == nullptr)
        {
            result.m_check.m_error = config::config_errc::section_not_found;
            return result;
        }
        edit.m_expected_version = stored->m_version;
        edit.m_text = config::set_key(stored->m_text, key, value);
        result = apply_edit(session, edit, now);
        if (result.m_check.m_error != config::config_errc::version_conflict)
        {
            return result;
        }
    }
    return result;
}

std::error_code write_first_document(configuration_session & session,
                                     std::span<config::stored_section const> sections,
                                     std::chrono::system_clock::time_point now)
{
    decision::write_store write;
    // Must be unique for each call: the platform replies to a repeated identifier with
    // the result of the first write.
    write.m_write_id =
        fmt::format("config-{:016x}{:016x}", session.m_random(), session.m_random());
    write.m_rows = internal::version_and_history_rows(
        {}, "init", config::administrator_team, "*", now);
    for (config::stored_section const & section : sections)
    {
        write.m_rows.push_back(
            {internal::section_row_name(section.m_name), 0, std::string(section.m_text)});
    }
    std::vector<decision::table_row> rows;
    switch (write_rows(session.m_client, write, rows))
    {
    case decision::store_outcome::done:
        return {};
    case decision::store_outcome::conflict:
        return config::config_errc::version_conflict;
    case decision::store_outcome::unavailable:
        break;
    }
    return config::config_errc::edit_outcome_unknown;
}

std::error_code read_history(client & store_client, std::vector<history_entry> & history)
{
    codec::table_rows rows;
    if (read_rows(store_client, internal::history_row_prefix, 0, rows))
    {
        return config::config_errc::store_unavailable;
    }
    for (decision::table_row const & row : rows.m_rows)
    {
        history_entry entry;
        if (internal::parse_history_row(row, entry))
        {
            history.push_back(std::move(entry));
        }
    }
    std::sort(history.begin(), history.end(),
              [](history_entry const & left, history_entry const & right)
              { return left.m_edit_number > right.m_edit_number; });
    return {};
}

} // namespace cassiahub::store
