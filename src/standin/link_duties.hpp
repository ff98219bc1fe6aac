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

/// What the relay reports of one link.
struct link_report
{
    link_spec m_spec;
    link_mode m_mode;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_open = 0;
    std::uint64_t m_forwarded_bytes = 0;
};

using report_ring = runtime::bounded_ring<std::vector<link_report>>;

/// Order to the relay: sets the mode of the links that match, unless \c m_changes is
/// false, then reports those links to \c m_reply.
struct link_command
{
    std::string m_from = "*";
    std::string m_to = "*";
    bool m_changes = false;
    link_mode m_mode;
    std::shared_ptr<report_ring> m_reply;
};

/// What the two duties share. The ring's eventfd wakes the relay's poll(2).
struct link_context
{
    explicit link_context(link_options const & options);

    link_options const & m_options;
    descriptor m_wake;
    runtime::bounded_ring<link_command> m_commands;
};

/// Duty: forwards bytes between the sockets of every link.
std::error_code run_relay(link_context & context, std::stop_token const & stop);

/// Duty: serves GET and PUT /links.
std::error_code run_link_control(link_context & context, std::stop_token const & stop);

} // namespace cassiahub::standin::internal

#endif
