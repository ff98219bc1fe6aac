#ifndef CASSIAHUB_LOAD_LOAD_RUN_HPP
#define CASSIAHUB_LOAD_LOAD_RUN_HPP

#include <cassiahub/load/load_plan.hpp>
#include <cassiahub/load/load_report.hpp>

#include <stop_token>
#include <string>
#include <system_error>

namespace cassiahub::load
{

/// Sends what \p plan says over HTTP, waits for every answer, and measures. Arrivals do
/// not wait for earlier answers: when every sender is busy, the lateness is latency.
/// \param report receives what was measured, also when \p stop ended the run early.
/// \pre mg_init_library() was called
std::error_code run_load(load_plan const & plan, std::stop_token const & stop,
                         load_report & report);

/// Settings of a comparison between calls through an entry instance and direct calls.
struct probe_options
{
    std::string m_entry;
    std::string m_upstream;
    std::string m_tenant;
    std::string m_kind;
    std::uint32_t m_count = 500;
    std::uint32_t m_run_ms = 5;
};

/// Alternates direct calls of an upstream with jobs of one task through an entry
/// instance, one at a time.
/// \param text receives the times and the added time as JSON.
std::error_code run_probe(probe_options const & options, std::stop_token const & stop,
                          std::string & text);

} // namespace cassiahub::load

#endif
