#include "entry/duties.hpp"
#include "entry/duty_tree.hpp"

#include <cassiahub/entry/daemon.hpp>

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiahub::entry
{

runtime::child_spec make_group(std::string name, daemon_context & context,
                               std::vector<runtime::child_spec> children)
{
    runtime::supervisor_spec spec;
    spec.m_name = std::move(name);
    spec.m_children = std::move(children);
    spec.m_observer = [&context](std::string_view child, runtime::child_event event,
                                 std::error_code cause)
    {
        if (event == runtime::child_event::failed)
        {
            record(context,
                   decision::log_event{"duty_failed", std::string(child), cause});
        }
    };
    return runtime::as_child(std::move(spec));
}

namespace internal
{

using runtime::child_spec;
using runtime::supervisor_spec;

/// Number of duties that cancel attempts. An upstream that does not reply blocks one of
/// them until the cancellation times out.
constexpr std::uint32_t canceller_count = 4;

std::vector<child_spec> make_upstream_duties(daemon_context & context)
{
    std::vector<child_spec> duties;
    for (std::uint32_t index = 0; index < context.m_settings.m_upstream_threads; ++index)
    {
        duties.push_back(make_duty(fmt::format("upstream-caller-{}", index), context,
                                   run_upstream_caller));
    }
    for (std::uint32_t index = 0; index < canceller_count; ++index)
    {
        duties.push_back(make_duty(fmt::format("upstream-canceller-{}", index), context,
                                   run_upstream_canceller));
    }
    return duties;
}

/// A duty starts before the duties that push into its ring. Duties stop in reverse order:
/// the listener answers its callers and waits until the decision thread has nothing in
/// progress, while every duty that the listener depends on still runs.
supervisor_spec make_root_supervisor(daemon_context & context)
{
    supervisor_spec spec;
    spec.m_name = "entry";
    spec.m_children = {
        make_group("telemetry", context,
                   {make_duty("telemetry", context, run_telemetry)}),
        make_group("decision", context, {make_duty("decision", context, run_decision)}),
        make_group("peer", context, {make_duty("peer-exchange", context, run_peer)}),
        make_group("platform", context,
                   {make_duty("store", context, run_store),
                    make_duty("document-checker", context, run_document_checker),
                    make_duty("platform-poller", context, run_platform_poller)}),
        make_group("upstream", context, make_upstream_duties(context)),
        make_group("listener", context, {make_duty("listener", context, run_listener)})};
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
