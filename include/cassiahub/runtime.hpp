#ifndef CASSIAHUB_RUNTIME_HPP
#define CASSIAHUB_RUNTIME_HPP

/// \file Umbrella header of the runtime module: bounded rings, duties (supervised
/// threads), clocks and signals.

#include <cassiahub/runtime/boot_clock.hpp>
#include <cassiahub/runtime/bounded_ring.hpp>
#include <cassiahub/runtime/error.hpp>
#include <cassiahub/runtime/program.hpp>
#include <cassiahub/runtime/signal_wait.hpp>
#include <cassiahub/runtime/stop_wait.hpp>
#include <cassiahub/runtime/supervisor.hpp>

#endif
