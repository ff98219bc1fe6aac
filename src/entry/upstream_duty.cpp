#include "entry/duties.hpp"

#include <cassiahub/codec.hpp>
#include <cassiahub/http.hpp>

#include <fmt/format.h>

#include <map>
#include <string>
#include <utility>

namespace cassiahub::entry
{

namespace internal
{

/// A kept connection is not used again after this time: the upstream's own limit
/// (20 s) must not close it just as a request is sent.
constexpr duration max_idle_time = std::chrono::seconds(5);
constexpr duration wait_period = std::chrono::seconds(60);
constexpr duration cancel_timeout = std::chrono::seconds(1);

/// Connections of one upstream duty, one for each upstream address.
using connection_map = std::map<std::string, http::connection>;

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

/// Reads what the upstream said. An answer that does not echo the attempt belongs to
/// another request, so it proves nothing.
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

http::connection * open_connection(connection_map & connections,
                                   std::string const & address)
{
    http::connection & kept = connections[address];
    if (!kept.m_handle || runtime::read_boot_clock() - kept.m_idle_since > max_idle_time)
    {
        std::error_code error;
        kept = http::connect(address, error);
    }
    return kept.m_handle ? &kept : nullptr;
}

dispatch::attempt_result call_upstream(connection_map & connections,
                                       dispatch::attempt_start const & start)
{
    using dispatch::attempt_outcome;
    http::connection * const used =
        open_connection(connections, start.m_upstream_address);
    time_point const now = runtime::read_boot_clock();
    // Checked after every wait, just before the send: the holder of a lease may have
    // been paused.
    if (used == nullptr || now >= start.m_send_before || now >= start.m_deadline)
    {
        return {start.m_attempt, attempt_outcome::not_run, {}, false};
    }
    duration const remaining = start.m_deadline - now;
    http::response received;
    std::error_code const error =
        http::exchange(*used, make_task_request(start, remaining),
                       start.m_upstream_address, remaining, received);
    if (error)
    {
        connections.erase(start.m_upstream_address);
        bool const not_sent = error == http::http_errc::send_failed;
        return {start.m_attempt,
                not_sent ? attempt_outcome::not_run : attempt_outcome::unknown,
                {},
                false};
    }
    used->m_idle_since = runtime::read_boot_clock();
    dispatch::attempt_result result = read_task_response(start.m_attempt, received);
    if (result.m_upstream_leaving)
    {
        // It will close the connection soon, perhaps just as a request is sent.
        connections.erase(start.m_upstream_address);
    }
    return result;
}

void cancel_attempt(connection_map & connections, dispatch::attempt_cancel const & cancel)
{
    http::connection * const used =
        open_connection(connections, cancel.m_upstream_address);
    if (used == nullptr)
    {
        return;
    }
    http::response received;
    http::request const sent{
        "DELETE", fmt::format("/v1/tasks/{}", to_string(cancel.m_attempt)), {}, {}, {}};
    if (http::exchange(*used, sent, cancel.m_upstream_address, cancel_timeout, received))
    {
        connections.erase(cancel.m_upstream_address);
        return;
    }
    used->m_idle_since = runtime::read_boot_clock();
}

} // namespace internal

std::error_code run_upstream_caller(daemon_context & context,
                                    std::stop_token const & stop)
{
    internal::connection_map connections;
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
            result = internal::call_upstream(connections, *start);
        }
        catch (...)
        {
            // The attempt may have been sent before the duty failed.
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
    internal::connection_map connections;
    while (!stop.stop_requested())
    {
        std::optional<dispatch::attempt_cancel> const cancel =
            context.m_cancellations.pop(internal::wait_period, stop);
        if (cancel)
        {
            internal::cancel_attempt(connections, *cancel);
        }
    }
    return {};
}

} // namespace cassiahub::entry
