#ifndef CASSIAHUB_CTL_CONFIG_COMMANDS_HPP
#define CASSIAHUB_CTL_CONFIG_COMMANDS_HPP

#include <cassiahub/ctl/operator_target.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cassiahub::ctl
{

// Each command returns the program's exit code.

/// Checks the fleet document in \p path and prints every fault.
int check_config(std::string const & path, output_format output);

/// Writes every section of the fleet document in \p path to the platform's table. For
/// a fleet that has no document yet.
int init_config(std::string const & platform_address, std::string const & path);

/// Prints every key of the fleet document with its range, default and meaning.
int print_keys(output_format output);

/// Reads a team key and prints the line "key_hash = ..." with a new salt.
int print_key_hash(std::string const & key_file);

/// Prints the section \p section with its version as a comment, ready for put_config().
/// Empty: a table of all sections, or their texts when \p whole_text.
int show_config(operator_target const & target, std::string const & section,
                bool whole_text);

/// Prints what the sections in the file \p path would change.
int diff_config(operator_target const & target, std::string const & path);

/// Writes the section in the file \p path.
/// \param expected_version version that the section must have, 0: it must be new; empty:
/// the file begins with the comment that show_config() wrote.
int put_config(operator_target const & target, std::string const & path,
               std::optional<std::uint64_t> expected_version);

/// Deletes a section that has the version \p expected_version.
int delete_config(operator_target const & target, std::string const & section,
                  std::uint64_t expected_version);

/// Prints the last accepted edits.
int print_history(operator_target const & target);

} // namespace cassiahub::ctl

#endif
