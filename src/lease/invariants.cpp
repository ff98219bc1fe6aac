#include <cassiahub/lease/sessions.hpp>

namespace cassiahub::lease
{

std::vector<std::string_view> check_invariants(lease_state const & state)
{
    std::vector<std::string_view> broken;
    std::size_t runs = 0;
    for (auto const & [name, session] : state.m_sessions)
    {
        runs += session.m_runs.size();
        if (session.m_phase == session_phase::claiming && !session.m_runs.empty())
        {
            broken.emplace_back("run_on_unclaimed_upstream");
        }
        if (session.m_phase == session_phase::unregistered && !session.m_runs.empty())
        {
            broken.emplace_back("run_on_unregistered_upstream");
        }
        if (session.m_phase != session_phase::claiming && !session.m_unsettled.empty())
        {
            broken.emplace_back("unsettled_run_on_claimed_upstream");
        }
    }
    if (runs != state.m_attempts.size())
    {
        broken.emplace_back("run_without_attempt");
    }
    return broken;
}

} // namespace cassiahub::lease
