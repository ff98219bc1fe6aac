#ifndef CASSIAHUB_TELEMETRY_EXPOSITION_HPP
#define CASSIAHUB_TELEMETRY_EXPOSITION_HPP

#include <cassiahub/telemetry/metrics.hpp>

#include <string>

namespace cassiahub::telemetry
{

/// \returns \p source in the Prometheus text exposition format, version 0.0.4.
std::string format_exposition(metrics const & source);

} // namespace cassiahub::telemetry

#endif
