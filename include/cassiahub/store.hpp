#ifndef CASSIAHUB_STORE_HPP
#define CASSIAHUB_STORE_HPP

/// \file Umbrella header of the store module: client of the platform service (a versioned
/// table and the instance list) and the configuration that is stored in the table.

#include <cassiahub/store/client.hpp>
#include <cassiahub/store/configuration_edit.hpp>
#include <cassiahub/store/configuration_replica.hpp>
#include <cassiahub/store/error.hpp>

#endif
