#include "standin/platform_state.hpp"

#include <cassiahub/runtime/boot_clock.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <thread>

namespace cassiahub::standin::internal
{

namespace
{

/// Counts one request. \returns false when it exceeds \p limit per second (0: no limit).
bool count_request(rate_counter & counter, std::uint32_t limit, time_point now)
{
    std::int64_t const second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != counter.m_second)
    {
        counter.m_second = second;
        counter.m_count_in_second = 0;
    }
    if (limit > 0 && counter.m_count_in_second >= limit)
    {
        ++counter.m_refused;
        return false;
    }
    ++counter.m_total;
    ++counter.m_count_in_second;
    counter.m_highest_count_in_second =
        std::max(counter.m_highest_count_in_second, counter.m_count_in_second);
    return true;
}

nlohmann::json to_json(rate_counter const & counter)
{
    return {{"total", counter.m_total},
            {"refused", counter.m_refused},
            {"highest_per_second", counter.m_highest_count_in_second}};
}

} // namespace

optional_response admit(platform_state & state, http::request const & received,
                        request_class kind)
{
    std::string_view const viewer = http::find_header(received.m_headers, "User-Agent");
    bool const writes = kind == request_class::write;
    duration delay{0};
    {
        std::lock_guard<std::mutex> const lock(state.m_mutex);
        platform_faults const & faults = state.m_faults;
        if (faults.m_down || faults.m_down_for.contains(viewer))
        {
            return make_text(503, "the platform is down\n");
        }
        if (!count_request(writes ? state.m_writes : state.m_reads,
                           writes ? faults.m_max_writes_per_second
                                  : faults.m_max_reads_per_second,
                           runtime::read_boot_clock()))
        {
            http::response refusal = make_text(503, "above the request limit\n");
            refusal.m_headers.push_back({"Retry-After", "1"});
            return refusal;
        }
        delay = writes ? state.m_options.m_write_delay + faults.m_write_delay
                       : faults.m_read_delay;
    }
    if (delay > duration::zero())
    {
        std::this_thread::sleep_for(delay);
    }
    return std::nullopt;
}

optional_response apply_response_loss(platform_state & state, http::response response)
{
    platform_faults & faults = state.m_faults;
    bool lost = faults.m_lose_answers > 0;
    if (lost)
    {
        --faults.m_lose_answers;
    }
    else if (faults.m_lose_probability > 0)
    {
        lost = std::bernoulli_distribution(faults.m_lose_probability)(state.m_random);
    }
    if (lost)
    {
        ++state.m_lost_responses;
        return std::nullopt;
    }
    return response;
}

optional_response serve_platform_faults(platform_state & state,
                                        http::request const & received)
{
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    if (received.m_method == "PUT")
    {
        std::string message = parse_platform_faults(received.m_body, state.m_faults);
        if (!message.empty())
        {
            return make_text(400, std::move(message));
        }
        state.m_random.seed(state.m_faults.m_lose_seed);
    }
    return make_json(format_platform_faults(state.m_faults));
}

optional_response serve_platform_stats(platform_state & state)
{
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    return make_json(nlohmann::json({{"reads", to_json(state.m_reads)},
                                     {"writes", to_json(state.m_writes)},
                                     {"lost_answers", state.m_lost_responses},
                                     {"rows", state.m_table.m_rows.size()},
                                     {"write_ids", state.m_table.m_writes.size()}})
                         .dump());
}

} // namespace cassiahub::standin::internal
