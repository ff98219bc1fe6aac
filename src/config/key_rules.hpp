#ifndef CASSIAHUB_CONFIG_KEY_RULES_HPP
#define CASSIAHUB_CONFIG_KEY_RULES_HPP

#include <cassiahub/config/fleet_configuration.hpp>

#include <span>
#include <string_view>

namespace cassiahub::config::internal
{

/// One key of a section type: its allowed values and how a value is stored.
template <typename Record>
struct key_rule
{
    std::string_view m_key;
    std::string_view m_allowed; ///< allowed values, as text
    bool m_required = false;
    /// Stores \p value in \p record. \returns false when the value is not allowed.
    bool (*m_apply)(std::string_view value, Record & record) = nullptr;
    /// Default value, for the documentation; empty for a required key.
    std::string_view m_default = {};
    /// Meaning, in one line, for the documentation.
    std::string_view m_summary = {};
};

std::span<key_rule<team> const> team_rules() noexcept;
std::span<key_rule<failure_domain> const> domain_rules() noexcept;
std::span<key_rule<work_kind> const> kind_rules() noexcept;
std::span<key_rule<tenant> const> tenant_rules() noexcept;
std::span<key_rule<upstream> const> upstream_rules() noexcept;
std::span<key_rule<dispatch_settings> const> dispatch_rules() noexcept;

} // namespace cassiahub::config::internal

#endif
