#ifndef CASSIAHUB_STANDIN_PLATFORM_SERVER_HPP
#define CASSIAHUB_STANDIN_PLATFORM_SERVER_HPP

#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <stop_token>
#include <string>
#include <system_error>

namespace cassiahub::standin
{

/// Address, simulated write latency and concurrency of the platform stand-in.
struct platform_options
{
    std::string m_address = "127.0.0.1:8500";
    /// Simulated time of a durable write.
    duration m_write_delay = std::chrono::milliseconds(4);
    std::uint32_t m_threads = 128; ///< connections served concurrently
};

/// Serves the table, the object store and the instance list until \p stop is requested.
std::error_code run_platform(platform_options const & options,
                             std::stop_token const & stop);

} // namespace cassiahub::standin

#endif
