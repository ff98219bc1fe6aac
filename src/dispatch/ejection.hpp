#ifndef CASSIAHUB_DISPATCH_EJECTION_HPP
#define CASSIAHUB_DISPATCH_EJECTION_HPP

#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// Result of one attempt as an observation of its upstream's health.
struct upstream_observation
{
    bool m_succeeded = false;
    bool m_probe = false;
    double m_slowness = 1; ///< run time divided by the kind's mean run time
};

/// Adds an observation of upstream \p id, then ejects or readmits it if necessary.
void record_observation(dispatch_state & state, std::uint32_t id,
                        upstream_observation const & observation, time_point now);

/// Records that an attempt on upstream \p id runs longer than nearly all others of its
/// kind, then ejects the upstream if necessary.
void record_straggler(dispatch_state & state, std::uint32_t id, time_point now);

/// Moves an ejected upstream to the probing phase when its cooling period is over.
void begin_probing(dispatch_state & state, std::uint32_t id);

} // namespace cassiahub::dispatch::internal

#endif
