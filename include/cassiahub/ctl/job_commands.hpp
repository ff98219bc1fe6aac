#ifndef CASSIAHUB_CTL_JOB_COMMANDS_HPP
#define CASSIAHUB_CTL_JOB_COMMANDS_HPP

#include <cassiahub/ctl/operator_target.hpp>

#include <string>

namespace cassiahub::ctl
{

/// Identifies a job and the entry instance to send the request to.
struct job_target
{
    std::string m_address; ///< "ip:port" of an entry instance
    std::string m_tenant;
    std::string m_key;         ///< idempotency key of the job
    std::string m_home_domain; ///< home failure domain of the job; empty: not stated
    output_format m_output = output_format::table;
};

// Each command returns the program's exit code.

/// Submits the job in the JSON file \p path, waits, and prints the response.
int submit_job(job_target const & target, std::string const & path);

/// Prints the state of a job, or its response once it has ended.
int query_job(job_target const & target);

/// Cancels a job and prints the response.
int cancel_job(job_target const & target);

} // namespace cassiahub::ctl

#endif
