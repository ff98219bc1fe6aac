#include "gateway/context.hpp"
#include "gateway/event_loop.hpp"

#include <cassiahub/http/async_client.hpp>
#include <cassiahub/http/error.hpp>

#include <utility>
#include <vector>

namespace cassiahub::gateway
{

namespace internal
{

/// Connections to one upstream for lease renewals. Separate from the connections for
/// start and stop calls, because a renewal is a long poll. Two of them may be waiting for
/// a reply that was lost.
constexpr std::size_t renewal_connections = 3;
/// Concurrent start and stop calls to one upstream.
constexpr std::size_t start_stop_connections = 4;
/// Connect timeout of upstreams; one round trip takes a few milliseconds.
constexpr duration connect_timeout = std::chrono::milliseconds(300);

struct call_clients
{
    http::async_client m_renewals;
    http::async_client m_starts_and_stops;
};

http::async_client make_client(boost::asio::io_context & loop, std::size_t connections)
{
    http::async_client_options options;
    options.m_connections = connections;
    options.m_connect_timeout = connect_timeout;
    return http::make_async_client(loop, options);
}

lease::upstream_reply make_reply(gateway_context const & context, std::error_code error,
                                 http::response const & received)
{
    if (!error)
    {
        return context.m_wire.m_decode_reply(received);
    }
    lease::upstream_reply reply;
    reply.m_outcome = error == http::http_errc::connect_failed
                          ? lease::call_outcome::unreachable
                          : lease::call_outcome::lost;
    return reply;
}

void send_call(gateway_context & context, call_clients & clients,
               lease::upstream_call const & call, std::stop_token const & stop)
{
    bool const renews = std::holds_alternative<lease::renew_call>(call.m_body);
    auto on_response = [&context, &stop, number = call.m_number,
                        upstream = call.m_upstream](std::error_code error,
                                                    http::response const & received)
    {
        lease::upstream_reply reply = make_reply(context, error, received);
        reply.m_number = number;
        reply.m_upstream = upstream;
        context.m_daemon.m_events.push(decision::upstream_replied{std::move(reply)},
                                       stop);
    };
    http::send_request(renews ? *clients.m_renewals : *clients.m_starts_and_stops,
                       call.m_address, context.m_wire.m_encode_call(call), call.m_timeout,
                       std::move(on_response));
}

} // namespace internal

std::error_code run_upstream_calls(gateway_context & context,
                                   std::stop_token const & stop)
{
    boost::asio::io_context loop(1);
    internal::call_clients clients{
        internal::make_client(loop, internal::renewal_connections),
        internal::make_client(loop, internal::start_stop_connections)};
    std::vector<lease::upstream_call> calls;
    wake_watcher const watcher(loop, context.m_daemon.m_call_wake.get(),
                               [&]
                               {
                                   context.m_daemon.m_upstream_calls.pop_all(
                                       calls, duration::zero());
                                   for (lease::upstream_call const & call : calls)
                                   {
                                       internal::send_call(context, clients, call, stop);
                                   }
                                   calls.clear();
                               });
    run_until_stopped(loop, stop);
    return {};
}

} // namespace cassiahub::gateway
