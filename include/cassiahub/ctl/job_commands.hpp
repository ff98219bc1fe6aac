#ifndef CASSIAHUB_CTL_JOB_COMMANDS_HPP
#define CASSIAHUB_CTL_JOB_COMMANDS_HPP

#include <string>

namespace cassiahub::ctl
{

/// What names a job and where to send it.
struct job_target
{
    std::string m_address; ///< "ip:port" of an entry instance
    std::string m_tenant;
    std::string m_key;
    std::string m_home_domain; ///< may be empty
};

/// Submits the job in the JSON file \p path and prints the answer.
/// \returns the program's exit code.
int submit_job(job_target const & target, std::string const & path);

} // namespace cassiahub::ctl

#endif
