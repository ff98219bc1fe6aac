#ifndef CASSIAHUB_CONFIG_FLEET_CONFIGURATION_HPP
#define CASSIAHUB_CONFIG_FLEET_CONFIGURATION_HPP

#include <cassiahub/config/dispatch_settings.hpp>
#include <cassiahub/core/resources.hpp>
#include <cassiahub/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::config
{

/// A class of tasks with common scheduling parameters, defined by operators.
struct work_kind
{
    std::string m_name;
    std::string m_owner;         ///< team that may edit the section
    std::uint32_t m_urgency = 5; ///< 0 is the most urgent, 9 the least
    std::uint32_t m_share = 1;   ///< weight of the kind relative to the other kinds
    bool m_repeatable = false;   ///< may be attempted again after an unknown outcome
    std::uint32_t m_queue_limit = 20'000; ///< queued tasks of the kind per instance
    /// Run time assumed until enough tasks of the kind have run.
    duration m_expected_run_time = std::chrono::milliseconds(300);
    /// true: a task may be attempted again once its previous run is known to have ended.
    bool m_restartable = false;
    std::uint32_t m_max_failures = 0; ///< failed runs that end a job; 0: no limit
    /// Latency objective of a job: m_objective_stretch times its run time, plus
    /// m_objective_slack.
    double m_objective_stretch = 0; ///< factor; 0: no objective
    duration m_objective_slack{0};
    /// Service that runs the tasks; empty: upstreams that name no service.
    std::string m_service{};
};

/// Assigns a kind and a tenant to the requests whose host is m_host and whose path begins
/// with m_prefix. The route with the longest prefix applies.
struct caller_route
{
    std::string m_host;
    std::string m_prefix;
    std::string m_kind;
    std::string m_tenant;
};

/// A customer, with a weight within each kind and a task quota.
struct tenant
{
    std::string m_name;
    std::string m_owner;
    std::uint32_t m_weight = 1;
    std::uint32_t m_max_tasks = 10'000; ///< queued and running tasks per instance
};

/// One back-end process and the worker that runs its tasks.
struct upstream
{
    std::string m_name;
    std::string m_owner;
    std::string m_address;                   ///< "ip:port"
    std::string m_domain;                    ///< failure domain of the upstream
    std::string m_rack;                      ///< rack of the worker; may be empty
    std::uint32_t m_slots = 8;               ///< tasks that run at the same time
    std::uint32_t m_connections = 64;        ///< connections that the upstream accepts
    resources m_capacity{16'000, 32'768, 0}; ///< of the worker
    bool m_draining = false;                 ///< true: gets no new tasks
    std::string m_service{}; ///< service (pool of upstreams) that the upstream belongs to
    std::vector<std::string> m_labels{};
    bool operator==(upstream const &) const = default;
};

/// A failure domain and the region that contains it.
struct failure_domain
{
    std::string m_name;
    std::string m_owner;
    std::string m_region;
    std::uint32_t m_shards = 8; ///< shards of the job keys; cannot change later
};

/// Team that owns [dispatch] and every [team.NAME] that has no key "owner".
constexpr std::string_view administrator_team = "platform";

/// A team. It may edit the sections that it owns.
struct team
{
    std::string m_name;
    std::string m_key_hash; ///< "sha256:<salt>:<digest>"; the key itself is not stored
    std::string m_owner;    ///< empty: administrator_team
};

/// The fleet configuration document after validation. Every reference resolves, names are
/// unique within their list, and the lists with names are sorted by name.
struct fleet_configuration
{
    std::uint64_t m_version = 0; ///< of the whole document; 0: not stored yet
    std::vector<team> m_teams;
    std::vector<failure_domain> m_domains;
    std::vector<work_kind> m_kinds;
    std::vector<tenant> m_tenants;
    std::vector<upstream> m_upstreams;
    dispatch_settings m_dispatch;
    std::vector<caller_route> m_routes; ///< empty when callers state the kind themselves
};

/// \returns the kind called \p name, or nullptr. O(log n).
work_kind const * find_kind(fleet_configuration const & configuration,
                            std::string_view name) noexcept;

/// \returns the tenant called \p name, or nullptr. O(log n).
tenant const * find_tenant(fleet_configuration const & configuration,
                           std::string_view name) noexcept;

/// \returns the failure domain called \p name, or nullptr. O(log n).
failure_domain const * find_domain(fleet_configuration const & configuration,
                                   std::string_view name) noexcept;

/// \returns the team called \p name, or nullptr. O(log n).
team const * find_team(fleet_configuration const & configuration,
                       std::string_view name) noexcept;

/// \returns the route that applies to a request for \p path on \p host, or nullptr.
/// O(number of routes).
caller_route const * find_route(fleet_configuration const & configuration,
                                std::string_view host, std::string_view path) noexcept;

} // namespace cassiahub::config

#endif
