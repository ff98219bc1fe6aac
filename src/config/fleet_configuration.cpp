#include <cassiahub/config/fleet_configuration.hpp>

#include <algorithm>
#include <span>

namespace cassiahub::config
{

namespace internal
{

template <typename Record>
Record const * find_by_name(std::span<Record const> records,
                            std::string_view name) noexcept
{
    auto const found = std::lower_bound(records.begin(), records.end(), name,
                                        [](Record const & record, std::string_view wanted)
                                        { return record.m_name < wanted; });
    return found != records.end() && found->m_name == name ? &*found : nullptr;
}

} // namespace internal

work_kind const * find_kind(fleet_configuration const & configuration,
                            std::string_view name) noexcept
{
    return internal::find_by_name<work_kind>(configuration.m_kinds, name);
}

tenant const * find_tenant(fleet_configuration const & configuration,
                           std::string_view name) noexcept
{
    return internal::find_by_name<tenant>(configuration.m_tenants, name);
}

failure_domain const * find_domain(fleet_configuration const & configuration,
                                   std::string_view name) noexcept
{
    return internal::find_by_name<failure_domain>(configuration.m_domains, name);
}

team const * find_team(fleet_configuration const & configuration,
                       std::string_view name) noexcept
{
    return internal::find_by_name<team>(configuration.m_teams, name);
}

} // namespace cassiahub::config
