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

/// Event: the generator has put its last arrival into the ring.
struct generation_finished
{
    std::uint64_t m_count = 0; ///< arrivals of the whole run
};

using collector_event = std::variant<submission_outcome, generation_finished>;

constexpr std::size_t arrival_ring_size = 4096;
constexpr std::size_t outcome_ring_size = 16'384;

/// State shared by the duties (threads) of one run. The threads exchange data through the
/// rings only.
struct run_context
{
    load_plan const & m_plan;
    time_point m_start;   ///< start of the run; arrival::m_at counts from it
    std::string m_run_id; ///< prefix of every key
    runtime::bounded_ring<arrival> m_arrivals{arrival_ring_size};
    /// A sender blocks while the ring is full. This is short, because the collector only
    /// updates counters for each outcome.
    runtime::bounded_ring<collector_event> m_outcomes{outcome_ring_size};
};

/// Duty: puts each arrival into the ring when it is due. It blocks while the ring is
/// full; the delay counts as latency of the jobs.
std::error_code run_generator(run_context & context, std::stop_token const & stop);

/// Duty: takes arrivals from the ring and submits them one at a time.
std::error_code run_sender(run_context & context, std::stop_token const & stop);

/// Duty: sends the scheduled faults to the stand-ins.
std::error_code run_fault_injector(run_context & context, std::stop_token const & stop);

/// Duty: adds outcomes to \p report and prints progress. Once every arrival has an
/// outcome it requests a stop through \p finished.
std::error_code run_collector(run_context & context, load_report & report,
                              std::stop_source & finished, std::stop_token const & stop);

/// Reads the counters of the upstream stand-ins of \p plan.
upstream_totals read_upstreams(load_plan const & plan);

/// \returns the increase of each counter from \p before to \p after.
upstream_totals subtract(upstream_totals after, upstream_totals const & before);

/// Compares the answers with the starts that the upstream stand-ins recorded: sets
/// m_started_despite_refusal, and counts the repeated starts over all processes together,
/// because one process does not see a repetition on another.
void verify_starts(load_plan const & plan, load_report & report);

/// Waits until \p when or a stop request. \returns false after a stop request.
bool wait_until(time_point when, std::stop_token const & stop);

} // namespace cassiahub::load::internal

#endif
