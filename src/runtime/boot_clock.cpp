#include <cassiahub/runtime/boot_clock.hpp>

#include <ctime>

namespace cassiahub::runtime
{

time_point read_boot_clock() noexcept
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace cassiahub::runtime
