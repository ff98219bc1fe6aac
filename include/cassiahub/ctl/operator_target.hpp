#ifndef CASSIAHUB_CTL_OPERATOR_TARGET_HPP
#define CASSIAHUB_CTL_OPERATOR_TARGET_HPP

#include <string>
#include <vector>

namespace cassiahub::ctl
{

/// How results are printed.
enum class output_format
{
    table,
    json
};

/// Where operator requests go and who sends them.
struct operator_target
{
    /// "ip:port" of entry instances; a request goes to the first that can be reached.
    std::vector<std::string> m_entries;
    std::string m_team;
    /// File that holds the team's key; empty: the environment variable
    /// CASSIAHUB_TEAM_KEY.
    std::string m_key_file;
    output_format m_output = output_format::table;
};

/// Reads the team's key, without a newline at its end.
/// \returns false after printing that there is none.
bool read_team_key(std::string const & key_file, std::string & key);

} // namespace cassiahub::ctl

#endif
