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

caller_route const * find_route(fleet_configuration const & configuration,
                                std::string_view host, std::string_view path) noexcept
{
    caller_route const * best = nullptr;
    for (caller_route const & route : configuration.m_routes)
    {
        bool const matches = route.m_host == host && path.starts_with(route.m_prefix);
        if (matches && (best == nullptr || best->m_prefix.size() < route.m_prefix.size()))
        {
            best = &route;
        }
    }
    return best;
}

} // namespace cassiahub::config
