#ifndef CASSIAHUB_CTL_JOB_COMMANDS_HPP
#define CASSIAHUB_CTL_JOB_COMMANDS_HPP

#include <cassiahub/ctl/operator_target.hpp>

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
    output_format m_output = output_format::table;
};

// Each command returns the program's exit code.

/// Submits the job in the JSON file \p path and prints the answer.
int submit_job(job_target const & target, std::string const & path);

/// Prints the state or the answer of a job.
int query_job(job_target const & target);

/// Cancels a job.
int cancel_job(job_target const & target);

} // namespace cassiahub::ctl

#endif
