#ifndef CASSIAHUB_CTL_CONFIG_COMMANDS_HPP
#define CASSIAHUB_CTL_CONFIG_COMMANDS_HPP

#include <string>

namespace cassiahub::ctl
{

/// Checks the fleet document in \p path and prints every fault.
/// \returns the program's exit code.
int check_config(std::string const & path);

/// Writes every section of the fleet document in \p path to the platform's table. For
/// a fleet that has no document yet.
/// \returns the program's exit code.
int init_config(std::string const & platform_address, std::string const & path);

} // namespace cassiahub::ctl

#endif
