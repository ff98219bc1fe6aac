#ifndef CASSIAHUB_LEASE_EFFECTS_HPP
#define CASSIAHUB_LEASE_EFFECTS_HPP

#include <cassiahub/dispatch/attempt.hpp>
#include <cassiahub/dispatch/crash_history.hpp>
#include <cassiahub/lease/call.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::lease
{

/// Whether an upstream accepts new runs.
struct availability
{
    std::string m_upstream;
    bool m_available = false;
};

/// A change in the state of a session or a run, for the log.
struct session_event
{
    std::string_view m_code; ///< a string literal
    std::string m_upstream;
    std::string m_job; ///< empty for an event of the whole session
    std::string m_detail;
};

/// Actions that the caller carries out after one event, in order within each list.
struct effects
{
    std::vector<upstream_call> m_calls;
    std::vector<dispatch::attempt_result> m_results;
    /// Fates of upstreams that were lost, without tasks; to be applied after m_results.
    std::vector<dispatch::upstream_loss> m_fates;
    std::vector<availability> m_availability;
    std::vector<session_event> m_events;
};

} // namespace cassiahub::lease

#endif
