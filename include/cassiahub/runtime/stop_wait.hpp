#ifndef CASSIAHUB_RUNTIME_STOP_WAIT_HPP
#define CASSIAHUB_RUNTIME_STOP_WAIT_HPP

#include <cassiahub/core/time.hpp>

#include <stop_token>

namespace cassiahub::runtime
{

/// Blocks until \p stop is requested. Thread-safe.
void wait_for_stop(std::stop_token const & stop);

/// Blocks until \p stop is requested or \p period has passed. Thread-safe.
void wait_for_stop(std::stop_token const & stop, duration period);

} // namespace cassiahub::runtime

#endif
