#ifndef CASSIAHUB_CONFIG_HPP
#define CASSIAHUB_CONFIG_HPP

/// \file Umbrella header of the config module: INI parsing, the fleet configuration
/// document and the settings of processes.

#include <cassiahub/config/error.hpp>
#include <cassiahub/config/fleet_configuration.hpp>
#include <cassiahub/config/fleet_document.hpp>
#include <cassiahub/config/ini_document.hpp>
#include <cassiahub/config/key_documentation.hpp>
#include <cassiahub/config/process_settings.hpp>
#include <cassiahub/config/section_edit.hpp>
#include <cassiahub/config/team_key.hpp>

#endif
