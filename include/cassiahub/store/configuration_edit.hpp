#ifndef CASSIAHUB_STORE_CONFIGURATION_EDIT_HPP
#define CASSIAHUB_STORE_CONFIGURATION_EDIT_HPP

#include <cassiahub/config/section_edit.hpp>
#include <cassiahub/core/random.hpp>
#include <cassiahub/store/client.hpp>
#include <cassiahub/store/configuration_replica.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::store
{

/// State for reading and editing the fleet configuration document: a client and the
/// sections read so far. Not thread-safe.
struct configuration_session
{
    client m_client;
    configuration_replica m_replica;
    random_source m_random; ///< for write identifiers and backoff times
};

/// One edit in the history.
struct history_entry
{
    std::uint64_t m_edit_number = 0; ///< number of the edit, from 1
    std::uint64_t m_version = 0;     ///< version of the document after the edit
    std::int64_t m_time_s = 0; ///< wall clock of the editing process, seconds since 1970
    std::string m_action;      ///< put, delete or init
    std::string m_team;
    std::string m_section;
};

/// Result of an edit.
struct edit_result
{
    config::edit_check m_check;  ///< m_error also holds errors of reading and writing
    std::uint64_t m_version = 0; ///< of the document after an accepted edit
};

/// Number of edits that the history keeps.
constexpr std::uint64_t history_length = 100;

/// Reads the sections that changed since the last read.
/// \returns store_unavailable when the table cannot be read.
std::error_code refresh(configuration_session & session);

/// \returns the sections of \p replica, sorted by name; the views point into \p replica.
std::vector<config::stored_section> list_sections(configuration_replica const & replica);

/// Validates \p edit against the newest document and writes it. When a concurrent edit
/// was written in the meantime, validation is repeated against the new document, a
/// bounded number of times. Two edits that are valid separately and invalid together are
/// therefore never both accepted.
/// \param now wall clock time for the history.
edit_result apply_edit(configuration_session & session, config::section_edit const & edit,
                       std::chrono::system_clock::time_point now);

/// Sets one key of the section that \p edit names, independently of its version.
/// \param edit its m_text and m_expected_version are ignored; those of the newest
/// document are used.
edit_result set_section_key(configuration_session & session, config::section_edit edit,
                            std::string_view key, std::string_view value,
                            std::chrono::system_clock::time_point now);

/// Writes the first document of a fleet.
/// \param sections name and text of each section of a valid document.
/// \returns version_conflict when the fleet has a document already.
std::error_code write_first_document(configuration_session & session,
                                     std::span<config::stored_section const> sections,
                                     std::chrono::system_clock::time_point now);

/// Reads the last history_length edits, the newest first.
/// \returns store_unavailable when the table cannot be read.
std::error_code read_history(client & store_client, std::vector<history_entry> & history);

} // namespace cassiahub::store

#endif
