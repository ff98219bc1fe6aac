#include "standin/upstream_state.hpp"

#include <cassiahub/codec/task_headers.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cassiahub::standin::internal
{

namespace
{

std::string_view header_value(http::request const & received,
                              std::string_view name) noexcept
{
    return http::find_header(received.m_headers, name);
}

/// Parts of a task request that the worker checks.
struct task_request
{
    std::string m_attempt;
    std::string m_shard;
    std::uint64_t m_epoch = 0;
    resources m_demand;
    duration m_run_time{0};
};

std::uint32_t read_demand(http::request const & received, std::string_view name,
                          std::uint32_t default_value)
{
    std::string_view const text = header_value(received, name);
    return text.empty() ? default_value : static_cast<std::uint32_t>(to_number(text));
}

task_request parse_task(upstream_options const & options, http::request const & received)
{
    constexpr std::string_view prefix = "run_ms=";
    std::string_view const payload = received.m_body;
    resources const & defaults = options.m_task_demand;
    return {std::string(header_value(received, codec::attempt_header)),
            std::string(header_value(received, codec::fencing_shard_header)),
            to_number(header_value(received, codec::fencing_epoch_header)),
            {read_demand(received, millicores_header, defaults.m_millicores),
             read_demand(received, memory_header, defaults.m_memory_mib),
             read_demand(received, accelerators_header, defaults.m_accelerators)},
            payload.starts_with(prefix)
                ? std::chrono::milliseconds(to_number(payload.substr(prefix.size())))
                : options.m_run_time};
}

http::response make_task_response(upstream_state const & state, int status,
                                  std::string_view attempt, std::string_view ran,
                                  std::string body)
{
    http::response response = make_text(status, std::move(body));
    response.m_headers = {{std::string(codec::attempt_header), std::string(attempt)},
                          {std::string(codec::ran_header), std::string(ran)}};
    if (state.m_faults.m_leave)
    {
        response.m_headers.push_back({std::string(codec::leaving_header), "true"});
    }
    return response;
}

resources free_capacity(upstream_state const & state)
{
    resources free = state.m_options.m_capacity;
    subtract_resources(free, state.m_used);
    return free;
}

/// \returns why the worker refuses the task, or an empty view if it accepts it.
std::string_view refusal_reason(upstream_state const & state, task_request const & task)
{
    auto const attempt = state.m_attempts.find(task.m_attempt);
    auto const epoch = state.m_epochs.find(task.m_shard);
    if (state.m_stopping || state.m_faults.m_refuse)
    {
        return "refusing";
    }
    if (state.m_faults.m_leave && runtime::read_boot_clock() - state.m_leaving_since >=
                                      state.m_faults.m_leave_grace)
    {
        return "leaving";
    }
    if (attempt != state.m_attempts.end())
    {
        return attempt->second ? "cancelled" : "repeated_attempt";
    }
    if (epoch != state.m_epochs.end() && task.m_epoch < epoch->second)
    {
        return "epoch";
    }
    if (state.m_running >= state.m_options.m_slots)
    {
        return "slots";
    }
    return fits(task.m_demand, free_capacity(state)) ? std::string_view() : "capacity";
}

void record_attempt(upstream_state & state, std::string const & attempt, bool cancelled)
{
    auto const [entry, added] = state.m_attempts.emplace(attempt, cancelled);
    entry->second = cancelled;
    if (added)
    {
        state.m_attempt_order.push_back(attempt);
    }
    if (state.m_attempt_order.size() > max_attempts)
    {
        state.m_attempts.erase(state.m_attempt_order.front());
        state.m_attempt_order.pop_front();
    }
}

/// Occupies a slot and the resources of the task.
/// \pre refusal_reason() is empty, state.m_mutex is held
void start_task(upstream_state & state, task_request const & task,
                http::request const & received)
{
    std::uint64_t & highest = state.m_epochs[task.m_shard];
    highest = std::max(highest, task.m_epoch);
    record_attempt(state, task.m_attempt, false);
    ++state.m_started;
    ++state.m_running;
    state.m_highest_running = std::max(state.m_highest_running, state.m_running);
    // m_used counts the occupied resources, not the free ones, so a start adds to it.
    add_resources(state.m_used, task.m_demand);
    sample_usage(state);
    record_start(state.m_starts,
                 {0, state.m_index,
                  fmt::format("{}/{}/{}", header_value(received, codec::tenant_header),
                              header_value(received, codec::home_domain_header),
                              header_value(received, codec::key_header)),
                  std::string(header_value(received, codec::task_header)), task.m_attempt,
                  std::string(header_value(received, codec::kind_header)),
                  to_milliseconds(runtime::read_boot_clock().time_since_epoch())});
}

bool is_cancelled(upstream_state const & state, std::string const & attempt)
{
    auto const found = state.m_attempts.find(attempt);
    return found != state.m_attempts.end() && found->second;
}

void wait_while_paused(upstream_state & state, std::unique_lock<std::mutex> & lock)
{
    state.m_changed.wait(
        lock,
        [&] { return state.m_stopping || state.m_crashed || !state.m_faults.m_pause; });
}

/// Waits for the run time of a started task, then releases its slot and resources.
/// \returns false when the task was cancelled or the upstream crashes or stops.
bool run_task(upstream_state & state, task_request const & task,
              std::unique_lock<std::mutex> & lock)
{
    auto const run_time = state.m_faults.m_fail
                              ? duration::zero()
                              : std::chrono::duration_cast<duration>(
                                    std::chrono::duration<double, std::nano>(
                                        static_cast<double>(task.m_run_time.count()) *
                                        state.m_faults.m_straggle_factor));
    bool const ended_early =
        state.m_changed.wait_for(lock, run_time,
                                 [&] {
                                     return state.m_stopping || state.m_crashed ||
                                            is_cancelled(state, task.m_attempt);
                                 });
    --state.m_running;
    subtract_resources(state.m_used, task.m_demand);
    sample_usage(state);
    ++(ended_early ? state.m_cancelled : state.m_finished);
    return !ended_early;
}

bool crashes_upstream(upstream_faults const & faults, std::string_view payload)
{
    return !faults.m_crash_payload.empty() &&
           payload.find(faults.m_crash_payload) != std::string_view::npos;
}

/// Breaks every connection and refuses new ones.
/// \pre state.m_mutex is held
void crash(upstream_state & state)
{
    state.m_crashed = true;
    ++state.m_crash_count;
    state.m_changed.notify_all();
    close_sockets(state.m_options.m_first_port + state.m_index);
    // The ring holds one item for each upstream, and an upstream crashes only once before
    // its item is removed.
    state.m_crashes.try_push(std::uint32_t(state.m_index));
}

} // namespace

optional_response serve_task(upstream_state & state, http::request const & received)
{
    task_request const task = parse_task(state.m_options, received);
    std::unique_lock<std::mutex> lock(state.m_mutex);
    wait_while_paused(state, lock);
    if (state.m_crashed)
    {
        return std::nullopt;
    }
    std::string_view const reason = refusal_reason(state, task);
    if (!reason.empty())
    {
        ++state.m_refused[std::string(reason)];
        return make_task_response(state, 503, task.m_attempt, "no",
                                  fmt::format("refused: {}\n", reason));
    }
    start_task(state, task, received);
    bool const task_fails = state.m_faults.m_fail;
    bool const completed = run_task(state, task, lock);
    if (completed && crashes_upstream(state.m_faults, received.m_body))
    {
        crash(state);
    }
    wait_while_paused(state, lock);
    if (state.m_crashed)
    {
        return std::nullopt;
    }
    if (state.m_faults.m_drop_answers)
    {
        ++state.m_dropped_responses;
        return std::nullopt;
    }
    if (!completed)
    {
        return make_task_response(state, 409, task.m_attempt, "yes", "cancelled\n");
    }
    if (task_fails)
    {
        return make_task_response(state, 500, task.m_attempt, "yes", "task failed\n");
    }
    return make_task_response(
        state, 200, task.m_attempt, "yes",
        fmt::format("{}/{}:{}", header_value(received, codec::key_header),
                    header_value(received, codec::task_header), received.m_body));
}

optional_response serve_cancellation(upstream_state & state, std::string_view attempt)
{
    std::unique_lock<std::mutex> lock(state.m_mutex);
    wait_while_paused(state, lock);
    if (state.m_crashed)
    {
        return std::nullopt;
    }
    // Recorded even if unknown: an attempt cancelled before it arrives must not start.
    record_attempt(state, std::string(attempt), true);
    state.m_changed.notify_all();
    return make_text(204, {});
}

} // namespace cassiahub::standin::internal
