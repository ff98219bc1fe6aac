#ifndef CASSIAHUB_STANDIN_UPSTREAM_STATE_HPP
#define CASSIAHUB_STANDIN_UPSTREAM_STATE_HPP

#include "standin/listener.hpp"

#include <cassiahub/runtime/bounded_ring.hpp>
#include <cassiahub/standin/upstream_faults.hpp>
#include <cassiahub/standin/upstream_server.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace cassiahub::standin::internal
{

/// Numbers of starts and of attempts that are kept. The oldest are removed first, which
/// bounds the memory of a long run.
constexpr std::size_t max_starts = 200'000;
constexpr std::size_t max_attempts = 50'000;

/// One start of a task on an upstream.
struct observed_start
{
    std::uint64_t m_sequence = 0; ///< from 1, over all upstreams of the process
    std::uint32_t m_upstream = 0; ///< index
    std::string m_job;            ///< "tenant/home domain/key"
    std::string m_task;
    std::string m_attempt;
    std::string m_kind;
    std::int64_t m_time_ms = 0; ///< boot clock
};

/// Task starts of all upstreams of the process.
struct start_log
{
    std::mutex m_mutex;
    std::uint64_t m_sequence = 0; ///< number of the last start
    std::deque<observed_start> m_starts;
    /// Number of starts in m_starts for each "job task".
    std::map<std::string, std::uint32_t, std::less<>> m_starts_by_task;
    std::map<std::string, std::uint64_t, std::less<>> m_repeated_by_kind;
    std::uint64_t m_repeated = 0; ///< starts of a task that had started before
};

/// Resources in use on a worker from m_valid_from until the next sample.
struct usage_sample
{
    time_point m_valid_from;
    resources m_used;
};

/// One upstream and its worker, which enforces fencing epochs, slots and capacity. The
/// HTTP threads share it under m_mutex. m_changed is notified on a cancellation, a change
/// of the faults, a crash and a stop.
struct upstream_state
{
    upstream_state(upstream_options const & options, std::uint32_t index,
                   start_log & starts, runtime::bounded_ring<std::uint32_t> & crashes)
        : m_options(options), m_index(index), m_starts(starts), m_crashes(crashes)
    {
    }

    upstream_options const & m_options;
    std::uint32_t m_index;
    start_log & m_starts;
    runtime::bounded_ring<std::uint32_t> & m_crashes; ///< indexes of crashed upstreams
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    bool m_crashed = false; ///< sends no response and is about to close its connections
    upstream_faults m_faults;
    time_point m_leaving_since;
    std::uint32_t m_running = 0; ///< tasks that run now
    std::uint32_t m_highest_running = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_dropped_responses = 0;
    std::uint64_t m_crash_count = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_refused; ///< by reason
    std::map<std::string, bool, std::less<>> m_attempts;         ///< true if cancelled
    std::deque<std::string> m_attempt_order;                     ///< oldest first
    std::map<std::string, std::uint64_t, std::less<>> m_epochs;  ///< highest, by shard
    resources m_used{0, 0, 0};
    std::deque<usage_sample> m_usage; ///< oldest first
};

/// Appends a start and counts it as repeated if the task has started before under another
/// attempt. \pre \p log.m_mutex is not held
void record_start(start_log & log, observed_start start);

/// Serves POST /v1/tasks: runs the task and returns its response.
optional_response serve_task(upstream_state & state, http::request const & received);

/// Serves DELETE /v1/tasks/{attempt}.
optional_response serve_cancellation(upstream_state & state, std::string_view attempt);

/// Appends the current resource usage. \pre state.m_mutex is held
void sample_usage(upstream_state & state);

http::response list_starts(upstream_state & state, http::request const & received);
http::response report_stats(std::deque<upstream_state> & states, std::uint32_t first,
                            std::uint32_t last);
http::response report_usage(upstream_state & state);

} // namespace cassiahub::standin::internal

#endif
