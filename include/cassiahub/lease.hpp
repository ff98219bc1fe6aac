#ifndef CASSIAHUB_LEASE_HPP
#define CASSIAHUB_LEASE_HPP

/// \file Umbrella header of the lease module: runs on upstreams, protected by leases and
/// fencing tokens.

#include <cassiahub/lease/call.hpp>
#include <cassiahub/lease/effects.hpp>
#include <cassiahub/lease/run.hpp>
#include <cassiahub/lease/sessions.hpp>
#include <cassiahub/lease/state.hpp>

#endif
