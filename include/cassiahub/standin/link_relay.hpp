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

/// A TCP relay between two named endpoints: connections that \c m_from opens to m_listen
/// are forwarded to \c m_to at m_target. Bytes flow both ways.
struct link_spec
{
    std::string m_from;
    std::string m_to;
    std::string m_listen; ///< "ip:port"
    std::string m_target; ///< "ip:port"
};

/// How a link treats its connections.
enum class link_state
{
    healed, ///< forwards bytes
    closed, ///< resets every open and every new connection
    held    ///< accepts no connection, forwards no bytes, closes nothing
};

/// Fault setting of a link.
struct link_mode
{
    link_state m_state = link_state::healed;
    duration m_delay{0}; ///< delays the bytes of each direction
};

/// Links to relay and the address of the server that sets their modes.
struct link_options
{
    std::string m_control_address = "127.0.0.1:8600"; ///< serves /links
    std::vector<link_spec> m_links;
};

/// Parses "FROM,TO,LISTEN,TARGET". \returns false when it is malformed.
bool parse_link_spec(std::string_view text, link_spec & spec);

/// Reads the body of PUT /links. Absent members take their default.
/// \returns an empty string on success, else a message that lists the allowed values.
/// Thread-safe.
std::string parse_link_mode(std::string_view body, link_mode & mode);

std::string_view to_string(link_state state) noexcept;

/// \returns true when \p name equals \p pattern or, if \p pattern ends with '*', starts
/// with the part before it.
bool matches(std::string_view pattern, std::string_view name) noexcept;

/// Relays the links until \p stop is requested.
std::error_code run_links(link_options const & options, std::stop_token const & stop);

} // namespace cassiahub::standin

#endif
