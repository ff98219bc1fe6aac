#include "entry/stop_times.hpp"
#include "gateway/context.hpp"
#include "gateway/event_loop.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/http/async_server.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <sys/resource.h>

#include <array>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cassiahub::gateway
{

namespace internal
{

/// Retry-After of requests that are refused before they reach the decision thread.
constexpr duration refusal_retry_after = std::chrono::seconds(1);
/// Time that the load balancer needs to detect that the instance is not ready: two failed
/// readiness checks, one each second.
constexpr duration load_balancer_detection_time = std::chrono::milliseconds(2500);
/// Interval at which a draining instance checks whether it is idle.
constexpr duration idle_check_period = std::chrono::milliseconds(50);
/// Descriptors that callers leave for upstreams (7 connections each), peers (two each),
/// the store, the load balancer, metrics and files.
constexpr std::size_t reserved_descriptors = 800;
/// Shortest time between two log lines about the same limit.
constexpr duration limit_line_period = std::chrono::seconds(1);
/// Limits of the servers for the load balancer and for metrics. Each has a few clients,
/// which send requests without a body.
constexpr std::size_t max_simple_connections = 32;
constexpr std::size_t max_simple_body_bytes = 4 * 1024;
constexpr std::size_t max_simple_held_bytes = 4 * 1024 * 1024;
/// Bytes held for a task beside its payload: its entries in the queues, in the job and in
/// the call to its upstream.
constexpr std::size_t task_overhead = 512;
/// Longest wait for the telemetry duty to format the metrics.
constexpr duration scrape_timeout = std::chrono::milliseconds(500);

/// How often clients reached a limit since the last log line about it.
struct limit_hits
{
    std::uint64_t m_count = 0;
    time_point m_last_line{};
};

/// State of the duty that serves callers.
struct caller_service
{
    gateway_context & m_context;
    boost::asio::io_context m_loop{1};
    http::async_server m_caller_server{};
    http::async_server m_load_balancer_server{};
    http::async_server m_metrics_server{};
    std::unordered_map<http::exchange_id, decision::key_operation>
        m_operations{}; ///< operations of requests not yet answered
    std::array<limit_hits, http::client_limit_count> m_limit_hits{}; ///< by client_limit
    bool m_stopping = false;          ///< the instance reports not ready but still serves
    bool m_accepting_stopped = false; ///< new connections are no longer accepted
};

/// Counts that a client of \p server has reached \p limit, and logs it at most once in
/// limit_line_period.
void record_limit(caller_service & service, std::string_view server,
                  http::client_limit limit, boost::asio::ip::address_v4 const & client)
{
    auto const index = static_cast<std::size_t>(limit);
    ++service.m_context.m_daemon.m_client_limit_hits[index];
    limit_hits & hits = service.m_limit_hits[index];
    ++hits.m_count;
    time_point const now = runtime::read_boot_clock();
    if (now - hits.m_last_line >= limit_line_period)
    {
        record(service.m_context.m_daemon,
               decision::log_event{"client_limited",
                                   client.to_string(),
                                   {},
                                   fmt::format("limit={} server={} count={}",
                                               http::to_string(limit), server,
                                               std::exchange(hits.m_count, 0))});
        hits.m_last_line = now;
    }
}

/// \returns the bytes that the job of \p request takes while it waits and runs.
std::size_t job_bytes(decision::routed_request const & request)
{
    std::size_t bytes = request.m_path.size() + request.m_request_id.size();
    for (task_spec const & task : request.m_spec.m_tasks)
    {
        bytes += task.m_payload.size() + task_overhead;
    }
    return bytes;
}

void send_answer(caller_service & service, http::exchange_id exchange,
                 decision::key_operation operation, job_answer const & result)
{
    http::response encoded = service.m_context.m_wire.m_encode_answer(operation, result);
    if (service.m_stopping)
    {
        encoded.m_headers.push_back({"Connection", "close"});
    }
    http::respond(*service.m_caller_server, exchange, std::move(encoded));
}

void handle_request(caller_service & service, http::exchange_id exchange,
                    http::request received)
{
    decision::routed_request request;
    request.m_caller = exchange;
    std::error_code const error =
        service.m_context.m_wire.m_decode_request(std::move(received), request);
    decision::key_operation const operation = request.m_operation;
    if (error)
    {
        record(service.m_context.m_daemon,
               decision::log_event{"request_refused", std::move(request.m_path), error,
                                   "request=" + request.m_request_id});
        send_answer(service, exchange, operation,
                    {error, run_state::no, refusal_retry_after, {}});
        return;
    }
    if (!http::hold_bytes(*service.m_caller_server, exchange, job_bytes(request)))
    {
        send_answer(service, exchange, operation,
                    {job_errc::overloaded, run_state::no, refusal_retry_after, {}});
        return;
    }
    service.m_operations.emplace(exchange, operation);
    if (!service.m_context.m_daemon.m_events.try_push(std::move(request)))
    {
        service.m_operations.erase(exchange);
        send_answer(service, exchange, operation,
                    {job_errc::overloaded, run_state::no, refusal_retry_after, {}});
    }
}

/// Logs a request whose caller disconnected before the request was handled. The request
/// is not run.
void log_abandoned(caller_service const & service, http::request received)
{
    decision::routed_request request;
    std::error_code const error =
        service.m_context.m_wire.m_decode_request(std::move(received), request);
    record(service.m_context.m_daemon,
           decision::log_event{"request_abandoned", std::move(request.m_path), error,
                               "request=" + request.m_request_id});
}

void handle_disconnect(caller_service & service, http::exchange_id exchange)
{
    service.m_operations.erase(exchange);
    // When the ring is full, the event is dropped: the job then runs on, and its answer
    // is discarded.
    service.m_context.m_daemon.m_events.try_push(decision::caller_disconnected{exchange});
}

void send_answers(caller_service & service)
{
    std::vector<entry::caller_answer> answers;
    service.m_context.m_daemon.m_answers.pop_all(answers, duration::zero());
    for (entry::caller_answer const & next : answers)
    {
        auto const operation = service.m_operations.extract(next.m_caller);
        if (operation)
        {
            send_answer(service, next.m_caller, operation.mapped(), next.m_answer);
        }
    }
}

http::response serve_readiness(caller_service const & service,
                               http::request const & received)
{
    constexpr int not_found = 404;

    if (!service.m_context.m_wire.m_is_readiness_request(received))
    {
        return {not_found, "application/json", {}, "{}"};
    }
    bool const ready = service.m_context.m_daemon.m_ready && !service.m_stopping;
    return {ready ? 200 : 503, "application/json", {}, "{}"};
}

http::response serve_metrics(caller_service const & service,
                             http::request const & received)
{
    if (received.m_path != "/metrics")
    {
        return {404, "text/plain", {}, "not found\n"};
    }
    auto const reply = std::make_shared<runtime::bounded_ring<std::string>>(1);
    record(service.m_context.m_daemon, entry::scrape_request{reply});
    std::optional<std::string> text = reply->pop(scrape_timeout);
    return text ? http::response{200, "text/plain; version=0.0.4", {}, std::move(*text)}
                : http::response{
                      503,
                      "text/plain",
                      {},
                      "no metrics: the telemetry thread did not reply in time\n"};
}

/// Starts a server that answers each request synchronously with \p serve.
/// \param name for the log.
template <typename Serve>
http::async_server start_simple_server(caller_service & service,
                                       std::string const & address, std::string_view name,
                                       http::async_server & server, Serve serve,
                                       std::error_code & error)
{
    http::async_server_options options;
    options.m_address = address;
    options.m_limits.m_max_connections = max_simple_connections;
    options.m_limits.m_max_body_bytes = max_simple_body_bytes;
    options.m_limits.m_max_held_bytes = max_simple_held_bytes;
    return http::start_async_server(
        service.m_loop, options,
        {[&service, &server, serve](http::exchange_id exchange, http::request received)
         { http::respond(*server, exchange, serve(service, received)); },
         [](http::exchange_id) {}, nullptr,
         [&service, name](http::client_limit limit,
                          boost::asio::ip::address_v4 const & client)
         {
             record_limit(service, name, limit, client);
         }},
        error);
}

/// \returns the limits for callers, with no more connections than the process has
/// descriptors for.
http::connection_limits make_caller_limits(caller_service & service)
{
    constexpr std::size_t kib = 1024;
    config::gateway_settings const & settings = service.m_context.m_settings;
    http::connection_limits limits;
    limits.m_max_header_bytes = settings.m_max_header_kib * kib;
    limits.m_max_body_bytes = settings.m_max_body_kib * kib;
    limits.m_max_chunk_bytes = settings.m_max_chunk_kib * kib;
    limits.m_max_connection_bytes = settings.m_max_connection_kib * kib;
    limits.m_max_held_bytes = settings.m_max_held_mib * kib * kib;
    limits.m_max_connections = settings.m_max_connections;
    limits.m_head_timeout = settings.m_head_timeout;
    limits.m_body_timeout = settings.m_body_timeout;
    limits.m_idle_timeout = settings.m_idle_timeout;
    limits.m_response_timeout = settings.m_response_timeout;
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0)
    {
        limits.m_max_connections = http::usable_connections(
            limits.m_max_connections, descriptors.rlim_cur, reserved_descriptors);
    }
    if (limits.m_max_connections < settings.m_max_connections)
    {
        record(service.m_context.m_daemon,
               decision::log_event{"connections_limited",
                                   settings.m_instance,
                                   {},
                                   fmt::format("max_connections={} usable={}",
                                               settings.m_max_connections,
                                               limits.m_max_connections)});
    }
    return limits;
}

std::error_code start_servers(caller_service & service)
{
    std::error_code error;
    config::gateway_settings const & settings = service.m_context.m_settings;
    http::async_server_options options;
    options.m_address = settings.m_caller_address;
    options.m_limits = make_caller_limits(service);
    service.m_caller_server = http::start_async_server(
        service.m_loop, options,
        {[&service](http::exchange_id exchange, http::request received)
         { handle_request(service, exchange, std::move(received)); },
         [&service](http::exchange_id exchange) { handle_disconnect(service, exchange); },
         [&service](http::request received)
         { log_abandoned(service, std::move(received)); },
         [&service](http::client_limit limit, boost::asio::ip::address_v4 const & client)
         {
             record_limit(service, "callers", limit, client);
         }},
        error);
    if (!error)
    {
        service.m_load_balancer_server =
            start_simple_server(service, settings.m_ready_address, "readiness",
                                service.m_load_balancer_server, serve_readiness, error);
    }
    if (!error)
    {
        service.m_metrics_server =
            start_simple_server(service, settings.m_metrics_address, "metrics",
                                service.m_metrics_server, serve_metrics, error);
    }
    return error;
}

/// Continues to serve until nothing is in progress or the grace period is nearly over.
void drain(caller_service & service)
{
    service.m_stopping = true;
    entry::daemon_context & daemon = service.m_context.m_daemon;
    time_point const drain_start = runtime::read_boot_clock();
    time_point const drain_deadline =
        drain_start + service.m_context.m_settings.m_grace - entry::stop_margin;
    daemon.m_events.push(decision::drain_requested{}, {});
    service.m_loop.restart();
    while (runtime::read_boot_clock() < drain_deadline)
    {
        service.m_loop.run_for(
            std::chrono::duration_cast<std::chrono::milliseconds>(idle_check_period));
        bool const load_balancer_informed =
            runtime::read_boot_clock() - drain_start >= load_balancer_detection_time;
        if (load_balancer_informed && !service.m_accepting_stopped)
        {
            service.m_accepting_stopped = true;
            http::stop_accepting(*service.m_caller_server);
        }
        bool const idle = daemon.m_idle_notices.pop(duration::zero()).has_value();
        if (load_balancer_informed && idle &&
            http::open_exchanges(*service.m_caller_server) == 0)
        {
            return;
        }
    }
}

} // namespace internal

std::error_code run_callers(gateway_context & context, std::stop_token const & stop)
{
    internal::caller_service service{context};
    if (std::error_code const error = internal::start_servers(service))
    {
        return error;
    }
    wake_watcher const watcher(service.m_loop, context.m_daemon.m_answer_wake.get(),
                               [&service] { internal::send_answers(service); });
    run_until_stopped(service.m_loop, stop);
    internal::drain(service);
    return {};
}

} // namespace cassiahub::gateway
