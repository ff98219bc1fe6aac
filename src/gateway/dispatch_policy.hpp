#ifndef CASSIAHUB_SRC_GATEWAY_DISPATCH_POLICY_HPP
#define CASSIAHUB_SRC_GATEWAY_DISPATCH_POLICY_HPP

#include <cassiahub/config/fleet_configuration.hpp>

namespace cassiahub::gateway
{

/// Sets the dispatch settings, which the gateway's configuration documents do not
/// contain.
void apply_dispatch_policy(config::fleet_configuration & configuration,
                           config::interference_settings const & interference);

} // namespace cassiahub::gateway

#endif
