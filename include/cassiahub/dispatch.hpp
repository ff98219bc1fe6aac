#ifndef CASSIAHUB_DISPATCH_HPP
#define CASSIAHUB_DISPATCH_HPP

/// \file Umbrella header of the dispatch module: admission, queueing, placement, retries.

#include <cassiahub/dispatch/attempt.hpp>
#include <cassiahub/dispatch/counters.hpp>
#include <cassiahub/dispatch/crash_history.hpp>
#include <cassiahub/dispatch/dispatcher.hpp>
#include <cassiahub/dispatch/effects.hpp>
#include <cassiahub/dispatch/state.hpp>

#endif
