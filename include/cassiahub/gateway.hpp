#ifndef CASSIAHUB_GATEWAY_HPP
#define CASSIAHUB_GATEWAY_HPP

/// \file Umbrella header of the gateway module: the daemon that runs the jobs of a
/// platform's callers on upstreams that register themselves in the platform's store.

#include <cassiahub/gateway/daemon.hpp>
#include <cassiahub/gateway/error.hpp>
#include <cassiahub/gateway/wire_format.hpp>

#endif
