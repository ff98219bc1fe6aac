#include "entry/duties.hpp"
#include "entry/stop_times.hpp"

#include <cassiahub/peer.hpp>

namespace cassiahub::entry
{

std::error_code run_peer(daemon_context & context, std::stop_token const & stop)
{
    peer::exchange_options options;
    options.m_instance = context.m_settings.m_instance;
    // Constant after the construction of the context, so it may be read without a lock.
    options.m_incarnation = context.m_incarnation;
    options.m_listen_address = context.m_settings.m_peer_address;
    options.m_secret = context.m_settings.m_peer_secret;
    options.m_limits.m_drain_timeout = last_messages_timeout;
    options.m_limits.m_incoming_connections = context.m_settings.m_max_peer_connections;
    options.m_limits.m_message_bytes = context.m_settings.m_max_peer_message_bytes;
    options.m_on_rejected =
        [&context](std::string_view peer, std::error_code error, std::string_view detail)
    {
        record(context, decision::log_event{"peer_rejected", std::string(peer), error,
                                            std::string(detail)});
    };
    return peer::run_exchange(
        options, {context.m_peer_messages, context.m_events, context.m_peer_wake.get()},
        context.m_peer_counters, stop);
}

} // namespace cassiahub::entry
