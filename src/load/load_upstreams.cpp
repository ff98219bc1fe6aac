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

/// \returns the JSON body of the response to a GET request, or a discarded value on
/// failure.
json get_json(std::string const & address, std::string path, std::string query)
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
        totals.m_repeated_starts_by_kind[kind] += count.get<std::uint64_t>();
    }
}

/// Task starts of one run over all processes of upstream stand-ins.
struct starts_of_run
{
    std::unordered_set<std::string> m_keys;  ///< of jobs with a started task
    std::unordered_set<std::string> m_tasks; ///< "KEY TASK" of each started task
    std::map<std::string, std::uint64_t> m_repeated_starts_by_kind;
};

void record_start(json const & start, std::string const & run_id, starts_of_run & starts)
{
    // The name of a job is TENANT/DOMAIN/KEY.
    std::string const job = start.at("job").get<std::string>();
    std::string const key = job.substr(job.rfind('/') + 1);
    if (!key.starts_with(run_id))
    {
        return;
    }
    starts.m_keys.insert(key);
    // Keys of one run are unique, so the key alone identifies the job in every domain.
    if (!starts.m_tasks.insert(key + ' ' + start.at("task").get<std::string>()).second)
    {
        ++starts.m_repeated_starts_by_kind[start.at("kind").get<std::string>()];
    }
}

void read_starts(std::string const & address, std::string const & run_id,
                 starts_of_run & starts)
{
    std::uint64_t last_sequence = 0;
    for (;;)
    {
        json const page = get_json(address, "/starts",
                                   fmt::format("upstream=all&after={}", last_sequence));
        if (!page.is_array() || page.empty())
        {
            return;
        }
        for (json const & start : page)
        {
            record_start(start, run_id, starts);
        }
        last_sequence = page.back().at("sequence").get<std::uint64_t>();
    }
}

} // namespace

upstream_totals read_upstreams(load_plan const & plan)
{
    upstream_totals totals;
    totals.m_available = !plan.m_upstreams.empty();
    for (std::string const & address : plan.m_upstreams)
    {
        json const stats = get_json(address, "/stats", "upstream=all");
        totals.m_available = totals.m_available && stats.is_object();
        if (stats.is_object())
        {
            add_stats(stats, totals);
        }
    }
    return totals;
}

upstream_totals subtract(upstream_totals after, upstream_totals const & before)
{
    after.m_available = after.m_available && before.m_available;
    after.m_starts -= before.m_starts;
    after.m_refused -= before.m_refused;
    after.m_cancelled -= before.m_cancelled;
    for (auto const & [kind, count] : before.m_repeated_starts_by_kind)
    {
        after.m_repeated_starts_by_kind[kind] -= count;
    }
    return after;
}

void verify_starts(load_plan const & plan, load_report & report)
{
    starts_of_run starts;
    for (std::string const & address : plan.m_upstreams)
    {
        read_starts(address, report.m_run_id, starts);
    }
    for (std::string const & key : report.m_not_run_keys)
    {
        report.m_started_despite_refusal += starts.m_keys.contains(key) ? 1 : 0;
    }
    for (auto const & [kind, count] : starts.m_repeated_starts_by_kind)
    {
        std::uint64_t & repeated = report.m_upstreams.m_repeated_starts_by_kind[kind];
        repeated = std::max(repeated, count);
    }
}

} // namespace cassiahub::load::internal
