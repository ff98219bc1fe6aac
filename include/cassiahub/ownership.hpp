#ifndef CASSIAHUB_OWNERSHIP_HPP
#define CASSIAHUB_OWNERSHIP_HPP

/// \file Umbrella header of the ownership module: shard leases, job records, notices of
/// unrecorded job keys.

#include <cassiahub/ownership/effects.hpp>
#include <cassiahub/ownership/owner.hpp>
#include <cassiahub/ownership/state.hpp>
#include <cassiahub/ownership/table_rows.hpp>

#endif
