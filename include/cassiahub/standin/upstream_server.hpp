#ifndef CASSIAHUB_STANDIN_UPSTREAM_SERVER_HPP
#define CASSIAHUB_STANDIN_UPSTREAM_SERVER_HPP

#include <cassiahub/core/resources.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <stop_token>
#include <string>
#include <string_view>
#include <system_error>

namespace cassiahub::standin
{

// Request headers with the resources that a task needs. An absent header takes the value
// of upstream_options::m_task_demand.
constexpr std::string_view millicores_header = "Cassiahub-Millicores";
constexpr std::string_view memory_header = "Cassiahub-Memory-Mib";
constexpr std::string_view accelerators_header = "Cassiahub-Accelerators";

/// Settings of the upstream stand-in. One process serves several upstreams, on
/// consecutive ports.
struct upstream_options
{
    std::string m_host = "127.0.0.1";
    std::uint32_t m_first_port = 9000;
    std::uint32_t m_count = 1;
    std::uint32_t m_slots = 8;        ///< concurrent tasks of each upstream
    std::uint32_t m_connections = 64; ///< served concurrently by each upstream
    /// Run time of a task whose payload does not start with "run_ms=N".
    duration m_run_time = std::chrono::milliseconds(100);
    resources m_capacity{16'000, 32'768, 0}; ///< of each upstream's worker
    resources m_task_demand{1'000, 512, 0};  ///< of a task without resource headers
    duration m_usage_lag = std::chrono::seconds(1); ///< age of reported usage
};

/// Serves the upstreams until \p stop is requested.
std::error_code run_upstreams(upstream_options const & options,
                              std::stop_token const & stop);

} // namespace cassiahub::standin

#endif
