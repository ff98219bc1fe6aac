#ifndef CASSIAHUB_PEER_HPP
#define CASSIAHUB_PEER_HPP

/// \file Umbrella header of the peer module: messages between entry instances.

#include <cassiahub/peer/error.hpp>
#include <cassiahub/peer/exchange.hpp>

#endif
