#ifndef CASSIAHUB_STANDIN_PLATFORM_FAULTS_HPP
#define CASSIAHUB_STANDIN_PLATFORM_FAULTS_HPP

#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace cassiahub::standin
{

/// Faults of the platform stand-in, switched at run time with PUT /faults. A viewer is
/// the User-Agent of a request.
struct platform_faults
{
    bool m_down = false;                           ///< answers 503 to every viewer
    std::set<std::string, std::less<>> m_down_for; ///< answers 503 to these viewers
    duration m_read_delay{0};                      ///< added to every read
    duration m_write_delay{0};                     ///< added to every write
    std::uint32_t m_lose_answers = 0;              ///< of the next writes
    double m_lose_probability = 0;                 ///< of each further write
    std::uint64_t m_lose_seed = 1;                 ///< of the draws for it
    duration m_list_lag{0};                        ///< age of the instance list
    std::uint32_t m_max_writes_per_second = 0;     ///< 0: no limit
    std::uint32_t m_max_reads_per_second = 0;      ///< 0: no limit
};

/// Reads the body of PUT /faults. Members that are absent take their default.
/// \returns an empty text, or what is wrong and what is allowed. Thread-safe.
std::string parse_platform_faults(std::string_view body, platform_faults & faults);

/// \returns the JSON form that parse_platform_faults() reads.
std::string format_platform_faults(platform_faults const & faults);

} // namespace cassiahub::standin

#endif
