#include "standin/upstream_state.hpp"

#include <cassiahub/runtime/boot_clock.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cassiahub::standin
{

namespace internal
{

namespace
{

/// Indexes of the upstreams that a control request selects, both inclusive.
struct upstream_range
{
    std::uint32_t m_first = 0;
    std::uint32_t m_last = 0;
};

/// Reads ?upstream=INDEX or ?upstream=all. The default is the upstream on whose port the
/// request arrived.
std::optional<upstream_range> select_upstreams(std::deque<upstream_state> const & states,
                                               upstream_state const & addressed,
                                               http::request const & received)
{
    std::string const text = http::query_value(received.m_query, "upstream");
    auto const count = static_cast<std::uint32_t>(states.size());
    if (text.empty())
    {
        return upstream_range{addressed.m_index, addressed.m_index};
    }
    if (text == "all")
    {
        return upstream_range{0, count - 1};
    }
    std::uint64_t const index = to_number(text);
    if (index >= count || std::to_string(index) != text)
    {
        return std::nullopt;
    }
    return upstream_range{static_cast<std::uint32_t>(index),
                          static_cast<std::uint32_t>(index)};
}

void apply_faults(upstream_state & state, upstream_faults const & faults)
{
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    if (faults.m_leave && !state.m_faults.m_leave)
    {
        state.m_leaving_since = runtime::read_boot_clock();
    }
    state.m_faults = faults;
    state.m_changed.notify_all();
}

optional_response serve_faults(std::deque<upstream_state> & states, upstream_range range,
                               http::request const & received)
{
    if (received.m_method == "PUT")
    {
        upstream_faults faults;
        std::string message = parse_upstream_faults(received.m_body, faults);
        if (!message.empty())
        {
            return make_text(400, std::move(message));
        }
        for (std::uint32_t index = range.m_first; index <= range.m_last; ++index)
        {
            apply_faults(states[index], faults);
        }
    }
    upstream_state & first = states[range.m_first];
    std::lock_guard<std::mutex> const lock(first.m_mutex);
    return make_json(format_upstream_faults(first.m_faults));
}

optional_response serve_control(std::deque<upstream_state> & states,
                                upstream_state & addressed,
                                http::request const & received)
{
    std::optional<upstream_range> const range =
        select_upstreams(states, addressed, received);
    if (!range)
    {
        return make_text(400, fmt::format("upstream: bad value, allowed: all, 0 to {}\n",
                                          states.size() - 1));
    }
    if (received.m_path == "/faults")
    {
        return serve_faults(states, *range, received);
    }
    if (received.m_path == "/starts")
    {
        return list_starts(states[range->m_first], received);
    }
    if (received.m_path == "/stats")
    {
        return report_stats(states, range->m_first, range->m_last);
    }
    if (received.m_path == "/usage")
    {
        return report_usage(states[range->m_first]);
    }
    return make_text(404, "not found\n");
}

optional_response serve_upstream(std::deque<upstream_state> & states,
                                 upstream_state & addressed,
                                 http::request const & received)
{
    constexpr std::string_view tasks_path = "/v1/tasks";
    std::string_view const path = received.m_path;
    if (path == tasks_path && received.m_method == "POST")
    {
        return serve_task(addressed, received);
    }
    if (path.starts_with("/v1/tasks/") && received.m_method == "DELETE")
    {
        return serve_cancellation(addressed, path.substr(tasks_path.size() + 1));
    }
    return serve_control(states, addressed, received);
}

listener listen(std::deque<upstream_state> & states, upstream_state & state,
                std::error_code & error)
{
    upstream_options const & options = state.m_options;
    return start_listener(
        fmt::format("{}:{}", options.m_host, options.m_first_port + state.m_index),
        options.m_connections,
        [&states, &state](http::request const & received)
        { return serve_upstream(states, state, received); },
        error);
}

/// Ends the server of a crashed upstream.
/// \returns when the upstream serves again.
time_point take_down(upstream_state & state, listener & server)
{
    server.reset();
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    return runtime::read_boot_clock() + state.m_faults.m_crash_time;
}

/// Serves again, as a worker that remembers no attempt and no fencing epoch.
std::error_code bring_up(std::deque<upstream_state> & states, upstream_state & state,
                         listener & server)
{
    {
        std::lock_guard<std::mutex> const lock(state.m_mutex);
        state.m_crashed = false;
        state.m_attempts.clear();
        state.m_attempt_order.clear();
        state.m_epochs.clear();
    }
    std::error_code error;
    server = listen(states, state, error);
    return error;
}

/// Takes crashed upstreams down and brings them up again until \p stop is requested.
std::error_code restart_crashed(std::deque<upstream_state> & states,
                                std::vector<listener> & servers,
                                runtime::bounded_ring<std::uint32_t> & crashes,
                                std::stop_token const & stop)
{
    constexpr duration idle_wait = std::chrono::hours(1);
    std::map<std::uint32_t, time_point> down; // until when, by index
    while (!stop.stop_requested())
    {
        time_point const now = runtime::read_boot_clock();
        duration wait = idle_wait;
        for (auto const & [index, until] : down)
        {
            wait = std::min(wait, until - now);
        }
        if (wait > duration::zero())
        {
            if (auto const crashed = crashes.pop(wait, stop))
            {
                down[*crashed] = take_down(states[*crashed], servers[*crashed]);
            }
            continue;
        }
        auto const due =
            std::find_if(down.begin(), down.end(),
                         [now](auto const & item) { return item.second <= now; });
        if (std::error_code const error =
                bring_up(states, states[due->first], servers[due->first]))
        {
            return error;
        }
        down.erase(due);
    }
    return {};
}

/// Wakes every waiting request, so that the servers can stop.
void wake_waiting_requests(std::deque<upstream_state> & states)
{
    for (upstream_state & state : states)
    {
        std::lock_guard<std::mutex> const lock(state.m_mutex);
        state.m_stopping = true;
        state.m_changed.notify_all();
    }
}

} // namespace

} // namespace internal

std::error_code run_upstreams(upstream_options const & options,
                              std::stop_token const & stop)
{
    internal::start_log starts;
    runtime::bounded_ring<std::uint32_t> crashes(std::max(1U, options.m_count));
    std::deque<internal::upstream_state> states;
    for (std::uint32_t index = 0; index < options.m_count; ++index)
    {
        states.emplace_back(options, index, starts, crashes);
    }
    std::vector<internal::listener> servers;
    for (internal::upstream_state & state : states)
    {
        std::error_code error;
        servers.push_back(internal::listen(states, state, error));
        if (error)
        {
            return error;
        }
    }
    std::error_code const error =
        internal::restart_crashed(states, servers, crashes, stop);
    internal::wake_waiting_requests(states);
    return error;
}

} // namespace cassiahub::standin
