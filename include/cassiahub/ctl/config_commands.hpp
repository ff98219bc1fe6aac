#ifndef CASSIAHUB_CTL_CONFIG_COMMANDS_HPP
#define CASSIAHUB_CTL_CONFIG_COMMANDS_HPP

#include <cassiahub/ctl/operator_target.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cassiahub::ctl
{

// Each command returns the program's exit code.

/// Validates the fleet configuration document in the file \p path and prints every fault.
int check_config(std::string const & path, output_format output);

/// Writes the fleet configuration document in the file \p path to the platform service.
/// Fails with exit_conflict when the fleet already has a document.
int init_config(std::string const & platform_address, std::string const & path);

/// Prints every key of the fleet configuration document with its allowed values, default
/// and meaning.
int print_keys(output_format output);

/// Reads a team key and prints the line "key_hash = ..." for it, with a random salt.
/// \param key_file see read_team_key().
int print_key_hash(std::string const & key_file);

/// Prints the section \p section after a comment line with its version; put_config()
/// accepts this output.
/// \param section empty: all sections are printed, as a table.
/// \param whole_text the texts of all sections are printed instead of the table.
int show_config(operator_target const & target, std::string const & section,
                bool whole_text);

/// Prints the differences between the sections in the file \p path and the current ones.
int diff_config(operator_target const & target, std::string const & path);

/// Writes the section in the file \p path.
/// \param expected_version version that the section must have; 0: it must not exist;
/// empty: the version in the first line of the file, as printed by show_config().
int put_config(operator_target const & target, std::string const & path,
               std::optional<std::uint64_t> expected_version);

/// Deletes a section. It must have the version \p expected_version.
int delete_config(operator_target const & target, std::string const & section,
                  std::uint64_t expected_version);

/// Prints the most recent accepted edits.
int print_history(operator_target const & target);

} // namespace cassiahub::ctl

#endif
