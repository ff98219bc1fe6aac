#ifndef CASSIAHUB_PEER_HPP
#define CASSIAHUB_PEER_HPP

/// \file Umbrella header of the peer module: message transport between entry instances.

#include <cassiahub/peer/error.hpp>
#include <cassiahub/peer/exchange.hpp>

#endif
