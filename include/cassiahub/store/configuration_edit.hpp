#ifndef CASSIAHUB_STORE_CONFIGURATION_EDIT_HPP
#define CASSIAHUB_STORE_CONFIGURATION_EDIT_HPP

#include <cassiahub/config/section_edit.hpp>
#include <cassiahub/core/random.hpp>
#include <cassiahub/store/client.hpp>
#include <cassiahub/store/configuration_feed.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::store
{

/// A connection over which operators read and edit the fleet document, with the sections
/// read so far. Used by one thread at a time.
struct configuration_session
{
    client m_client;
    configuration_feed m_feed;
    random_source m_random; ///< draws write identifiers and waits between tries
};

/// One edit as the history holds it.
struct history_entry
{
    std::uint64_t m_edit = 0;    ///< number of the edit, from 1
    std::uint64_t m_version = 0; ///< version that the edit made
    std::int64_t m_time_s = 0;   ///< wall clock of the instance, seconds since 1970
    std::string m_action;        ///< put, delete or init
    std::string m_team;
    std::string m_section;
};

/// How an edit ended.
struct edit_result
{
    config::edit_check m_check;
    std::uint64_t m_version = 0; ///< of the document after an accepted edit
};

/// Number of edits that the history keeps.
constexpr std::uint64_t history_length = 100;

/// Reads what changed since the last read.
/// \returns store_unavailable when the table cannot be read.
std::error_code refresh(configuration_session & session);

/// \returns the sections of \p feed, sorted by name; the views point into \p feed.
std::vector<config::section_state> list_sections(configuration_feed const & feed);

/// Checks \p edit against the newest document and writes it. When another edit came
/// between, the check is repeated against the new document a bounded number of times, so
/// that two edits which are valid alone and invalid together never both pass.
/// \param now wall clock for the history.
edit_result apply_edit(configuration_session & session, config::section_edit const & edit,
                       std::chrono::system_clock::time_point now);

/// Sets one key of the section that \p edit names, whatever its version.
/// \param edit its text and expected version are set from the newest document.
edit_result apply_key(configuration_session & session, config::section_edit edit,
                      std::string_view key, std::string_view value,
                      std::chrono::system_clock::time_point now);

/// Writes the first document of a fleet.
/// \param sections name and text of each section of a checked document.
/// \returns version_conflict when the fleet has a document already.
std::error_code write_first_document(configuration_session & session,
                                     std::span<config::section_state const> sections,
                                     std::chrono::system_clock::time_point now);

/// Reads the last edits, the newest first.
/// \returns store_unavailable when the table cannot be read.
std::error_code read_history(client & used, std::vector<history_entry> & history);

} // namespace cassiahub::store

#endif
