#ifndef CASSIAHUB_INTERFERENCE_CONTRASTS_HPP
#define CASSIAHUB_INTERFERENCE_CONTRASTS_HPP

#include <cassiahub/interference/state.hpp>

#include <span>

namespace cassiahub::interference::internal
{

/// Compares runs on one upstream with each other and adds the contrasts to the evidence
/// of this instance. O(runs * neighbours). \param runs may be reordered.
void add_contrasts(interference_state & state, std::span<finished_run> runs,
                   time_point now);

} // namespace cassiahub::interference::internal

#endif
