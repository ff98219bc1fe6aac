#ifndef CASSIAHUB_RUNTIME_SIGNAL_WAIT_HPP
#define CASSIAHUB_RUNTIME_SIGNAL_WAIT_HPP

namespace cassiahub::runtime
{

/// Blocks SIGINT, SIGTERM and SIGHUP and ignores SIGPIPE in the calling thread and in
/// every thread that it starts later.
/// \pre called in main() before the first thread is started.
void block_termination_signals() noexcept;

/// Waits for SIGINT, SIGTERM or SIGHUP.
/// \pre block_termination_signals() was called.
/// \returns the signal number.
int wait_for_signal() noexcept;

} // namespace cassiahub::runtime

#endif
