#ifndef CASSIAHUB_DECISION_HPP
#define CASSIAHUB_DECISION_HPP

/// \file Umbrella header of the decision module: events in, actions out.

#include <cassiahub/decision/action.hpp>
#include <cassiahub/decision/entry_state.hpp>
#include <cassiahub/decision/event.hpp>
#include <cassiahub/decision/fleet_invariants.hpp>
#include <cassiahub/decision/peer_message.hpp>
#include <cassiahub/decision/step.hpp>
#include <cassiahub/decision/store_message.hpp>

#endif
