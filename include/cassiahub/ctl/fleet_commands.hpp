#ifndef CASSIAHUB_CTL_FLEET_COMMANDS_HPP
#define CASSIAHUB_CTL_FLEET_COMMANDS_HPP

#include <cassiahub/ctl/operator_target.hpp>

#include <string>

namespace cassiahub::ctl
{

// Each command returns the program's exit code.

/// Prints the state of every entry instance of \p target, and whether all use the same
/// configuration version. Fails when an instance does not respond.
int print_status(operator_target const & target);

/// Sets or clears the draining state of the upstream \p name.
int drain_upstream(operator_target const & target, std::string const & name,
                   bool draining);

/// Draws the histograms in the metrics of the first reachable instance.
/// \param prefix only histograms whose name starts with \p prefix are drawn.
int print_metrics(operator_target const & target, std::string const & prefix);

} // namespace cassiahub::ctl

#endif
