#ifndef CASSIAHUB_CORE_RANDOM_HPP
#define CASSIAHUB_CORE_RANDOM_HPP

#include <random>

namespace cassiahub
{

/// Random source passed to every decision; a run repeats exactly from its seed.
using random_source = std::mt19937_64;

} // namespace cassiahub

#endif
