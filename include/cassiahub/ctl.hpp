#ifndef CASSIAHUB_CTL_HPP
#define CASSIAHUB_CTL_HPP

/// \file Umbrella header of the ctl module: the commands of cassiahubctl.

#include <cassiahub/ctl/config_commands.hpp>
#include <cassiahub/ctl/exit_code.hpp>
#include <cassiahub/ctl/fleet_commands.hpp>
#include <cassiahub/ctl/histogram.hpp>
#include <cassiahub/ctl/job_commands.hpp>
#include <cassiahub/ctl/operator_target.hpp>

#endif
