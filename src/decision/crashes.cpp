#include "decision/context.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/membership/members.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace cassiahub::decision::internal
{

namespace
{

/// Most tasks in one loss notice.
constexpr std::size_t max_noticed_tasks = 256;

/// Sends to all members that may be alive, also to those that exchange no heartbeats with
/// this instance: the caller may submit the job again to any of them.
void send_to_members(step_context & context, dispatch::upstream_loss const & loss)
{
    membership::membership_state const & membership = context.m_state.m_membership;
    std::vector<instance_id> targets;
    for (auto const & [instance, member] : membership.m_members)
    {
        bool const fresh = member.m_listed && context.m_now - member.m_row_changed_at <
                                                  membership::registration_timeout;
        if (member.m_live || (fresh && !membership::is_near(membership, member)))
        {
            targets.push_back(instance);
        }
    }
    for (instance_id const & instance : targets)
    {
        send(context, instance, loss_notice{loss});
    }
}

/// Marks a lost upstream as crashed whose registration shows a later incarnation.
void compare_registration(step_context & context,
                          dispatch::upstream_identity const & lost)
{
    auto const & registered = context.m_state.m_leasing.m_upstreams;
    auto const found = registered.find(lost.m_name);
    if (found != registered.end() && lost.m_incarnation != 0 &&
        found->second.m_incarnation > lost.m_incarnation)
    {
        observe_crash(context, lost);
    }
}

void log_loss(step_context & context, dispatch::task_loss const & loss)
{
    dispatch::upstream_identity const & upstream = loss.m_loss.m_upstream;
    for (dispatch::task_identity const & task : loss.m_loss.m_tasks)
    {
        dispatch::loss_count const count =
            dispatch::count_losses(context.m_state.m_dispatch.m_crashes, task);
        context.m_actions.emplace_back(log_event{
            "upstream_lost_under_task",
            task.m_job,
            {},
            fmt::format("task={} upstream={} incarnation={} losses={} crashes={} "
                        "from={}",
                        task.m_task, upstream.m_name, upstream.m_incarnation,
                        count.m_losses, count.m_crashes,
                        loss.m_from.m_value.empty() ? "own" : loss.m_from.m_value)});
    }
}

/// \returns the upstreams that were lost under a task, separated by commas, each with its
/// incarnation and whether it is known to have crashed.
std::string describe_losses(dispatch::suspected_task const & entry)
{
    std::string text;
    for (auto const & [upstream, fate] : entry.m_upstreams)
    {
        text +=
            fmt::format("{}{}/{}:{}", text.empty() ? "" : ",", upstream.m_name,
                        upstream.m_incarnation,
                        fate == dispatch::upstream_fate::crashed ? "crashed" : "unknown");
    }
    return text;
}

} // namespace

void report_losses(step_context & context, std::span<dispatch::task_loss const> losses)
{
    for (dispatch::task_loss const & loss : losses)
    {
        log_loss(context, loss);
        send_to_members(context, loss.m_loss);
        compare_registration(context, loss.m_loss.m_upstream);
    }
}

void report_fate(step_context & context, dispatch::upstream_loss const & fate)
{
    if (context.m_state.m_dispatch.m_crashes.m_by_upstream.contains(fate.m_upstream))
    {
        send_to_members(context, fate);
    }
    dispatch::record_loss(context.m_state.m_dispatch, fate, context.m_now);
}

void observe_crash(step_context & context, dispatch::upstream_identity upstream)
{
    dispatch::record_loss(context.m_state.m_dispatch,
                          {std::move(upstream), dispatch::upstream_fate::crashed, {}, {}},
                          context.m_now);
}

void receive_loss(step_context & context, dispatch::upstream_loss const & loss)
{
    dispatch::record_loss(context.m_state.m_dispatch, loss, context.m_now);
    if (loss.m_fate == dispatch::upstream_fate::unknown)
    {
        compare_registration(context, loss.m_upstream);
    }
}

void send_known_losses(step_context & context, instance_id const & peer)
{
    for (dispatch::upstream_loss & loss :
         dispatch::list_losses(context.m_state.m_dispatch.m_crashes, context.m_now))
    {
        for (std::size_t first = 0; first < loss.m_tasks.size();
             first += max_noticed_tasks)
        {
            std::size_t const last =
                std::min(first + max_noticed_tasks, loss.m_tasks.size());
            dispatch::upstream_loss part{loss.m_upstream, loss.m_fate, {}, loss.m_age};
            part.m_tasks.assign(loss.m_tasks.begin() + static_cast<std::ptrdiff_t>(first),
                                loss.m_tasks.begin() + static_cast<std::ptrdiff_t>(last));
            send(context, peer, loss_notice{std::move(part)});
        }
    }
}

void log_forbidden_tasks(step_context & context, job_key const & key)
{
    dispatch::crash_history const & history = context.m_state.m_dispatch.m_crashes;
    auto next = history.m_tasks.lower_bound({key.m_tenant, key.m_key, 0});
    for (; next != history.m_tasks.end() && next->first.m_tenant == key.m_tenant &&
           next->first.m_job == key.m_key;
         ++next)
    {
        dispatch::crash_verdict const verdict =
            dispatch::judge_task(history, key.m_tenant, key.m_key, next->first.m_task);
        bool const convicted = verdict == dispatch::crash_verdict::convicted;
        if (convicted || verdict == dispatch::crash_verdict::withheld)
        {
            context.m_actions.emplace_back(
                log_event{convicted ? "task_convicted" : "job_withheld",
                          key.m_key,
                          {},
                          fmt::format("task={} upstreams={}", next->first.m_task,
                                      describe_losses(next->second))});
            return;
        }
    }
}

void refuse_submission(step_context & context, answer_route const & route,
                       job_key const & key, std::error_code error)
{
    dispatch::record_refusal(context.m_state.m_dispatch, error);
    if (error == job_errc::crashes_upstreams || error == job_errc::crash_suspected)
    {
        log_forbidden_tasks(context, key);
    }
    if (error == job_errc::crashes_upstreams)
    {
        // An earlier submission of the job has run, and the task is not run again.
        answer(context, route, {error, run_state::yes, {}, {}});
        return;
    }
    refuse(context, route, error);
}

} // namespace cassiahub::decision::internal
