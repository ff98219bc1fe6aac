#ifndef CASSIAHUB_STANDIN_LINK_RELAY_HPP
#define CASSIAHUB_STANDIN_LINK_RELAY_HPP

#include <cassiahub/core/time.hpp>

#include <stop_token>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace cassiahub::standin
{

/// One direction between two named parties: what \c m_from sends to m_listen reaches
/// \c m_to at m_target, and the answers come back.
struct link_spec
{
    std::string m_from;
    std::string m_to;
    std::string m_listen; ///< "ip:port"
    std::string m_target; ///< "ip:port"
};

/// What a link does with its connections.
enum class link_state
{
    healed, ///< forwards
    closed, ///< closes every connection at once
    held    ///< keeps connections open and forwards nothing
};

/// State and one-way delay of a link.
struct link_mode
{
    link_state m_state = link_state::healed;
    duration m_delay{0};
};

/// Settings of the link stand-in.
struct link_options
{
    std::string m_control_address = "127.0.0.1:8600";
    std::vector<link_spec> m_links;
};

/// Parses "FROM,TO,LISTEN,TARGET". \returns false when it is malformed.
bool parse_link_spec(std::string_view text, link_spec & spec);

/// Reads the body of PUT /links. Members that are absent take their default.
/// \returns an empty text, or what is wrong and what is allowed. Thread-safe.
std::string parse_link_mode(std::string_view body, link_mode & mode);

std::string_view to_string(link_state state) noexcept;

/// \returns true when \p name is \p pattern, or begins with it up to a final '*'.
bool matches(std::string_view pattern, std::string_view name) noexcept;

/// Relays the links until \p stop is requested.
std::error_code run_links(link_options const & options, std::stop_token const & stop);

} // namespace cassiahub::standin

#endif
