#ifndef CASSIAHUB_SRC_GATEWAY_DISPATCH_POLICY_HPP
#define CASSIAHUB_SRC_GATEWAY_DISPATCH_POLICY_HPP

#include <cassiahub/config/fleet_configuration.hpp>

namespace cassiahub::gateway
{

/// Sets what a configuration without dispatch settings leaves open.
void apply_policy(config::fleet_configuration & configuration);

} // namespace cassiahub::gateway

#endif
