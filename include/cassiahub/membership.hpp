#ifndef CASSIAHUB_MEMBERSHIP_HPP
#define CASSIAHUB_MEMBERSHIP_HPP

/// \file Umbrella header of the membership module: heartbeats, failure detection,
/// rendezvous hashing.

#include <cassiahub/membership/members.hpp>
#include <cassiahub/membership/rendezvous.hpp>
#include <cassiahub/membership/state.hpp>

#endif
