#ifndef CASSIAHUB_CTL_FLEET_COMMANDS_HPP
#define CASSIAHUB_CTL_FLEET_COMMANDS_HPP

#include <cassiahub/ctl/operator_target.hpp>

#include <string>

namespace cassiahub::ctl
{

// Each command returns the program's exit code.

/// Prints the state of every entry instance of \p target, and whether all have the same
/// configuration version in force. Fails when one does not answer.
int print_status(operator_target const & target);

/// Marks the upstream \p name as draining, or takes the mark away.
int drain_upstream(operator_target const & target, std::string const & name,
                   bool draining);

/// Draws the histograms that the first reachable instance serves at /metrics.
/// \param prefix only histograms whose name begins so.
int print_metrics(operator_target const & target, std::string const & prefix);

} // namespace cassiahub::ctl

#endif
