#include "entry/duties.hpp"

#include <cassiahub/entry/daemon.hpp>

#include <fmt/format.h>

#include <utility>

namespace cassiahub::entry
{

namespace internal
{

using runtime::child_spec;
using runtime::restart_policy;
using runtime::supervisor_spec;

template <typename Body>
child_spec make_duty(std::string name, daemon_context & context, Body body)
{
    return {std::move(name),
            [&context, body](std::stop_token const & stop)
            { return body(context, stop); },
            restart_policy::permanent};
}

supervisor_spec make_upstream_supervisor(daemon_context & context)
{
    supervisor_spec spec;
    spec.m_name = "upstream";
    for (std::uint32_t index = 0; index < context.m_settings.m_upstream_threads; ++index)
    {
        spec.m_children.push_back(make_duty(fmt::format("upstream-caller-{}", index),
                                            context, run_upstream_caller));
    }
    return spec;
}

/// Start order: what others feed comes first. Stop order is the reverse, so the
/// listener answers its callers while everything behind it still runs.
supervisor_spec make_root_supervisor(daemon_context & context)
{
    supervisor_spec spec;
    spec.m_name = "entry";
    spec.m_children = {make_duty("decision", context, run_decision),
                       runtime::as_child(make_upstream_supervisor(context)),
                       make_duty("platform-poller", context, run_platform_poller),
                       make_duty("listener", context, run_listener)};
    return spec;
}

} // namespace internal

std::error_code run_daemon(config::entry_settings const & settings,
                           std::stop_token const & stop)
{
    daemon_context context(settings);
    return runtime::supervise(internal::make_root_supervisor(context), stop);
}

} // namespace cassiahub::entry
