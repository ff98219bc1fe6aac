#include "config/key_rules.hpp"

#include <cassiahub/config/key_documentation.hpp>

namespace cassiahub::config
{

namespace internal
{

template <typename Record>
void append_keys(std::string_view section, std::span<key_rule<Record> const> rules,
                 std::vector<key_documentation> & keys)
{
    for (key_rule<Record> const & rule : rules)
    {
        keys.push_back({section, rule.m_key, rule.m_allowed, rule.m_required,
                        rule.m_default, rule.m_summary});
    }
}

} // namespace internal

std::vector<key_documentation> list_keys()
{
    std::vector<key_documentation> keys;
    internal::append_keys("team", internal::team_rules(), keys);
    internal::append_keys("domain", internal::domain_rules(), keys);
    internal::append_keys("kind", internal::kind_rules(), keys);
    internal::append_keys("tenant", internal::tenant_rules(), keys);
    internal::append_keys("upstream", internal::upstream_rules(), keys);
    internal::append_keys("dispatch", internal::dispatch_rules(), keys);
    return keys;
}

} // namespace cassiahub::config
