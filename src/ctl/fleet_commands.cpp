#include "ctl/operator_client.hpp"

#include <cassiahub/ctl/exit_code.hpp>
#include <cassiahub/ctl/fleet_commands.hpp>
#include <cassiahub/ctl/histogram.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <set>

namespace cassiahub::ctl
{

namespace internal
{

using nlohmann::json;

constexpr duration status_timeout = std::chrono::seconds(2);
/// Length of the longest bar, in characters; a line then fits into 80 columns.
constexpr std::size_t bar_width = 50;

/// \returns the status of the instance at \p address, with the member "entry" added; when
/// the request fails, only the members "entry" and "error".
json read_status(std::string const & address)
{
    http::response received;
    std::error_code const error = http::exchange_once(
        address, {"GET", "/v1/status", {}, {}, {}}, status_timeout, received);
    json status = error || received.m_status != 200
                      ? json()
                      : json::parse(received.m_body, nullptr, false);
    if (!status.is_object())
    {
        status = {{"error", error ? error.message()
                                  : fmt::format("status {}", received.m_status)}};
    }
    status["entry"] = address;
    return status;
}

/// \returns the member \p key of \p object as text for a table, or "-" when it is absent.
std::string cell_text(json const & object, char const * key)
{
    auto const found = object.find(key);
    if (found == object.end())
    {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

void print_status_table(std::span<json const> statuses)
{
    constexpr char const * row = "{:<22} {:<16} {:<12} {:>10} {:<9} {}\n";
    std::cout << fmt::format(fmt::runtime(row), "ENTRY", "INSTANCE", "DOMAIN", "VERSION",
                             "DRAINING", "ERROR");
    for (json const & status : statuses)
    {
        std::cout << fmt::format(
            fmt::runtime(row), cell_text(status, "entry"), cell_text(status, "instance"),
            cell_text(status, "domain"), cell_text(status, "configuration_version"),
            cell_text(status, "draining"),
            status.contains("error") ? cell_text(status, "error") : "");
    }
}

json to_json(histogram const & source)
{
    json buckets = json::array();
    for (histogram_bucket const & bucket : source.m_buckets)
    {
        buckets.push_back({{"le", fmt::format("{}", bucket.m_upper_bound)},
                           {"cumulative", bucket.m_cumulative}});
    }
    return {{"name", source.m_name},
            {"labels", source.m_labels},
            {"count", source.m_count},
            {"sum", source.m_sum},
            {"p50", estimate_quantile(source.m_buckets, 0.5)},
            {"p99", estimate_quantile(source.m_buckets, 0.99)},
            {"buckets", std::move(buckets)}};
}

} // namespace internal

int print_status(operator_target const & target)
{
    std::vector<internal::json> statuses;
    std::set<std::string> versions;
    bool all_responded = true;
    for (std::string const & address : target.m_entries)
    {
        internal::json const & status =
            statuses.emplace_back(internal::read_status(address));
        all_responded = all_responded && !status.contains("error");
        if (!status.contains("error"))
        {
            versions.insert(internal::cell_text(status, "configuration_version"));
        }
    }
    if (target.m_output == output_format::json)
    {
        std::cout << internal::dump({{"instances", statuses},
                                     {"same_version", versions.size() <= 1}})
                  << '\n';
    }
    else
    {
        internal::print_status_table(statuses);
        std::cout
            << (versions.size() <= 1
                    ? "all responding instances use the same configuration version\n"
                    : "the responding instances use different configuration versions\n");
    }
    return all_responded ? runtime::exit_success : runtime::exit_failed;
}

int drain_upstream(operator_target const & target, std::string const & name,
                   bool draining)
{
    http::request sent{"POST",
                       draining ? "/v1/drain" : "/v1/undrain",
                       {},
                       {},
                       internal::json({{"upstream", name}}).dump()};
    if (!internal::add_credentials(target, sent))
    {
        return runtime::exit_usage;
    }
    internal::json body;
    int const code = internal::request_json(target, sent, body);
    if (code != runtime::exit_success)
    {
        return code;
    }
    if (target.m_output == output_format::json)
    {
        std::cout << internal::dump(body) << '\n';
    }
    else
    {
        std::cout << fmt::format("[upstream.{}] draining = {}, version {}\n", name,
                                 draining ? "yes" : "no",
                                 internal::cell_text(body, "version"));
    }
    return runtime::exit_success;
}

int print_metrics(operator_target const & target, std::string const & prefix)
{
    http::response received;
    if (std::error_code const error = internal::exchange_first_reachable(
            target, {"GET", "/metrics", {}, {}, {}}, received))
    {
        return internal::report_failure(error);
    }
    if (received.m_status != 200)
    {
        return internal::report_refusal(received, target.m_output);
    }
    internal::json list = internal::json::array();
    for (histogram const & found : parse_histograms(received.m_body))
    {
        if (!found.m_name.starts_with(prefix))
        {
            continue;
        }
        if (target.m_output == output_format::json)
        {
            list.push_back(internal::to_json(found));
        }
        else
        {
            std::cout << draw_histogram(found, internal::bar_width);
        }
    }
    if (target.m_output == output_format::json)
    {
        std::cout << internal::dump({{"histograms", std::move(list)}}) << '\n';
    }
    return runtime::exit_success;
}

} // namespace cassiahub::ctl
