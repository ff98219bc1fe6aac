#include "lease/availability.hpp"
#include "lease/runs.hpp"

#include <cassiahub/lease/sessions.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

namespace cassiahub::lease
{

namespace internal
{

namespace
{

/// \returns false when the registration is known to be that of an earlier incarnation.
bool is_registered(upstream_session const & session) noexcept
{
    return session.m_registered_incarnation == 0 ||
           session.m_registered_incarnation >= session.m_incarnation;
}

void enter_serving(session_context & context, std::string_view code)
{
    upstream_session & session = context.m_session;
    log_session(context, code, {}, describe_session(context));
    session.m_phase = session_phase::serving;
    set_available(context, true);
    if (session.m_incarnation != 0 && session.m_lost_incarnation == session.m_incarnation)
    {
        report_fate(context, dispatch::upstream_fate::survived);
    }
}

} // namespace

void set_available(session_context & context, bool available)
{
    context.m_out.m_availability.push_back({context.m_session.m_name, available});
}

void receive_accepted_renewal(session_context & context)
{
    upstream_session & session = context.m_session;
    if (!session.m_wanted)
    {
        return;
    }
    switch (session.m_phase)
    {
    case session_phase::claiming:
        if (is_registered(session))
        {
            enter_serving(context, "upstream_claimed");
            break;
        }
        log_session(context, "upstream_unregistered", {},
                    fmt::format("{} registered_incarnation={}", describe_session(context),
                                session.m_registered_incarnation));
        session.m_phase = session_phase::unregistered;
        break;
    case session_phase::silent:
    case session_phase::releasing:
        enter_serving(context, "upstream_regained");
        break;
    case session_phase::unregistered:
    case session_phase::serving:
        break;
    }
}

void receive_registration(session_context & context, std::uint64_t incarnation)
{
    upstream_session & session = context.m_session;
    session.m_registered_incarnation = incarnation;
    if (session.m_phase != session_phase::unregistered || !is_registered(session))
    {
        return;
    }
    if (session.m_failures == 0)
    {
        enter_serving(context, "upstream_claimed");
    }
    else
    {
        // The next accepted renewal shows that the upstream replies.
        session.m_phase = session_phase::silent;
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

} // namespace internal

std::size_t count_unregistered(lease_state const & state)
{
    return std::size_t(
        std::count_if(state.m_sessions.begin(), state.m_sessions.end(),
                      [](auto const & entry)
                      { return entry.second.m_phase == session_phase::unregistered; }));
}

} // namespace cassiahub::lease
