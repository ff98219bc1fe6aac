#include "load/load_duties.hpp"

#include <cassiahub/http.hpp>
#include <cassiahub/load/load_run.hpp>
#include <cassiahub/runtime/boot_clock.hpp>
#include <cassiahub/runtime/supervisor.hpp>

#include <fmt/format.h>

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <type_traits>
#include <utility>

namespace cassiahub::load
{

namespace internal
{

namespace
{

constexpr duration fault_timeout = std::chrono::seconds(5);
/// A duty that has no more work waits this long for the stop request.
constexpr duration max_wait = std::chrono::hours(24);

/// Outcomes received so far and the number expected.
struct progress
{
    std::uint64_t m_ended = 0;
    std::uint64_t m_expected = 0; ///< valid once m_all_sent is set
    bool m_all_sent = false;
};

void handle_event(run_context & context, load_report & report, progress & counts,
                  collector_event const & received)
{
    if (auto const * const end = std::get_if<generation_finished>(&received))
    {
        counts.m_all_sent = true;
        counts.m_expected = end->m_count;
        return;
    }
    ++counts.m_ended;
    add_outcome(context.m_plan, report, std::get<submission_outcome>(received));
}

runtime::supervisor_spec make_supervisor_tree(run_context & context, load_report & report,
                                              std::stop_source & finished)
{
    using runtime::restart_policy;
    runtime::supervisor_spec tree;
    tree.m_name = "load";
    tree.m_max_restarts = 0;
    tree.m_children.push_back({"collector", [&](std::stop_token const & token)
                               {
                                   return run_collector(context, report, finished, token);
                               }});
    runtime::supervisor_spec senders;
    senders.m_name = "senders";
    senders.m_max_restarts = 0;
    for (std::uint32_t index = 0; index < context.m_plan.m_senders; ++index)
    {
        senders.m_children.push_back({fmt::format("sender-{}", index),
                                      [&](std::stop_token const & token)
                                      {
                                          return run_sender(context, token);
                                      }});
    }
    tree.m_children.push_back(runtime::as_child(std::move(senders)));
    tree.m_children.push_back({"faults", [&](std::stop_token const & token)
                               {
                                   return run_fault_injector(context, token);
                               }});
    tree.m_children.push_back({"generator", [&](std::stop_token const & token)
                               {
                                   return run_generator(context, token);
                               }});
    return tree;
}

} // namespace

bool wait_until(time_point when, std::stop_token const & stop)
{
    std::mutex mutex;
    std::condition_variable_any changed;
    std::unique_lock<std::mutex> lock(mutex);
    duration const remaining = when - runtime::read_boot_clock();
    changed.wait_for(lock, stop, remaining, [] { return false; });
    return !stop.stop_requested();
}

std::error_code run_generator(run_context & context, std::stop_token const & stop)
{
    arrival_state state = make_arrival_state(context.m_plan, context.m_run_id);
    std::uint64_t count = 0;
    while (std::optional<arrival> item = next_arrival(context.m_plan, state))
    {
        if (!wait_until(context.m_start + item->m_at, stop) ||
            !context.m_arrivals.push(std::move(*item), stop))
        {
            return {};
        }
        ++count;
    }
    context.m_outcomes.push(generation_finished{count}, stop);
    wait_until(runtime::read_boot_clock() + max_wait, stop);
    return {};
}

std::error_code run_fault_injector(run_context & context, std::stop_token const & stop)
{
    for (scheduled_fault const & item : context.m_plan.m_faults)
    {
        if (!wait_until(context.m_start + item.m_at, stop))
        {
            return {};
        }
        http::response received;
        std::error_code const error = http::exchange_once(
            item.m_address, {"PUT", item.m_path, item.m_query, {}, item.m_body},
            fault_timeout, received);
        std::cerr << fmt::format(
            "{:.0f} s: fault {}: {}\n", std::chrono::duration<double>(item.m_at).count(),
            item.m_name, error ? error.message() : std::to_string(received.m_status));
    }
    wait_until(runtime::read_boot_clock() + max_wait, stop);
    return {};
}

std::error_code run_collector(run_context & context, load_report & report,
                              std::stop_source & finished, std::stop_token const & stop)
{
    progress counts;
    time_point next_progress = context.m_start + context.m_plan.m_progress_period;
    std::vector<collector_event> received;
    while (!stop.stop_requested())
    {
        received.clear();
        time_point const now = runtime::read_boot_clock();
        context.m_outcomes.pop_all(received,
                                   std::max(next_progress - now, duration::zero()), stop);
        for (collector_event const & item : received)
        {
            handle_event(context, report, counts, item);
        }
        if (runtime::read_boot_clock() >= next_progress)
        {
            std::cerr << format_progress(report, next_progress - context.m_start) << '\n';
            next_progress += context.m_plan.m_progress_period;
        }
        if (counts.m_all_sent && counts.m_ended == counts.m_expected)
        {
            finished.request_stop();
            wait_until(runtime::read_boot_clock() + max_wait, stop);
        }
    }
    return {};
}

} // namespace internal

std::error_code run_load(load_plan const & plan, std::stop_token const & stop,
                         load_report & report)
{
    // Lets the senders start before the first arrival.
    constexpr duration start_delay = std::chrono::milliseconds(200);
    upstream_totals const before = internal::read_upstreams(plan);
    time_point const start = runtime::read_boot_clock() + start_delay;
    // Keys of two runs must differ: a job with a known key is answered with the result of
    // the earlier job.
    report.m_run_id = fmt::format("{:x}", to_milliseconds(start.time_since_epoch()));
    internal::run_context context{plan, start, report.m_run_id};
    std::stop_source finished;
    std::stop_callback const interrupted(stop, [&finished] { finished.request_stop(); });
    runtime::supervisor_spec const tree =
        internal::make_supervisor_tree(context, report, finished);
    std::error_code const error = runtime::supervise(tree, finished.get_token());
    report.m_upstreams = internal::subtract(internal::read_upstreams(plan), before);
    internal::verify_starts(plan, report);
    return error;
}

} // namespace cassiahub::load
