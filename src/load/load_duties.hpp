#ifndef CASSIAHUB_LOAD_LOAD_DUTIES_HPP
#define CASSIAHUB_LOAD_LOAD_DUTIES_HPP

#include <cassiahub/load/load_arrivals.hpp>
#include <cassiahub/load/load_report.hpp>
#include <cassiahub/runtime/bounded_ring.hpp>

#include <cstdint>
#include <stop_token>
#include <string>
#include <system_error>
#include <variant>

namespace cassiahub::load::internal
{

/// The generator has sent its last arrival.
struct arrivals_ended
{
    std::uint64_t m_count = 0; ///< arrivals sent
};

using collector_event = std::variant<submission_outcome, arrivals_ended>;

constexpr std::size_t arrival_ring_size = 4096;
constexpr std::size_t outcome_ring_size = 16'384;

/// What the duties of one run share. Threads exchange data over the rings only.
struct load_context
{
    load_plan const & m_plan;
    time_point m_start; ///< of the run; arrivals count from it
    std::string m_run;  ///< begins every key
    runtime::bounded_ring<arrival> m_arrivals{arrival_ring_size};
    /// A sender waits for room: the collector does little for each outcome.
    runtime::bounded_ring<collector_event> m_outcomes{outcome_ring_size};
};

/// Duty: puts each arrival into the ring when it is due. When the ring is full it
/// waits, and the lateness counts as latency of the jobs.
std::error_code run_generator(load_context & context, std::stop_token const & stop);

/// Duty: sends jobs, one at a time.
std::error_code run_sender(load_context & context, std::stop_token const & stop);

/// Duty: puts scheduled faults to the stand-ins.
std::error_code run_faults(load_context & context, std::stop_token const & stop);

/// Duty: adds outcomes to \p report and prints progress, until every arrival has ended;
/// then it requests \p finished.
std::error_code run_collector(load_context & context, load_report & report,
                              std::stop_source & finished, std::stop_token const & stop);

/// Reads the counts of the upstream stand-ins of \p plan.
upstream_totals read_upstreams(load_plan const & plan);

/// \returns what was counted between \p before and \p after.
upstream_totals subtract(upstream_totals after, upstream_totals const & before);

/// Compares the answers with the starts that the upstream stand-ins list: sets
/// m_started_despite_refusal, and raises the repeated starts to those that only show
/// over several processes.
void check_starts(load_plan const & plan, load_report & report);

/// Waits until \p when or a stop request. \returns false after a stop request.
bool wait_until(time_point when, std::stop_token const & stop);

} // namespace cassiahub::load::internal

#endif
