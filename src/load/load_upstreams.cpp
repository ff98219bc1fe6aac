#include "load/load_duties.hpp"

#include <cassiahub/http.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
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

/// Starts of one run over all processes.
struct run_starts
{
    std::unordered_set<std::string> m_keys;
    std::unordered_set<std::string> m_tasks; ///< "job task"
    std::map<std::string, std::uint64_t> m_repeated_by_kind;
};

void add_start(json const & start, std::string const & run, run_starts & found)
{
    // A job is named tenant/domain/key.
    std::string const job = start.at("job").get<std::string>();
    std::string const key = job.substr(job.rfind('/') + 1);
    if (!key.starts_with(run))
    {
        return;
    }
    found.m_keys.insert(key);
    // The name of the home domain is left out: one key of a run is one job.
    if (!found.m_tasks.insert(key + ' ' + start.at("task").get<std::string>()).second)
    {
        ++found.m_repeated_by_kind[start.at("kind").get<std::string>()];
    }
}

void add_starts_of(std::string const & address, std::string const & run,
                   run_starts & found)
{
    std::uint64_t after = 0;
    for (;;)
    {
        json const page =
            get(address, "/starts", fmt::format("upstream=all&after={}", after));
        if (!page.is_array() || page.empty())
        {
            return;
        }
        for (json const & start : page)
        {
            add_start(start, run, found);
        }
        after = page.back().at("sequence").get<std::uint64_t>();
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

void check_starts(load_plan const & plan, load_report & report)
{
    run_starts found;
    for (std::string const & address : plan.m_upstreams)
    {
        add_starts_of(address, report.m_run, found);
    }
    for (std::string const & key : report.m_not_run_keys)
    {
        report.m_started_despite_refusal += found.m_keys.contains(key) ? 1 : 0;
    }
    for (auto const & [kind, count] : found.m_repeated_by_kind)
    {
        std::uint64_t & known = report.m_upstreams.m_repeated_by_kind[kind];
        known = std::max(known, count);
    }
}

} // namespace cassiahub::load::internal
