#ifndef CASSIAHUB_CONFIG_INTERFERENCE_SETTINGS_HPP
#define CASSIAHUB_CONFIG_INTERFERENCE_SETTINGS_HPP

#include <string>
#include <vector>

namespace cassiahub::config
{

/// What is done about kinds that slow each other down on a shared upstream.
enum class interference_mode
{
    off,     ///< nothing is recorded
    observe, ///< recorded, shared with other instances and logged
    avoid    ///< also taken into account in placement and in the health of upstreams
};

/// Two kinds, in any order.
struct kind_pair
{
    std::string m_left;
    std::string m_right;
    bool operator==(kind_pair const &) const = default;
};

struct interference_settings
{
    interference_mode m_mode = interference_mode::observe;
    std::vector<kind_pair> m_keep_apart;  ///< kept apart whatever the evidence says
    std::vector<kind_pair> m_never_apart; ///< never kept apart
    bool operator==(interference_settings const &) const = default;
};

} // namespace cassiahub::config

#endif
