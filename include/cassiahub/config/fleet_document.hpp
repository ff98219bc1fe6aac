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

/// Parses and validates the fleet configuration document \p text. Its sections are
/// [team.NAME], [domain.NAME], [kind.NAME], [tenant.NAME], [upstream.NAME] and
/// [dispatch].
/// \param faults every fault found is appended, not only the first.
/// \returns the configuration, with version 0, or nothing when a fault was found.
/// Thread-safe.
std::optional<fleet_configuration>
parse_fleet_document(std::string_view text, std::vector<config_error> & faults);

/// Like parse_fleet_document(), for a document that is already parsed. The line numbers
/// in the faults are those stored in \p document.
std::optional<fleet_configuration>
check_fleet_document(ini_document const & document, std::vector<config_error> & faults);

} // namespace cassiahub::config

#endif
