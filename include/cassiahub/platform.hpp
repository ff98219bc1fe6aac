#ifndef CASSIAHUB_PLATFORM_HPP
#define CASSIAHUB_PLATFORM_HPP

/// \file Umbrella header of the platform module: the table, objects and instance list.

#include <cassiahub/platform/client.hpp>
#include <cassiahub/platform/configuration_edit.hpp>
#include <cassiahub/platform/configuration_feed.hpp>
#include <cassiahub/platform/error.hpp>

#endif
