#ifndef CASSIAHUB_TESTS_DECISION_ACTIONS_HPP
#define CASSIAHUB_TESTS_DECISION_ACTIONS_HPP

#include <cassiahub/decision.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cassiahub::decision
{

/// Removes the actions of one type from \p actions.
/// \returns these actions.
template <typename Action>
std::vector<Action> take_actions(std::vector<action> & actions)
{
    std::vector<Action> taken;
    std::erase_if(actions,
                  [&taken](action const & item)
                  {
                      auto const * const found = std::get_if<Action>(&item);
                      if (found != nullptr)
                      {
                          taken.push_back(*found);
                      }
                      return found != nullptr;
                  });
    return taken;
}

/// Removes the upstream calls of one type from \p actions.
/// \returns these calls.
template <typename Call>
std::vector<lease::upstream_call> take_calls(std::vector<action> & actions)
{
    std::vector<lease::upstream_call> taken;
    std::erase_if(actions,
                  [&taken](action const & item)
                  {
                      auto const * const call = std::get_if<lease::upstream_call>(&item);
                      bool const matches =
                          call != nullptr && std::holds_alternative<Call>(call->m_body);
                      if (matches)
                      {
                          taken.push_back(*call);
                      }
                      return matches;
                  });
    return taken;
}

/// \returns a configuration with the restartable kind "check" on \p service, the tenant
/// "pool" and a route to them.
inline std::shared_ptr<config::fleet_configuration>
make_leased_configuration(std::uint64_t version = 1, std::string const & service = "pool")
{
    auto result = std::make_shared<config::fleet_configuration>();
    result->m_version = version;
    config::work_kind kind;
    kind.m_name = "check";
    kind.m_restartable = true;
    kind.m_service = service;
    result->m_kinds = {kind};
    config::tenant tenant;
    tenant.m_name = "pool";
    result->m_tenants = {tenant};
    result->m_routes = {{"host", "/q/", "check", "pool"}};
    return result;
}

} // namespace cassiahub::decision

#endif
