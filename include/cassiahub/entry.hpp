#ifndef CASSIAHUB_ENTRY_HPP
#define CASSIAHUB_ENTRY_HPP

/// \file Umbrella header of the entry module: the entry daemon and its supervisor tree.

#include <cassiahub/entry/daemon.hpp>

#endif
