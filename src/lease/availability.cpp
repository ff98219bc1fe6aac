#include "lease/availability.hpp"
#include "lease/runs.hpp"

#include <fmt/format.h>

namespace cassiahub::lease::internal
{

void set_available(session_context & context, bool available)
{
    context.m_out.m_availability.push_back({context.m_session.m_name, available});
}

void begin_serving(session_context & context)
{
    upstream_session & session = context.m_session;
    if (session.m_phase == session_phase::serving || !session.m_wanted)
    {
        return;
    }
    bool const claiming = session.m_phase == session_phase::claiming;
    log_session(context, claiming ? "upstream_claimed" : "upstream_regained", {},
                describe_session(context));
    session.m_phase = session_phase::serving;
    set_available(context, true);
    if (session.m_incarnation != 0 && session.m_lost_incarnation == session.m_incarnation)
    {
        report_fate(context, dispatch::upstream_fate::survived);
    }
}

void stop_serving(session_context & context, session_phase phase)
{
    if (context.m_session.m_phase == session_phase::serving)
    {
        set_available(context, false);
    }
    context.m_session.m_phase = phase;
}

std::string describe_session(session_context const & context)
{
    upstream_session const & session = context.m_session;
    std::int64_t const clock_age =
        session.m_clock_at == time_point()
            ? -1
            : to_milliseconds(context.m_now - session.m_clock_at);
    return fmt::format("runs={} token={} incarnation={} clock={} clock_age_ms={}",
                       session.m_runs.size(), session.m_token, session.m_incarnation,
                       session.m_clock, clock_age);
}

} // namespace cassiahub::lease::internal
