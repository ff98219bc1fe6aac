#ifndef CASSIAHUB_CORE_RANDOM_HPP
#define CASSIAHUB_CORE_RANDOM_HPP

#include <random>

namespace cassiahub
{

/// Random number generator. Decisions receive it as an argument, so that a run can be
/// reproduced from its seed.
using random_source = std::mt19937_64;

} // namespace cassiahub

#endif
