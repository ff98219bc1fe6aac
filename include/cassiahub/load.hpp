#ifndef CASSIAHUB_LOAD_HPP
#define CASSIAHUB_LOAD_HPP

/// \file Umbrella header of the load module: load generator over HTTP, and experiment in
/// virtual time.

#include <cassiahub/load/experiment.hpp>
#include <cassiahub/load/load_arrivals.hpp>
#include <cassiahub/load/load_plan.hpp>
#include <cassiahub/load/load_report.hpp>
#include <cassiahub/load/load_run.hpp>

#endif
