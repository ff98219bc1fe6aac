#ifndef CASSIAHUB_STANDIN_HPP
#define CASSIAHUB_STANDIN_HPP

/// \file Umbrella header of the standin module: the platform, upstreams and links for
/// tests.

#include <cassiahub/standin/link_relay.hpp>
#include <cassiahub/standin/platform_faults.hpp>
#include <cassiahub/standin/platform_server.hpp>
#include <cassiahub/standin/table.hpp>
#include <cassiahub/standin/upstream_faults.hpp>
#include <cassiahub/standin/upstream_server.hpp>

#endif
