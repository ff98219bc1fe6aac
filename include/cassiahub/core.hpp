#ifndef CASSIAHUB_CORE_HPP
#define CASSIAHUB_CORE_HPP

/// \file Umbrella header of the core module: basic types that every other module uses.

#include <cassiahub/core/error.hpp>
#include <cassiahub/core/error_category.hpp>
#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/job.hpp>
#include <cassiahub/core/random.hpp>
#include <cassiahub/core/resources.hpp>
#include <cassiahub/core/text.hpp>
#include <cassiahub/core/time.hpp>

#endif
