#ifndef CASSIAHUB_STANDIN_HPP
#define CASSIAHUB_STANDIN_HPP

/// \file Umbrella header of the standin module: stand-ins for the platform, the upstreams
/// and the network links in tests.

#include <cassiahub/standin/link_relay.hpp>
#include <cassiahub/standin/platform_faults.hpp>
#include <cassiahub/standin/platform_server.hpp>
#include <cassiahub/standin/table.hpp>
#include <cassiahub/standin/upstream_faults.hpp>
#include <cassiahub/standin/upstream_server.hpp>

#endif
