#include <cassiahub/codec.hpp>
#include <cassiahub/config.hpp>
#include <cassiahub/ctl/job_commands.hpp>
#include <cassiahub/http.hpp>
#include <cassiahub/runtime/program.hpp>

#include <iostream>

namespace cassiahub::ctl
{

int submit_job(job_target const & target, std::string const & path)
{
    http::request sent{"POST", "/v1/jobs", {}, {}, {}};
    if (std::error_code const error = config::read_file(path, sent.m_body))
    {
        std::cerr << path << ": " << error.message() << '\n';
        return runtime::exit_usage;
    }
    sent.m_headers = {{std::string(codec::tenant_header), target.m_tenant},
                      {std::string(codec::key_header), target.m_key}};
    if (!target.m_home_domain.empty())
    {
        sent.m_headers.push_back(
            {std::string(codec::home_domain_header), target.m_home_domain});
    }
    // Longer than the longest job, which the server ends at its deadline.
    constexpr duration timeout = std::chrono::minutes(11);
    http::response received;
    std::error_code const error =
        http::exchange_once(target.m_address, sent, timeout, received);
    if (error)
    {
        std::cerr << target.m_address << ": " << error.message() << '\n';
        return runtime::exit_failed;
    }
    (received.m_status == 200 ? std::cout : std::cerr) << received.m_body << '\n';
    return received.m_status == 200 ? runtime::exit_success : runtime::exit_failed;
}

} // namespace cassiahub::ctl
