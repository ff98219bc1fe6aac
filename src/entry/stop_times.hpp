#ifndef CASSIAHUB_SRC_ENTRY_STOP_TIMES_HPP
#define CASSIAHUB_SRC_ENTRY_STOP_TIMES_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/runtime/program.hpp>

namespace cassiahub::entry
{

/// Part of the grace period reserved for stopping the duties that run until the drain has
/// ended, and the process.
constexpr duration stop_margin = std::chrono::milliseconds(800);
/// Longest wait of a gateway for the reply that its registration is removed.
constexpr duration deregistration_timeout = std::chrono::milliseconds(200);
/// Longest wait of the peer duty until its last messages are sent and answered.
constexpr duration last_messages_timeout = std::chrono::milliseconds(300);

// Duties stop one after another.
static_assert(deregistration_timeout + last_messages_timeout <
              stop_margin - runtime::exit_margin);

} // namespace cassiahub::entry

#endif
