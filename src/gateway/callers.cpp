#include "entry/stop_times.hpp"
#include "gateway/context.hpp"
#include "gateway/event_loop.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/http/async_server.hpp>
#include <cassiahub/runtime/boot_clock.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
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
/// Longest wait for the telemetry duty to format the metrics.
constexpr duration scrape_timeout = std::chrono::milliseconds(500);

/// State of the duty that serves callers.
struct caller_service
{
    gateway_context & m_context;
    boost::asio::io_context m_loop{1};
    http::async_server m_caller_server{};
    http::async_server m_load_balancer_server{};
    http::async_server m_metrics_server{};
    std::unordered_map<http::exchange_id, decision::key_operation>
        m_operations{};               ///< operations of requests not yet answered
    bool m_stopping = false;          ///< the instance reports not ready but still serves
    bool m_accepting_stopped = false; ///< new connections are no longer accepted
};

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
template <typename Serve>
http::async_server
start_simple_server(caller_service & service, std::string const & address,
                    http::async_server & server, Serve serve, std::error_code & error)
{
    http::async_server_options options;
    options.m_address = address;
    return http::start_async_server(
        service.m_loop, options,
        {[&service, &server, serve](http::exchange_id exchange, http::request received)
         { http::respond(*server, exchange, serve(service, received)); },
         [](http::exchange_id) {}, nullptr},
        error);
}

std::error_code start_servers(caller_service & service)
{
    std::error_code error;
    config::gateway_settings const & settings = service.m_context.m_settings;
    http::async_server_options options;
    options.m_address = settings.m_caller_address;
    service.m_caller_server = http::start_async_server(
        service.m_loop, options,
        {[&service](http::exchange_id exchange, http::request received)
         { handle_request(service, exchange, std::move(received)); },
         [&service](http::exchange_id exchange) { handle_disconnect(service, exchange); },
         [&service](http::request received)
         {
             log_abandoned(service, std::move(received));
         }},
        error);
    if (!error)
    {
        service.m_load_balancer_server =
            start_simple_server(service, settings.m_ready_address,
                                service.m_load_balancer_server, serve_readiness, error);
    }
    if (!error)
    {
        service.m_metrics_server =
            start_simple_server(service, settings.m_metrics_address,
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
