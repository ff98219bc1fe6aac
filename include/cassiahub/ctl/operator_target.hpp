#ifndef CASSIAHUB_CTL_OPERATOR_TARGET_HPP
#define CASSIAHUB_CTL_OPERATOR_TARGET_HPP

#include <string>
#include <vector>

namespace cassiahub::ctl
{

/// Output format of the commands.
enum class output_format
{
    table, ///< text for people
    json   ///< JSON for programs
};

/// Instances that get the operator requests, the team that sends them, and the output
/// format.
struct operator_target
{
    /// "ip:port" of entry instances; a request is sent to the first reachable one.
    std::vector<std::string> m_entries;
    std::string m_team; ///< may be empty for requests that only read
    /// File that contains the team's key; empty: the key is read from the environment
    /// variable CASSIAHUB_TEAM_KEY.
    std::string m_key_file;
    output_format m_output = output_format::table;
};

/// Reads the team's key and removes line breaks at its end.
/// \param key_file empty: the environment variable CASSIAHUB_TEAM_KEY.
/// \returns false, after printing the reason, when there is no valid key.
bool read_team_key(std::string const & key_file, std::string & key);

} // namespace cassiahub::ctl

#endif
