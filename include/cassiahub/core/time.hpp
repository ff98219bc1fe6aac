#ifndef CASSIAHUB_CORE_TIME_HPP
#define CASSIAHUB_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace cassiahub
{

using duration = std::chrono::nanoseconds;

/// Clock type for CLOCK_BOOTTIME, which also advances while the machine is suspended. It
/// has no now(): decisions receive the current time as an argument.
struct boot_clock
{
    using duration = cassiahub::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using time_point = boot_clock::time_point;

/// \returns \p value in milliseconds, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration value) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace cassiahub

#endif
