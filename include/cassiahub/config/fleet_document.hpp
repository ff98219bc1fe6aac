#ifndef CASSIAHUB_CONFIG_FLEET_DOCUMENT_HPP
#define CASSIAHUB_CONFIG_FLEET_DOCUMENT_HPP

#include <cassiahub/config/error.hpp>
#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/config/ini_document.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// Checks the fleet document \p text as a whole and converts it. Sections are
/// [team.NAME], [domain.NAME], [kind.NAME], [tenant.NAME], [upstream.NAME] and
/// [dispatch].
/// \param faults receives every fault found, not only the first.
/// \returns the configuration (version 0), or nothing when there was a fault.
/// Thread-safe.
std::optional<fleet_configuration>
parse_fleet_document(std::string_view text, std::vector<config_fault> & faults);

/// Checks sections that were parsed before, as one document. The lines in the faults are
/// those of \p document. Otherwise like parse_fleet_document().
std::optional<fleet_configuration>
check_fleet_document(ini_document const & document, std::vector<config_fault> & faults);

} // namespace cassiahub::config

#endif
