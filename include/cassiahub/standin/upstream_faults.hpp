#ifndef CASSIAHUB_STANDIN_UPSTREAM_FAULTS_HPP
#define CASSIAHUB_STANDIN_UPSTREAM_FAULTS_HPP

#include <cassiahub/core/time.hpp>

#include <string>
#include <string_view>

namespace cassiahub::standin
{

/// Faults that one upstream injects, set at run time with PUT /faults.
struct upstream_faults
{
    bool m_refuse = false;       ///< responds 503 to every task without running it
    bool m_fail = false;         ///< starts every task and fails it immediately
    bool m_pause = false;        ///< holds requests and responses while true
    bool m_drop_answers = false; ///< closes the connection instead of responding
    bool m_leave = false;        ///< announces in responses that the upstream is leaving
    /// Time from setting m_leave until the upstream refuses new tasks.
    duration m_leave_grace = std::chrono::seconds(3);
    double m_straggle_factor = 1; ///< multiplies the run time of new tasks
    /// A task whose payload contains this text crashes the upstream when it has run: all
    /// connections are closed, and new ones are refused for m_crash_time. Empty: none.
    std::string m_crash_payload;
    duration m_crash_time = std::chrono::seconds(3);
};

/// Reads the body of PUT /faults. Absent members take their default.
/// \returns an empty string on success, else a message that lists the allowed values.
/// Thread-safe.
std::string parse_upstream_faults(std::string_view body, upstream_faults & faults);

/// \returns the JSON form that parse_upstream_faults() reads.
std::string format_upstream_faults(upstream_faults const & faults);

} // namespace cassiahub::standin

#endif
