#ifndef CASSIAHUB_STANDIN_PLATFORM_FAULTS_HPP
#define CASSIAHUB_STANDIN_PLATFORM_FAULTS_HPP

#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace cassiahub::standin
{

/// Faults that the platform stand-in injects, set at run time with PUT /faults. A viewer
/// is the instance that sends a request, named by its User-Agent header.
struct platform_faults
{
    bool m_down = false;                           ///< responds 503 to every viewer
    std::set<std::string, std::less<>> m_down_for; ///< responds 503 to these viewers
    duration m_read_delay{0};                      ///< added to each read
    duration m_write_delay{0};                     ///< added to each write
    std::uint32_t m_lose_answers = 0;              ///< next write responses to drop
    /// Probability of dropping each write response after the first m_lose_answers ones.
    double m_lose_probability = 0;
    std::uint64_t m_lose_seed = 1;             ///< for m_lose_probability
    duration m_list_lag{0};                    ///< age of the returned instance list
    std::uint32_t m_max_writes_per_second = 0; ///< 0: no limit
    std::uint32_t m_max_reads_per_second = 0;  ///< 0: no limit
};

/// Reads the body of PUT /faults. Absent members take their default.
/// \returns an empty string on success, else a message that lists the allowed values.
/// Thread-safe.
std::string parse_platform_faults(std::string_view body, platform_faults & faults);

/// \returns the JSON form that parse_platform_faults() reads.
std::string format_platform_faults(platform_faults const & faults);

} // namespace cassiahub::standin

#endif
