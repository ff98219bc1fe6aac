#ifndef CASSIAHUB_DISPATCH_EJECTION_HPP
#define CASSIAHUB_DISPATCH_EJECTION_HPP

#include <cassiahub/dispatch/state.hpp>

namespace cassiahub::dispatch::internal
{

/// What one attempt showed of its upstream.
struct upstream_evidence
{
    bool m_succeeded = false;
    bool m_probe = false;
    double m_slowness = 1; ///< run time over the mean of the kind
};

/// Records a result of upstream \p id and ejects or readmits the upstream.
void record_evidence(dispatch_state & state, std::uint32_t id,
                     upstream_evidence const & evidence, time_point now);

/// Records that an attempt on upstream \p id outlasts nearly all others of its kind.
void record_straggler(dispatch_state & state, std::uint32_t id, time_point now);

/// Ends the cooling of an ejected upstream.
void begin_probing(dispatch_state & state, std::uint32_t id);

} // namespace cassiahub::dispatch::internal

#endif
