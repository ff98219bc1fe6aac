#include "ctl/operator_client.hpp"

#include <cassiahub/codec.hpp>
#include <cassiahub/config.hpp>
#include <cassiahub/ctl/exit_code.hpp>
#include <cassiahub/ctl/job_commands.hpp>

#include <iostream>
#include <utility>

namespace cassiahub::ctl
{

namespace internal
{

/// Longer than the longest deadline of a job; the server ends the job at its deadline.
constexpr duration job_timeout = std::chrono::minutes(11);

/// Adds the header fields of the job to \p sent, sends it and prints the response.
/// \returns the program's exit code.
int exchange_job(job_target const & target, http::request sent)
{
    sent.m_headers.push_back({std::string(codec::tenant_header), target.m_tenant});
    if (!target.m_home_domain.empty())
    {
        sent.m_headers.push_back(
            {std::string(codec::home_domain_header), target.m_home_domain});
    }
    http::response received;
    if (std::error_code const error =
            http::exchange_once(target.m_address, sent, job_timeout, received))
    {
        std::cerr << target.m_address << ": " << error.message() << '\n';
        // With any other error the request was not sent, so the job cannot have run.
        return http::may_have_arrived(error) ? runtime::exit_failed : exit_not_run;
    }
    if (received.m_status >= 300)
    {
        return report_refusal(received, target.m_output);
    }
    std::cout << received.m_body << '\n';
    return runtime::exit_success;
}

} // namespace internal

int submit_job(job_target const & target, std::string const & path)
{
    http::request sent{"POST", "/v1/jobs", {}, {}, {}};
    if (std::error_code const error = config::read_file(path, sent.m_body))
    {
        std::cerr << path << ": " << error.message() << '\n';
        return runtime::exit_usage;
    }
    sent.m_headers.push_back({std::string(codec::key_header), target.m_key});
    return internal::exchange_job(target, std::move(sent));
}

int query_job(job_target const & target)
{
    return internal::exchange_job(target,
                                  {"GET", "/v1/jobs/" + target.m_key, {}, {}, {}});
}

int cancel_job(job_target const & target)
{
    return internal::exchange_job(target,
                                  {"DELETE", "/v1/jobs/" + target.m_key, {}, {}, {}});
}

} // namespace cassiahub::ctl
