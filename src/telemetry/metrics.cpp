#include <cassiahub/telemetry/metrics.hpp>

namespace cassiahub::telemetry
{

namespace internal
{

/// \returns the series of \p label, added if necessary, or the series of overflow_label
/// when the family is full.
template <typename Family>
typename Family::mapped_type & find_series(Family & family, std::string_view label)
{
    auto const found = family.find(label);
    if (found != family.end())
    {
        return found->second;
    }
    std::string_view const name = family.size() < max_series ? label : overflow_label;
    return family.try_emplace(std::string(name)).first->second;
}

} // namespace internal

void record_job(metrics & target, std::string_view tenant, std::string_view kind,
                std::string_view code, duration response_time)
{
    observe(internal::find_series(target.m_response_by_tenant, tenant), response_time);
    observe(internal::find_series(target.m_response_by_kind, kind), response_time);
    ++internal::find_series(target.m_jobs_by_code, code);
}

void set_gauge(metrics & target, std::string_view name, double value)
{
    internal::find_series(target.m_gauges, name) = value;
}

void set_total(metrics & target, std::string_view name, std::uint64_t value)
{
    internal::find_series(target.m_totals, name) = value;
}

} // namespace cassiahub::telemetry
