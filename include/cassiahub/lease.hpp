#ifndef CASSIAHUB_LEASE_HPP
#define CASSIAHUB_LEASE_HPP

// Umbrella header of the module: runs on upstreams under a lease and a fencing token.
#include <cassiahub/lease/call.hpp>
#include <cassiahub/lease/effects.hpp>
#include <cassiahub/lease/run.hpp>
#include <cassiahub/lease/sessions.hpp>
#include <cassiahub/lease/state.hpp>

#endif
