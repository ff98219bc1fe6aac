#ifndef CASSIAHUB_STANDIN_UPSTREAM_FAULTS_HPP
#define CASSIAHUB_STANDIN_UPSTREAM_FAULTS_HPP

#include <cassiahub/core/time.hpp>

#include <string>
#include <string_view>

namespace cassiahub::standin
{

/// Faults of one upstream, switched at run time with PUT /faults.
struct upstream_faults
{
    bool m_refuse = false;       ///< answers 503 "not run" to every task
    bool m_fail = false;         ///< starts every task and fails it at once
    bool m_pause = false;        ///< accepts, starts and answers nothing until resumed
    bool m_drop_answers = false; ///< closes the connection after the run
    bool m_leave = false;        ///< announces that it is leaving
    duration m_leave_grace = std::chrono::seconds(3); ///< new tasks are refused after it
    double m_straggle_factor = 1; ///< multiplies the run time of tasks that start
};

/// Reads the body of PUT /faults. Members that are absent take their default.
/// \returns an empty text, or what is wrong and what is allowed. Thread-safe.
std::string parse_upstream_faults(std::string_view body, upstream_faults & faults);

/// \returns the JSON form that parse_upstream_faults() reads.
std::string format_upstream_faults(upstream_faults const & faults);

} // namespace cassiahub::standin

#endif
