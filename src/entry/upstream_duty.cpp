#include "entry/duties.hpp"

#include <cassiahub/codec.hpp>
#include <cassiahub/http.hpp>

#include <fmt/format.h>

#include <optional>
#include <string>
#include <utility>

namespace cassiahub::entry
{

namespace internal
{

/// A connection that was idle for longer than this is not reused. Well below the
/// upstream's own idle limit (20 s), so that the upstream does not close a connection
/// just as a request is sent.
constexpr duration max_idle_time = std::chrono::seconds(5);
constexpr duration wait_period = std::chrono::seconds(60);
constexpr duration cancel_timeout = std::chrono::seconds(1);

http::request make_task_request(dispatch::attempt_start const & start, duration remaining)
{
    auto const field = [](std::string_view name, std::string value)
    {
        return http::header{std::string(name), std::move(value)};
    };
    http::request made{"POST", "/v1/tasks", {}, {}, start.m_payload};
    made.m_headers = {
        field(codec::tenant_header, start.m_job.m_tenant),
        field(codec::home_domain_header, start.m_job.m_home_domain),
        field(codec::key_header, start.m_job.m_key),
        field(codec::task_header, std::to_string(start.m_task)),
        field(codec::attempt_header, to_string(start.m_attempt)),
        field(codec::kind_header, start.m_kind),
        field(codec::deadline_header, std::to_string(to_milliseconds(remaining))),
        field(codec::fencing_shard_header, start.m_token.m_shard),
        field(codec::fencing_epoch_header, std::to_string(start.m_token.m_epoch))};
    return made;
}

/// Decodes the upstream's response. A response that does not echo the attempt belongs to
/// another request, so the outcome of \p id stays unknown.
dispatch::attempt_result read_task_response(attempt_id const & id,
                                            http::response & received)
{
    dispatch::attempt_result result{id, dispatch::attempt_outcome::unknown, {}, false};
    if (http::find_header(received.m_headers, codec::attempt_header) != to_string(id))
    {
        return result;
    }
    std::string_view const ran = http::find_header(received.m_headers, codec::ran_header);
    result.m_upstream_leaving =
        http::find_header(received.m_headers, codec::leaving_header) == "true";
    if (received.m_status == 200)
    {
        result.m_outcome = dispatch::attempt_outcome::succeeded;
        result.m_payload = std::move(received.m_body);
    }
    else if (ran == "no")
    {
        result.m_outcome = dispatch::attempt_outcome::not_run;
    }
    else if (ran == "yes")
    {
        result.m_outcome = dispatch::attempt_outcome::failed;
    }
    return result;
}

/// \returns an idle or a new connection; m_handle is empty when \p address is
/// unreachable.
http::connection acquire_connection(connection_pool & pool, std::string const & address)
{
    connection_pool::idle_ring & idle = pool.idle_connections(address);
    time_point const now = runtime::read_boot_clock();
    while (std::optional<http::connection> idle_connection = idle.pop(duration::zero()))
    {
        if (now - idle_connection->m_idle_since <= max_idle_time)
        {
            return std::move(*idle_connection);
        }
    }
    std::error_code error;
    return http::connect(address, error);
}

void release_connection(connection_pool & pool, std::string const & address,
                        http::connection used)
{
    used.m_idle_since = runtime::read_boot_clock();
    // When the ring is full, the connection is closed.
    pool.idle_connections(address).try_push(std::move(used));
}

dispatch::attempt_result call_upstream(connection_pool & connections,
                                       dispatch::attempt_start const & start)
{
    using dispatch::attempt_outcome;
    http::connection used = acquire_connection(connections, start.m_upstream_address);
    time_point const now = runtime::read_boot_clock();
    // Checked immediately before the send, after every step that can block: the process
    // may have been paused until the shard lease expired.
    if (!used.m_handle || now >= start.m_send_before || now >= start.m_deadline)
    {
        return {start.m_attempt, attempt_outcome::not_run, {}, false};
    }
    duration const remaining = start.m_deadline - now;
    http::response received;
    std::error_code const error =
        http::exchange(used, make_task_request(start, remaining),
                       start.m_upstream_address, remaining, received);
    if (error)
    {
        bool const not_sent = error == http::http_errc::send_failed;
        dispatch::attempt_result result{start.m_attempt,
                                        not_sent ? attempt_outcome::not_run
                                                 : attempt_outcome::unknown,
                                        {},
                                        false};
        result.m_upstream_lost = error == http::http_errc::connection_broken;
        return result;
    }
    dispatch::attempt_result result = read_task_response(start.m_attempt, received);
    // An upstream closes its connections when it shuts down, perhaps just as the next
    // request is sent, so a connection to it is not reused.
    if (!result.m_upstream_leaving)
    {
        release_connection(connections, start.m_upstream_address, std::move(used));
    }
    return result;
}

void cancel_attempt(connection_pool & connections,
                    dispatch::attempt_cancel const & cancel)
{
    http::connection used = acquire_connection(connections, cancel.m_upstream_address);
    if (!used.m_handle)
    {
        return;
    }
    http::response received;
    http::request const sent{
        "DELETE", fmt::format("/v1/tasks/{}", to_string(cancel.m_attempt)), {}, {}, {}};
    if (!http::exchange(used, sent, cancel.m_upstream_address, cancel_timeout, received))
    {
        release_connection(connections, cancel.m_upstream_address, std::move(used));
    }
}

} // namespace internal

std::error_code run_upstream_caller(daemon_context & context,
                                    std::stop_token const & stop)
{
    while (!stop.stop_requested())
    {
        std::optional<dispatch::attempt_start> const start =
            context.m_attempts.pop(internal::wait_period, stop);
        if (!start)
        {
            continue;
        }
        dispatch::attempt_result result{
            start->m_attempt, dispatch::attempt_outcome::unknown, {}, false};
        try
        {
            result = internal::call_upstream(context.m_connections, *start);
        }
        catch (...)
        {
            // The attempt may have been sent before the exception, so its outcome stays
            // unknown.
            context.m_events.push(decision::attempt_finished{std::move(result)}, stop);
            throw;
        }
        context.m_events.push(decision::attempt_finished{std::move(result)}, stop);
    }
    return {};
}

std::error_code run_upstream_canceller(daemon_context & context,
                                       std::stop_token const & stop)
{
    while (!stop.stop_requested())
    {
        std::optional<dispatch::attempt_cancel> const cancel =
            context.m_cancellations.pop(internal::wait_period, stop);
        if (cancel)
        {
            internal::cancel_attempt(context.m_connections, *cancel);
        }
    }
    return {};
}

} // namespace cassiahub::entry
