#include "gateway/context.hpp"
#include "gateway/event_loop.hpp"

#include <cassiahub/gateway/error.hpp>
#include <cassiahub/http/async_client.hpp>
#include <cassiahub/http/error.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <optional>
#include <string_view>
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

/// Longest reason of a failed encoder or decoder in a log line, bytes.
constexpr std::size_t max_logged_reason = 160;

/// Largest reply of an upstream. One with the ends of hundreds of runs takes tens of KiB;
/// a gateway has up to 7 connections to each of 11 upstreams.
constexpr std::size_t max_reply_bytes = 256 * 1024;

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
    options.m_max_body_bytes = max_reply_bytes;
    return http::make_async_client(loop, options);
}

/// Logs that the call \p number to \p upstream failed for what the codec has thrown.
void log_failed_call(gateway_context & context, std::string const & upstream,
                     lease::call_number number, call_errc error,
                     std::exception const & thrown)
{
    std::string_view const reason = thrown.what();
    record(context.m_daemon,
           decision::log_event{"upstream_call_failed", upstream, error,
                               fmt::format("call={} reason={}", number,
                                           reason.substr(0, max_logged_reason))});
}

lease::call_outcome outcome_of(std::error_code error) noexcept
{
    return http::may_have_arrived(error) ? lease::call_outcome::lost
                                         : lease::call_outcome::unreachable;
}

/// \returns the decoded reply. One that cannot be decoded is logged and counts as lost.
lease::upstream_reply decode(gateway_context & context, std::string const & upstream,
                             lease::call_number number, http::response const & received)
{
    // The exception must not leave the event loop, which would end all other calls.
    try
    {
        return context.m_wire.m_decode_reply(received);
    }
    catch (std::exception const & thrown)
    {
        log_failed_call(context, upstream, number, call_errc::not_decodable, thrown);
        return {};
    }
}

/// Reports the reply to the call \p number to the decision thread.
/// \param error why there is no reply; \p received is then unspecified.
void report_reply(gateway_context & context, std::string const & upstream,
                  lease::call_number number, std::error_code error,
                  http::response const & received, std::stop_token const & stop)
{
    lease::upstream_reply reply;
    if (error)
    {
        reply.m_outcome = outcome_of(error);
    }
    else
    {
        reply = decode(context, upstream, number, received);
    }
    reply.m_number = number;
    reply.m_upstream = upstream;
    context.m_daemon.m_events.push(decision::upstream_replied{std::move(reply)}, stop);
}

/// \returns the encoded call, or nothing when it cannot be encoded, which is logged.
std::optional<http::request> encode(gateway_context & context,
                                    lease::upstream_call const & call)
{
    // The exception must not leave the event loop, which would end all other calls.
    try
    {
        return context.m_wire.m_encode_call(call);
    }
    catch (std::exception const & thrown)
    {
        log_failed_call(context, call.m_upstream, call.m_number, call_errc::not_encodable,
                        thrown);
        return std::nullopt;
    }
}

void send_call(gateway_context & context, call_clients & clients,
               lease::upstream_call const & call, std::stop_token const & stop)
{
    std::optional<http::request> encoded = encode(context, call);
    if (!encoded)
    {
        report_reply(context, call.m_upstream, call.m_number, call_errc::not_encodable,
                     {}, stop);
        return;
    }
    bool const renews = std::holds_alternative<lease::renew_call>(call.m_body);
    duration const time_left = call.m_send_before - runtime::read_boot_clock();
    auto on_response = [&context, &stop, number = call.m_number,
                        upstream = call.m_upstream](std::error_code error,
                                                    http::response const & received)
    {
        if (error == http::http_errc::response_too_large)
        {
            record(context.m_daemon,
                   decision::log_event{"reply_too_large", upstream, error});
        }
        report_reply(context, upstream, number, error, received, stop);
    };
    if (time_left <= duration::zero())
    {
        on_response(http::http_errc::connect_failed, {}); // nothing was sent
        return;
    }
    http::send_request(renews ? *clients.m_renewals : *clients.m_starts_and_stops,
                       call.m_address, std::move(*encoded),
                       std::min(call.m_timeout, time_left), std::move(on_response));
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
