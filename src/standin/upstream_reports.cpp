#include "standin/upstream_state.hpp"

#include <cassiahub/runtime/boot_clock.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cassiahub::standin::internal
{

using nlohmann::json;

namespace
{

constexpr std::size_t page_size = 1000;

std::string task_name(observed_start const & start)
{
    return fmt::format("{} {}", start.m_job, start.m_task);
}

json to_json(resources const & value)
{
    return {{"millicores", value.m_millicores},
            {"memory_mib", value.m_memory_mib},
            {"accelerators", value.m_accelerators}};
}

} // namespace

void record_start(start_log & log, observed_start start)
{
    std::lock_guard<std::mutex> const lock(log.m_mutex);
    start.m_sequence = ++log.m_sequence;
    // A worker refuses an attempt it has seen before, so each start belongs to a new
    // attempt.
    if (++log.m_starts_by_task[task_name(start)] > 1)
    {
        ++log.m_repeated;
        ++log.m_repeated_by_kind[start.m_kind];
    }
    log.m_starts.push_back(std::move(start));
    if (log.m_starts.size() > max_starts)
    {
        auto const oldest = log.m_starts_by_task.find(task_name(log.m_starts.front()));
        if (--oldest->second == 0)
        {
            log.m_starts_by_task.erase(oldest);
        }
        log.m_starts.pop_front();
    }
}

void sample_usage(upstream_state & state)
{
    time_point const now = runtime::read_boot_clock();
    state.m_usage.push_back({now, state.m_used});
    // The oldest sample is reported until the second oldest is older than the lag.
    while (state.m_usage.size() > 1 &&
           state.m_usage[1].m_valid_from + state.m_options.m_usage_lag < now)
    {
        state.m_usage.pop_front();
    }
}

http::response list_starts(upstream_state & state, http::request const & received)
{
    std::uint64_t const after = to_number(http::query_value(received.m_query, "after"));
    bool const all_upstreams = http::query_value(received.m_query, "upstream") == "all";
    json starts = json::array();
    start_log & log = state.m_starts;
    std::lock_guard<std::mutex> const lock(log.m_mutex);
    auto start = std::partition_point(log.m_starts.begin(), log.m_starts.end(),
                                      [after](observed_start const & candidate)
                                      { return candidate.m_sequence <= after; });
    for (; start != log.m_starts.end() && starts.size() < page_size; ++start)
    {
        if (all_upstreams || start->m_upstream == state.m_index)
        {
            starts.push_back({{"sequence", start->m_sequence},
                              {"upstream", start->m_upstream},
                              {"job", start->m_job},
                              {"task", start->m_task},
                              {"attempt", start->m_attempt},
                              {"kind", start->m_kind},
                              {"time_ms", start->m_time_ms}});
        }
    }
    return make_json(starts.dump());
}

http::response report_stats(std::deque<upstream_state> & states, std::uint32_t first,
                            std::uint32_t last)
{
    json upstreams = json::array();
    std::uint64_t total = 0;
    for (std::uint32_t index = first; index <= last; ++index)
    {
        upstream_state & state = states[index];
        std::lock_guard<std::mutex> const lock(state.m_mutex);
        total += state.m_started;
        upstreams.push_back({{"upstream", index},
                             {"starts", state.m_started},
                             {"finished", state.m_finished},
                             {"cancelled", state.m_cancelled},
                             {"dropped_answers", state.m_dropped_responses},
                             {"crashes", state.m_crash_count},
                             {"refused", state.m_refused},
                             {"running", state.m_running},
                             {"highest_running", state.m_highest_running}});
    }
    start_log & log = states[first].m_starts;
    std::lock_guard<std::mutex> const lock(log.m_mutex);
    return make_json(json({{"upstreams", std::move(upstreams)},
                           {"starts", total},
                           {"repeated_starts", log.m_repeated},
                           {"repeated_starts_by_kind", log.m_repeated_by_kind}})
                         .dump());
}

http::response report_usage(upstream_state & state)
{
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    time_point const limit = runtime::read_boot_clock() - state.m_options.m_usage_lag;
    resources reported{0, 0, 0};
    for (usage_sample const & sample : state.m_usage)
    {
        if (sample.m_valid_from <= limit)
        {
            reported = sample.m_used;
        }
    }
    return make_json(json({{"capacity", to_json(state.m_options.m_capacity)},
                           {"used", to_json(reported)},
                           {"lag_ms", to_milliseconds(state.m_options.m_usage_lag)}})
                         .dump());
}

} // namespace cassiahub::standin::internal
