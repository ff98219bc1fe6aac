#include <cassiahub/telemetry/log.hpp>

#include <easylogging++.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace cassiahub::telemetry
{

namespace internal
{

std::string_view level_name(log_level level) noexcept
{
    switch (level)
    {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::string utc_now()
{
    auto const now =
        std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    auto const seconds = std::chrono::floor<std::chrono::seconds>(now);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                       (now - seconds).count());
}

} // namespace internal

void configure_logging()
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configurations);
}

std::string format_log(log_level level, std::string_view instance, std::string_view code,
                       std::span<log_field const> fields)
{
    nlohmann::ordered_json line = {{"time", internal::utc_now()},
                                   {"level", internal::level_name(level)},
                                   {"instance", instance},
                                   {"code", code}};
    for (log_field const & field : fields)
    {
        line[std::string(field.m_name)] = field.m_value.substr(0, max_log_value);
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void write_log(log_level level, std::string_view instance, std::string_view code,
               std::span<log_field const> fields)
{
    std::string const text = format_log(level, instance, code, fields);
    switch (level)
    {
    case log_level::info:
        LOG(INFO) << text;
        break;
    case log_level::warning:
        LOG(WARNING) << text;
        break;
    case log_level::error:
        LOG(ERROR) << text;
        break;
    }
}

void flush_log()
{
    std::cout.flush();
}

log_permission admit_line(log_limiter & limiter, std::string_view code, time_point now)
{
    auto found = limiter.m_counts_by_code.find(code);
    if (found == limiter.m_counts_by_code.end())
    {
        found = limiter.m_counts_by_code.emplace(code, code_line_counts{now, 0, 0}).first;
    }
    code_line_counts & counts = found->second;
    if (now - counts.m_period_start >= limiter.m_period)
    {
        counts.m_period_start = now;
        counts.m_written = 0;
    }
    if (counts.m_written >= limiter.m_lines_per_period)
    {
        ++counts.m_suppressed;
        return {};
    }
    ++counts.m_written;
    return {true, std::exchange(counts.m_suppressed, 0)};
}

} // namespace cassiahub::telemetry
