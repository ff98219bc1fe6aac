#ifndef CASSIAHUB_INTERFERENCE_HPP
#define CASSIAHUB_INTERFERENCE_HPP

/// \file Umbrella header of the interference module: kinds of tasks that slow each other
/// down when they share an upstream.

#include <cassiahub/interference/evidence.hpp>
#include <cassiahub/interference/observer.hpp>
#include <cassiahub/interference/occupancy.hpp>
#include <cassiahub/interference/run.hpp>
#include <cassiahub/interference/state.hpp>

#endif
