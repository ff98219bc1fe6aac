#ifndef CASSIAHUB_STORE_HPP
#define CASSIAHUB_STORE_HPP

/// \file Umbrella header of the platform module: the table, objects and instance list.

#include <cassiahub/store/client.hpp>
#include <cassiahub/store/configuration_edit.hpp>
#include <cassiahub/store/configuration_feed.hpp>
#include <cassiahub/store/error.hpp>

#endif
