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

/// What GET /v1/status tells.
struct instance_status
{
    std::string_view m_instance;
    std::string_view m_domain;
    std::uint64_t m_configuration_version = 0;
    bool m_draining = false;
};

std::string format_status(instance_status const & status);

/// \param stale the store cannot be read; the sections are those read last.
std::string format_document(std::uint64_t version, bool stale,
                            std::span<config::section_state const> sections);

std::string format_section(config::section_state const & section, bool stale);

std::string format_history(std::span<store::history_entry const> history);

std::string format_accepted(std::string_view section, std::uint64_t version);

/// Problem details (RFC 9457) of a refused request. Besides the registered members:
/// "code", "applied" (no or unknown), "faults" and, after a version conflict, "current".
std::string format_refusal(int status, config::edit_check const & check);

/// Reads {"upstream": NAME}. \returns false when \p body is malformed.
bool parse_upstream(std::string_view body, std::string & name);

} // namespace cassiahub::entry

#endif
