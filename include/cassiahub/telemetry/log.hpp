#ifndef CASSIAHUB_TELEMETRY_LOG_HPP
#define CASSIAHUB_TELEMETRY_LOG_HPP

#include <cassiahub/core/time.hpp>

#include <cstddef>
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

/// Additional member of the JSON object of a log line.
struct log_field
{
    std::string_view m_name;
    std::string_view m_value;
};

/// Configures easylogging++ to write to standard output only, without a prefix.
/// \pre called once, before the first write_log().
void configure_logging();

/// Longest value in a log line, in bytes; the rest is left out. Beyond what any decision
/// logs; a caller's path may have 16 KiB.
constexpr std::size_t max_log_value = 4'096;

/// \returns a JSON object with the members time (UTC), level, instance, code and \p
/// fields. Invalid UTF-8 is replaced by U+FFFD. Thread-safe.
std::string format_log(log_level level, std::string_view instance, std::string_view code,
                       std::span<log_field const> fields);

/// Writes format_log() as one line. Thread-safe.
void write_log(log_level level, std::string_view instance, std::string_view code,
               std::span<log_field const> fields);

/// Flushes standard output, so that a process that is killed afterwards loses no lines.
void flush_log();

/// Counts of the log lines with one code.
struct code_line_counts
{
    time_point m_period_start;
    std::uint32_t m_written = 0;    ///< in the current period
    std::uint64_t m_suppressed = 0; ///< since the last line that was written
};

/// Limits the number of log lines of each code in a period, so that a burst of refusals
/// cannot fill the log. Not thread-safe.
struct log_limiter
{
    std::uint32_t m_lines_per_period = 20;
    duration m_period = std::chrono::seconds(1);
    std::map<std::string, code_line_counts, std::less<>> m_counts_by_code;
};

/// Result of admit_line().
struct log_permission
{
    bool m_allowed = false; ///< the line may be written
    /// Number of lines with this code suppressed since the last one was written.
    std::uint64_t m_suppressed_before = 0;
};

/// Decides whether a line of \p code may be written at \p now, and counts it.
log_permission admit_line(log_limiter & limiter, std::string_view code, time_point now);

} // namespace cassiahub::telemetry

#endif
