#include "lease/replies.hpp"

#include <fmt/format.h>

namespace cassiahub::lease::internal
{

std::string describe_clock(upstream_session const & session, upstream_clock clock,
                           time_point now)
{
    return fmt::format("clock={} expected={} incarnation={}", clock,
                       current_clock(session, now), session.m_incarnation);
}

std::uint64_t reported_incarnation(upstream_reply const & reply) noexcept
{
    return reply.m_outcome == call_outcome::other_incarnation ? 0 : reply.m_incarnation;
}

std::string find_defect(upstream_session const & session, pending_call const & call,
                        upstream_reply const & reply)
{
    bool const lists_runs =
        call.m_generation == 0 && reply.m_outcome == call_outcome::accepted;
    if (lists_runs && !reply.m_lists_error.empty())
    {
        return reply.m_lists_error;
    }
    if (lists_runs && !reply.m_clock)
    {
        return "no clock";
    }
    std::uint64_t const incarnation = reported_incarnation(reply);
    if ((lists_runs || incarnation != 0) && incarnation != session.m_incarnation)
    {
        return fmt::format("incarnation={} expected={}", incarnation,
                           session.m_incarnation);
    }
    return {};
}

bool is_from_incarnation(upstream_session const & session, pending_call const & call,
                         upstream_reply const & reply, time_point now) noexcept
{
    bool const is_renewal = call.m_generation == 0;
    if (reply.m_outcome == call_outcome::other_incarnation)
    {
        return false;
    }
    if (is_renewal || reply.m_incarnation != 0)
    {
        return reply.m_incarnation == session.m_incarnation;
    }
    return reply.m_clock &&
           is_possible_clock(session, *reply.m_clock, call.m_sent_at, now);
}

void update_clock(upstream_session & session, upstream_reply const & reply,
                  time_point sent_at, time_point now)
{
    if (reply.m_clock &&
        (session.m_clock_at == time_point() || *reply.m_clock >= session.m_clock))
    {
        session.m_clock = *reply.m_clock;
        session.m_clock_at = now;
        session.m_clock_asked_at = sent_at;
    }
}

} // namespace cassiahub::lease::internal
