#include <cassiahub/codec.hpp>
#include <cassiahub/http.hpp>
#include <cassiahub/runtime.hpp>
#include <cassiahub/standin/upstream_server.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace cassiahub::standin
{

namespace internal
{

/// One start that an upstream saw.
struct observed_start
{
    std::string m_job;
    std::string m_task;
    std::string m_attempt;
    std::int64_t m_time_ms = 0;
};

/// One upstream with the guarded worker behind it.
struct upstream_state
{
    upstream_state(upstream_options const & options, std::string name)
        : m_options(options), m_name(std::move(name))
    {
    }

    upstream_options const & m_options;
    std::string m_name;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint32_t m_running = 0;
    std::map<std::string, bool, std::less<>> m_attempts;        ///< true: cancelled
    std::map<std::string, std::uint64_t, std::less<>> m_epochs; ///< highest, by shard
    std::vector<observed_start> m_starts;
};

std::uint64_t parse_number(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string_view field(http::request const & received, std::string_view name) noexcept
{
    return http::find_header(received.m_headers, name);
}

duration run_time_of(upstream_state const & state, std::string_view payload)
{
    constexpr std::string_view prefix = "run_ms=";
    if (!payload.starts_with(prefix))
    {
        return state.m_options.m_run_time;
    }
    return std::chrono::milliseconds(parse_number(payload.substr(prefix.size())));
}

http::response make_response(int status, std::string_view attempt, std::string_view ran,
                             std::string body)
{
    return {status,
            "text/plain",
            {{std::string(codec::attempt_header), std::string(attempt)},
             {std::string(codec::ran_header), std::string(ran)}},
            std::move(body)};
}

/// Checks slot, attempt and fencing token, and takes the slot.
/// \returns false when the task must not start.
bool try_start(upstream_state & state, http::request const & received)
{
    std::string const attempt(field(received, codec::attempt_header));
    std::string const shard(field(received, codec::fencing_shard_header));
    std::uint64_t const epoch =
        parse_number(field(received, codec::fencing_epoch_header));
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    std::uint64_t & highest = state.m_epochs[shard];
    if (state.m_running >= state.m_options.m_slots || epoch < highest ||
        state.m_attempts.contains(attempt))
    {
        return false;
    }
    highest = epoch;
    ++state.m_running;
    state.m_attempts.emplace(attempt, false);
    state.m_starts.push_back(
        {fmt::format("{}/{}/{}", field(received, codec::tenant_header),
                     field(received, codec::home_domain_header),
                     field(received, codec::key_header)),
         std::string(field(received, codec::task_header)), attempt,
         to_milliseconds(runtime::read_boot_clock().time_since_epoch())});
    return true;
}

http::response run_task(upstream_state & state, http::request const & received)
{
    std::string const attempt(field(received, codec::attempt_header));
    if (!try_start(state, received))
    {
        return make_response(503, attempt, "no", "refused\n");
    }
    std::unique_lock<std::mutex> lock(state.m_mutex);
    bool const cancelled =
        state.m_changed.wait_for(lock, run_time_of(state, received.m_body),
                                 [&] { return state.m_attempts[attempt]; });
    --state.m_running;
    if (cancelled)
    {
        return make_response(409, attempt, "yes", "cancelled\n");
    }
    return make_response(200, attempt, "yes",
                         fmt::format("{}/{}:{}", field(received, codec::key_header),
                                     field(received, codec::task_header),
                                     received.m_body));
}

http::response cancel_task(upstream_state & state, std::string_view attempt)
{
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    // An attempt that is cancelled before it arrives must not start later.
    state.m_attempts[std::string(attempt)] = true;
    state.m_changed.notify_all();
    return {204, "text/plain", {}, ""};
}

http::response list_starts(upstream_state & state)
{
    nlohmann::json starts = nlohmann::json::array();
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    for (observed_start const & start : state.m_starts)
    {
        starts.push_back({{"job", start.m_job},
                          {"task", start.m_task},
                          {"attempt", start.m_attempt},
                          {"time_ms", start.m_time_ms}});
    }
    return {200, "application/json", {}, starts.dump()};
}

http::response serve_upstream(upstream_state & state, http::request const & received)
{
    constexpr std::string_view tasks_path = "/v1/tasks";
    if (received.m_path == tasks_path && received.m_method == "POST")
    {
        return run_task(state, received);
    }
    if (received.m_path.starts_with("/v1/tasks/") && received.m_method == "DELETE")
    {
        return cancel_task(
            state, std::string_view(received.m_path).substr(tasks_path.size() + 1));
    }
    if (received.m_path == "/starts")
    {
        return list_starts(state);
    }
    return {404, "text/plain", {}, "not found\n"};
}

} // namespace internal

std::error_code run_upstreams(upstream_options const & options,
                              std::stop_token const & stop)
{
    std::deque<internal::upstream_state> states;
    std::vector<http::server> servers;
    for (std::uint32_t index = 0; index < options.m_count; ++index)
    {
        http::server_options server_options;
        server_options.m_address =
            fmt::format("{}:{}", options.m_host, options.m_first_port + index);
        // Room for cancellations and status requests while every slot is taken.
        server_options.m_threads = options.m_slots * 2 + 4;
        internal::upstream_state & state =
            states.emplace_back(options, server_options.m_address);
        std::error_code error;
        servers.push_back(http::start_server(
            server_options,
            [&state](http::request const & received)
            { return internal::serve_upstream(state, received); },
            error));
        if (error)
        {
            return error;
        }
    }
    std::mutex mutex;
    std::condition_variable_any stopped;
    std::unique_lock<std::mutex> lock(mutex);
    stopped.wait(lock, stop, [] { return false; });
    return {};
}

} // namespace cassiahub::standin
