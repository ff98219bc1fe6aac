#ifndef CASSIAHUB_TELEMETRY_HPP
#define CASSIAHUB_TELEMETRY_HPP

/// \file Umbrella header of the telemetry module: JSON-lines logs and metrics.

#include <cassiahub/telemetry/exposition.hpp>
#include <cassiahub/telemetry/latency_histogram.hpp>
#include <cassiahub/telemetry/log.hpp>
#include <cassiahub/telemetry/metrics.hpp>

#endif
