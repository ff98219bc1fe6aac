#ifndef CASSIAHUB_STANDIN_UPSTREAM_SERVER_HPP
#define CASSIAHUB_STANDIN_UPSTREAM_SERVER_HPP

#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <stop_token>
#include <string>
#include <system_error>

namespace cassiahub::standin
{

/// Settings of the upstream stand-in. One process serves several upstreams, on
/// consecutive ports.
struct upstream_options
{
    std::string m_host = "127.0.0.1";
    std::uint32_t m_first_port = 9000;
    std::uint32_t m_count = 1;
    std::uint32_t m_slots = 8;
    /// Run time of a task whose payload does not begin with "run_ms=N".
    duration m_run_time = std::chrono::milliseconds(100);
};

/// Serves the upstreams until \p stop is requested.
std::error_code run_upstreams(upstream_options const & options,
                              std::stop_token const & stop);

} // namespace cassiahub::standin

#endif
