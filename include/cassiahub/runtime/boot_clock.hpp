#ifndef CASSIAHUB_RUNTIME_BOOT_CLOCK_HPP
#define CASSIAHUB_RUNTIME_BOOT_CLOCK_HPP

#include <cassiahub/core/time.hpp>

namespace cassiahub::runtime
{

/// \returns the time of CLOCK_BOOTTIME, which also advances while the machine is
/// suspended. Thread-safe.
time_point read_boot_clock() noexcept;

} // namespace cassiahub::runtime

#endif
