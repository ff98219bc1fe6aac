#ifndef CASSIAHUB_LOAD_LOAD_RUN_HPP
#define CASSIAHUB_LOAD_LOAD_RUN_HPP

#include <cassiahub/load/load_plan.hpp>
#include <cassiahub/load/load_report.hpp>

#include <stop_token>
#include <string>
#include <system_error>

namespace cassiahub::load
{

/// Sends the load of \p plan over HTTP and waits for every answer. The load is open-loop:
/// a job is due at its scheduled arrival whether or not earlier ones were answered. A job
/// that waits because every sender is busy counts this wait as latency.
/// \param report receives the measurements, also when \p stop ended the run early.
/// \pre mg_init_library() was called
std::error_code run_load(load_plan const & plan, std::stop_token const & stop,
                         load_report & report);

/// Settings of a comparison between jobs through an entry instance and direct calls of
/// an upstream.
struct probe_options
{
    std::string m_entry;    ///< "ip:port" of an entry instance
    std::string m_upstream; ///< "ip:port" of an upstream
    std::string m_tenant;
    std::string m_kind;
    std::uint32_t m_count = 500; ///< number of direct calls, and of jobs
    std::uint32_t m_run_ms = 5;  ///< run time of a task
};

/// Measures the latency that an entry instance adds: alternates direct calls of an
/// upstream with one-task jobs through the entry instance, one at a time.
/// \param text receives the latency of both and their difference as JSON.
std::error_code run_probe(probe_options const & options, std::stop_token const & stop,
                          std::string & text);

} // namespace cassiahub::load

#endif
