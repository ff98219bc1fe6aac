#include <cassiahub/codec.hpp>
#include <cassiahub/http.hpp>
#include <cassiahub/load/load_run.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace cassiahub::load
{

namespace internal
{

namespace
{

constexpr duration probe_timeout = std::chrono::seconds(30);

/// Persistent connection to one server and the latencies of the exchanges over it.
struct probe_target
{
    std::string m_address;
    http::connection m_connection;
    std::vector<double> m_milliseconds;
};

http::request make_direct_request(probe_options const & options, std::string const & key)
{
    auto const field = [](std::string_view name, std::string value)
    {
        return http::header{std::string(name), std::move(value)};
    };
    return {"POST",
            "/v1/tasks",
            {},
            {field(codec::tenant_header, options.m_tenant), field(codec::key_header, key),
             field(codec::task_header, "0"), field(codec::attempt_header, key),
             field(codec::kind_header, options.m_kind)},
            fmt::format("run_ms={}", options.m_run_ms)};
}

http::request make_job_request(probe_options const & options, std::string const & key)
{
    job_spec spec;
    spec.m_kind = options.m_kind;
    spec.m_time_limit = probe_timeout;
    spec.m_tasks = {{fmt::format("run_ms={}", options.m_run_ms), {500, 256, 0}, {}}};
    return {"POST",
            "/v1/jobs",
            {},
            {{std::string(codec::tenant_header), options.m_tenant},
             {std::string(codec::key_header), key}},
            codec::format_job_body(spec)};
}

/// Sends \p sent and records the latency. \returns false unless the status is 200.
bool measure_exchange(probe_target & target, http::request const & sent)
{
    if (!target.m_connection.m_handle)
    {
        std::error_code error;
        target.m_connection = http::connect(target.m_address, error);
        if (error)
        {
            return false;
        }
    }
    time_point const start = runtime::read_boot_clock();
    http::response received;
    if (http::exchange(target.m_connection, sent, target.m_address, probe_timeout,
                       received))
    {
        target.m_connection = {};
        return false;
    }
    if (received.m_status != 200)
    {
        return false;
    }
    target.m_milliseconds.push_back(
        std::chrono::duration<double, std::milli>(runtime::read_boot_clock() - start)
            .count());
    return true;
}

double percentile(std::vector<double> & values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    auto const last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(fraction * last)];
}

} // namespace

} // namespace internal

std::error_code run_probe(probe_options const & options, std::stop_token const & stop,
                          std::string & text)
{
    internal::probe_target direct{options.m_upstream, {}, {}};
    internal::probe_target entry{options.m_entry, {}, {}};
    std::uint64_t failed = 0;
    std::string const run = fmt::format(
        "probe-{:x}", to_milliseconds(runtime::read_boot_clock().time_since_epoch()));
    for (std::uint32_t index = 0; index < options.m_count && !stop.stop_requested();
         ++index)
    {
        std::string const key = fmt::format("{}-{}", run, index);
        failed += internal::measure_exchange(direct,
                                             internal::make_direct_request(options, key))
                      ? 0
                      : 1;
        failed +=
            internal::measure_exchange(entry, internal::make_job_request(options, key))
                ? 0
                : 1;
    }
    auto const times = [](internal::probe_target & target)
    {
        return nlohmann::json{{"p50", internal::percentile(target.m_milliseconds, 0.5)},
                              {"p99", internal::percentile(target.m_milliseconds, 0.99)}};
    };
    nlohmann::json const direct_times = times(direct);
    nlohmann::json const entry_times = times(entry);
    auto const added = [&](char const * name)
    {
        return entry_times[name].get<double>() - direct_times[name].get<double>();
    };
    text = nlohmann::json({{"count", options.m_count},
                           {"failed", failed},
                           {"direct_ms", direct_times},
                           {"entry_ms", entry_times},
                           {"added_p50_ms", added("p50")},
                           {"added_p99_ms", added("p99")}})
               .dump(2);
    return {};
}

} // namespace cassiahub::load
