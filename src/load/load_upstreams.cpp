#include "load/load_duties.hpp"

#include <cassiahub/http.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <string>
#include <unordered_set>

namespace cassiahub::load::internal
{

using nlohmann::json;

namespace
{

constexpr duration control_timeout = std::chrono::seconds(10);

/// \returns the JSON answer to a GET, or a discarded value when there is none.
json get(std::string const & address, std::string path, std::string query)
{
    http::response received;
    std::error_code const error =
        http::exchange_once(address, {"GET", std::move(path), std::move(query), {}, {}},
                            control_timeout, received);
    return error || received.m_status != 200
               ? json(json::value_t::discarded)
               : json::parse(received.m_body, nullptr, false);
}

void add_stats(json const & stats, upstream_totals & totals)
{
    for (json const & upstream : stats.at("upstreams"))
    {
        totals.m_starts += upstream.at("starts").get<std::uint64_t>();
        totals.m_cancelled += upstream.at("cancelled").get<std::uint64_t>();
        for (auto const & [reason, count] : upstream.at("refused").items())
        {
            totals.m_refused += count.get<std::uint64_t>();
        }
    }
    for (auto const & [kind, count] : stats.at("repeated_starts_by_kind").items())
    {
        totals.m_repeated_by_kind[kind] += count.get<std::uint64_t>();
    }
}

std::uint64_t count_started_at(std::string const & address,
                               std::unordered_set<std::string> const & keys)
{
    std::unordered_set<std::string> started;
    std::uint64_t after = 0;
    for (;;)
    {
        json const page =
            get(address, "/starts", fmt::format("upstream=all&after={}", after));
        if (!page.is_array() || page.empty())
        {
            return started.size();
        }
        for (json const & start : page)
        {
            // A job is named tenant/domain/key.
            std::string const job = start.at("job").get<std::string>();
            std::string const key = job.substr(job.rfind('/') + 1);
            if (keys.contains(key))
            {
                started.insert(key);
            }
            after = start.at("sequence").get<std::uint64_t>();
        }
    }
}

} // namespace

upstream_totals read_upstreams(load_plan const & plan)
{
    upstream_totals totals;
    totals.m_known = !plan.m_upstreams.empty();
    for (std::string const & address : plan.m_upstreams)
    {
        json const stats = get(address, "/stats", "upstream=all");
        totals.m_known = totals.m_known && stats.is_object();
        if (stats.is_object())
        {
            add_stats(stats, totals);
        }
    }
    return totals;
}

upstream_totals subtract(upstream_totals after, upstream_totals const & before)
{
    after.m_known = after.m_known && before.m_known;
    after.m_starts -= before.m_starts;
    after.m_refused -= before.m_refused;
    after.m_cancelled -= before.m_cancelled;
    for (auto const & [kind, count] : before.m_repeated_by_kind)
    {
        after.m_repeated_by_kind[kind] -= count;
    }
    return after;
}

std::uint64_t count_started(load_plan const & plan, load_report const & report)
{
    std::unordered_set<std::string> const keys(report.m_not_run_keys.begin(),
                                               report.m_not_run_keys.end());
    std::uint64_t count = 0;
    for (std::string const & address : plan.m_upstreams)
    {
        count += keys.empty() ? 0 : count_started_at(address, keys);
    }
    return count;
}

} // namespace cassiahub::load::internal
