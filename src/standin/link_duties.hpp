#ifndef CASSIAHUB_STANDIN_LINK_DUTIES_HPP
#define CASSIAHUB_STANDIN_LINK_DUTIES_HPP

#include "standin/link_stream.hpp"

#include <cassiahub/runtime/bounded_ring.hpp>
#include <cassiahub/standin/link_relay.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cassiahub::standin::internal
{

/// State and counters of one link.
struct link_status
{
    link_spec m_spec;
    link_mode m_mode;
    std::uint64_t m_accepted = 0; ///< connections accepted since the start
    std::uint64_t m_open = 0;     ///< connections open now
    std::uint64_t m_forwarded_bytes = 0;
};

using status_ring = runtime::bounded_ring<std::vector<link_status>>;

/// Command to the relay thread: sets the mode of the matching links if \c m_sets_mode is
/// true, then pushes the status of those links to \c m_reply.
struct link_command
{
    std::string m_from = "*"; ///< pattern, see matches()
    std::string m_to = "*";   ///< pattern, see matches()
    bool m_sets_mode = false;
    link_mode m_mode;
    std::shared_ptr<status_ring> m_reply;
};

/// State shared by the relay thread and the control thread. A push to m_commands signals
/// the eventfd m_wake, which ends the relay's poll(2).
struct link_context
{
    explicit link_context(link_options const & options);

    link_options const & m_options;
    descriptor m_wake;
    runtime::bounded_ring<link_command> m_commands;
};

/// Body of the relay thread: forwards bytes between the sockets of all links.
std::error_code run_relay(link_context & context, std::stop_token const & stop);

/// Body of the control thread: serves GET and PUT /links.
std::error_code run_link_control(link_context & context, std::stop_token const & stop);

} // namespace cassiahub::standin::internal

#endif
