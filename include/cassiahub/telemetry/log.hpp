#ifndef CASSIAHUB_TELEMETRY_LOG_HPP
#define CASSIAHUB_TELEMETRY_LOG_HPP

#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace cassiahub::telemetry
{

enum class log_level
{
    info,
    warning,
    error
};

/// One member of a log line besides the fixed ones.
struct log_field
{
    std::string_view m_name;
    std::string_view m_value;
};

/// Directs easylogging++ to standard output, one JSON object a line, and to no file.
/// \pre called once, before the first write_log().
void configure_logging();

/// Writes one line with the members time (UTC), level, instance, code and \p fields.
/// Bytes that are not UTF-8 are replaced. Thread-safe.
void write_log(log_level level, std::string_view instance, std::string_view code,
               std::span<log_field const> fields);

/// Hands written lines to the operating system, so that a killed process loses none.
void flush_log();

/// Lines of one code that were let through in the current period.
struct code_budget
{
    time_point m_period_start;
    std::uint32_t m_written = 0;
    std::uint64_t m_suppressed = 0;
};

/// Limits each code to a number of lines in a period, so that a flood of refusals
/// cannot fill the log. Used by one duty.
struct log_limiter
{
    std::uint32_t m_lines_per_period = 20;
    duration m_period = std::chrono::seconds(1);
    std::map<std::string, code_budget, std::less<>> m_codes;
};

/// Whether a line may be written, and how many of its code were left out before it.
struct log_permission
{
    bool m_allowed = false;
    std::uint64_t m_suppressed_before = 0;
};

/// Accounts for a line of \p code at \p now.
log_permission admit_line(log_limiter & limiter, std::string_view code, time_point now);

} // namespace cassiahub::telemetry

#endif
