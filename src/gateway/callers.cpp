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

/// Callers are told to come back after this when the instance itself is full.
constexpr duration full_retry_after = std::chrono::seconds(1);
/// Time after the stop request in which the balancer notices that the instance is not
/// ready: two misses of a request each second.
constexpr duration balancer_delay = std::chrono::milliseconds(2500);
/// Kept from the grace time for the end of the process itself.
constexpr duration stop_margin = std::chrono::milliseconds(800);
/// Time between two looks at whether a stopping instance is idle.
constexpr duration drain_period = std::chrono::milliseconds(50);
/// Longest time to wait for the metrics.
constexpr duration scrape_timeout = std::chrono::milliseconds(500);

/// State of the duty that serves callers.
struct caller_service
{
    gateway_context & m_context;
    boost::asio::io_context m_loop{1};
    http::async_server m_callers{};
    http::async_server m_balancer{};
    http::async_server m_metrics{};
    std::unordered_map<http::exchange_id, decision::key_operation> m_operations{};
    bool m_stopping = false; ///< not ready; requests are still served
    bool m_closing = false;  ///< no more connections
};

void answer(caller_service & service, http::exchange_id exchange,
            decision::key_operation operation, job_answer const & result)
{
    http::response made = service.m_context.m_wire.m_write_answer(operation, result);
    if (service.m_stopping)
    {
        made.m_headers.push_back({"Connection", "close"});
    }
    http::respond(*service.m_callers, exchange, std::move(made));
}

void take_request(caller_service & service, http::exchange_id exchange,
                  http::request received)
{
    decision::routed_request request;
    request.m_caller = exchange;
    std::error_code const error =
        service.m_context.m_wire.m_read_request(std::move(received), request);
    decision::key_operation const operation = request.m_operation;
    if (error)
    {
        record(service.m_context.m_daemon,
               decision::log_event{"request_refused", std::move(request.m_path), error,
                                   "request=" + request.m_request_id});
        answer(service, exchange, operation,
               {error, run_state::no, full_retry_after, {}});
        return;
    }
    service.m_operations.emplace(exchange, operation);
    if (!service.m_context.m_daemon.m_events.try_push(std::move(request)))
    {
        service.m_operations.erase(exchange);
        answer(service, exchange, operation,
               {job_errc::overloaded, run_state::no, full_retry_after, {}});
    }
}

/// Logs a request whose caller had left before it was read. It is not run.
void log_abandoned(caller_service const & service, http::request received)
{
    decision::routed_request request;
    std::error_code const error =
        service.m_context.m_wire.m_read_request(std::move(received), request);
    record(service.m_context.m_daemon,
           decision::log_event{"request_abandoned", std::move(request.m_path), error,
                               "request=" + request.m_request_id});
}

void take_departure(caller_service & service, http::exchange_id exchange)
{
    service.m_operations.erase(exchange);
    // A full ring only means that the job goes on to its answer.
    service.m_context.m_daemon.m_events.try_push(decision::caller_gone{exchange});
}

void deliver_answers(caller_service & service)
{
    std::vector<entry::caller_answer> answers;
    service.m_context.m_daemon.m_answers.pop_all(answers, duration::zero());
    for (entry::caller_answer const & next : answers)
    {
        auto const operation = service.m_operations.extract(next.m_caller);
        if (operation)
        {
            answer(service, next.m_caller, operation.mapped(), next.m_answer);
        }
    }
}

http::response serve_balancer(caller_service const & service,
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
                : http::response{503, "text/plain", {}, "metrics are not available\n"};
}

/// Starts a server that answers each request at once.
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
    service.m_callers = http::start_async_server(
        service.m_loop, options,
        {[&service](http::exchange_id exchange, http::request received)
         { take_request(service, exchange, std::move(received)); },
         [&service](http::exchange_id exchange) { take_departure(service, exchange); },
         [&service](http::request received)
         {
             log_abandoned(service, std::move(received));
         }},
        error);
    if (!error)
    {
        service.m_balancer = start_simple_server(
            service, settings.m_ready_address, service.m_balancer, serve_balancer, error);
    }
    if (!error)
    {
        service.m_metrics = start_simple_server(service, settings.m_metrics_address,
                                                service.m_metrics, serve_metrics, error);
    }
    return error;
}

/// Serves on until nothing is in progress, within the grace time.
void drain(caller_service & service)
{
    service.m_stopping = true;
    entry::daemon_context & daemon = service.m_context.m_daemon;
    time_point const begun = runtime::read_boot_clock();
    time_point const limit = begun + service.m_context.m_settings.m_grace - stop_margin;
    daemon.m_events.push(decision::drain_requested{}, {});
    service.m_loop.restart();
    while (runtime::read_boot_clock() < limit)
    {
        service.m_loop.run_for(
            std::chrono::duration_cast<std::chrono::milliseconds>(drain_period));
        bool const noticed = runtime::read_boot_clock() - begun >= balancer_delay;
        if (noticed && !service.m_closing)
        {
            service.m_closing = true;
            http::stop_accepting(*service.m_callers);
        }
        bool const idle = daemon.m_idle_notices.pop(duration::zero()).has_value();
        if (noticed && idle && http::open_exchanges(*service.m_callers) == 0)
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
                               [&service] { internal::deliver_answers(service); });
    run_until_stopped(service.m_loop, stop);
    internal::drain(service);
    return {};
}

} // namespace cassiahub::gateway
