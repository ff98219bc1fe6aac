#ifndef CASSIAHUB_ENTRY_OPERATOR_JSON_HPP
#define CASSIAHUB_ENTRY_OPERATOR_JSON_HPP

#include <cassiahub/config/section_edit.hpp>
#include <cassiahub/store/configuration_edit.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cassiahub::entry
{

// JSON bodies of the operator endpoints.

/// Content of the response to GET /v1/status.
struct instance_status
{
    std::string_view m_instance;
    std::string_view m_domain;
    std::uint64_t m_configuration_version = 0;
    bool m_draining = false; ///< the daemon is shutting down
};

std::string format_status(instance_status const & status);

/// \param stale true when the store is unavailable and \p sections are those read last.
std::string format_document(std::uint64_t version, bool stale,
                            std::span<config::stored_section const> sections);

std::string format_section(config::stored_section const & section, bool stale);

std::string format_history(std::span<store::history_entry const> history);

std::string format_accepted(std::string_view section, std::uint64_t version);

/// \returns problem details (RFC 9457) of a refused request. Members beyond the standard
/// ones: "code", "applied" (no or unknown), "faults" when there are any and, after a
/// version conflict, "current".
std::string format_refusal(int status, config::edit_check const & check);

/// Parses {"upstream": NAME} into \p name. \returns false when \p body is malformed.
bool parse_upstream(std::string_view body, std::string & name);

} // namespace cassiahub::entry

#endif
