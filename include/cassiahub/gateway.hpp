#ifndef CASSIAHUB_GATEWAY_HPP
#define CASSIAHUB_GATEWAY_HPP

// Umbrella header of the module: the daemon that serves callers of a platform on
// upstreams that register themselves.
#include <cassiahub/gateway/daemon.hpp>
#include <cassiahub/gateway/wire_format.hpp>

#endif
