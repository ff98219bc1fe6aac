#include "entry/duties.hpp"
#include "entry/operator_endpoints.hpp"
#include "entry/stop_times.hpp"

#include <cassiahub/codec.hpp>
#include <cassiahub/core/error.hpp>
#include <cassiahub/http.hpp>

#include <fmt/format.h>

#include <thread>
#include <utility>

namespace cassiahub::entry
{

namespace internal
{

constexpr std::string_view jobs_path = "/v1/jobs";
/// Extra time after a job's deadline that a listener thread waits for the answer. The
/// decision thread answers every job by its deadline.
constexpr duration answer_margin = std::chrono::seconds(5);
constexpr duration query_timeout = std::chrono::seconds(5);
/// Time after a stop request in which new connections are still accepted, and their jobs
/// refused as not run, until the platform's load balancer has seen that /readyz changed.
constexpr duration accept_time_after_stop = std::chrono::milliseconds(500);
/// Longest wait for the answers that decision::drain_expired causes.
constexpr duration last_answers_timeout = std::chrono::milliseconds(300);

/// RAII reservation of an answer ring for one request.
class answer_ring_reservation
{
public:
    explicit answer_ring_reservation(daemon_context & context)
        : m_context(context), m_index(context.m_free_answer_rings.pop(duration::zero()))
    {
    }

    answer_ring_reservation(answer_ring_reservation const &) = delete;
    answer_ring_reservation & operator=(answer_ring_reservation const &) = delete;

    ~answer_ring_reservation()
    {
        if (m_index)
        {
            m_context.m_free_answer_rings.try_push(std::uint32_t(*m_index));
        }
    }

    bool has_ring() const noexcept
    {
        return m_index.has_value();
    }

    /// \pre is_held()
    std::uint32_t index() const noexcept
    {
        return *m_index;
    }

private:
    daemon_context & m_context;
    std::optional<std::uint32_t> m_index;
};

http::response make_problem(job_answer const & answer)
{
    int const status = codec::http_status(answer.m_error);
    http::response problem{status,
                           "application/problem+json",
                           {},
                           codec::format_problem(status, answer.m_error, answer.m_ran)};
    if (answer.m_retry_after > duration::zero())
    {
        // Retry-After counts whole seconds; rounding up never asks for a retry too early.
        auto const seconds =
            std::chrono::ceil<std::chrono::seconds>(answer.m_retry_after).count();
        problem.m_headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return problem;
}

http::response refuse(job_errc error)
{
    return make_problem({error, run_state::no, duration::zero(), {}});
}

http::response refuse_with_retry(job_errc error)
{
    return make_problem({error, run_state::no, std::chrono::seconds(1), {}});
}

/// \param allowed methods of the resource, for the Allow header.
http::response refuse_method(std::string_view allowed)
{
    constexpr int method_not_allowed = 405;
    return {method_not_allowed,
            "application/problem+json",
            {{"Allow", std::string(allowed)}},
            codec::format_problem(method_not_allowed, job_errc::malformed_request,
                                  run_state::no)};
}

/// Waits for the answer with \p token; late answers to earlier requests are dropped.
/// \returns outcome_unknown after \p timeout.
job_answer wait_for_answer(answer_ring & answers, decision::caller_id token,
                           duration timeout)
{
    time_point const deadline = runtime::read_boot_clock() + timeout;
    while (true)
    {
        duration const remaining = deadline - runtime::read_boot_clock();
        std::optional<caller_answer> answer =
            answers.pop(std::max(remaining, duration::zero()));
        if (answer && answer->m_caller == token)
        {
            return std::move(answer->m_answer);
        }
        if (!answer)
        {
            return {job_errc::outcome_unknown, run_state::unknown, {}, {}};
        }
    }
}

/// \returns a number that distinguishes a request from earlier ones that used the same
/// answer ring, so that a late answer never reaches a later caller.
std::uint64_t next_request_number()
{
    static std::atomic<std::uint32_t> counter{0};
    return ++counter;
}

http::response request_decision(daemon_context & context,
                                decision::key_operation operation, job_spec spec)
{
    answer_ring_reservation const reservation(context);
    if (!reservation.has_ring())
    {
        return refuse_with_retry(job_errc::overloaded);
    }
    decision::caller_id const token = next_request_number() << 32 | reservation.index();
    duration const timeout = operation == decision::key_operation::submit
                                 ? spec.m_time_limit + answer_margin
                                 : query_timeout;
    job_key const key = spec.m_key;
    if (!context.m_events.try_push(
            decision::caller_request{token, operation, std::move(spec)}))
    {
        return refuse_with_retry(job_errc::overloaded);
    }
    job_answer const answer =
        wait_for_answer(context.m_answer_rings[reservation.index()], token, timeout);
    if (answer.m_error)
    {
        return make_problem(answer);
    }
    return {200, "application/json", {}, codec::format_job_answer(key, answer)};
}

bool read_key(http::request const & received, std::string_view key, job_key & parsed)
{
    parsed.m_tenant = http::find_header(received.m_headers, codec::tenant_header);
    parsed.m_home_domain =
        http::find_header(received.m_headers, codec::home_domain_header);
    parsed.m_key = key;
    bool const home_is_valid =
        parsed.m_home_domain.empty() || codec::is_valid_key(parsed.m_home_domain);
    return codec::is_valid_key(parsed.m_tenant) && home_is_valid &&
           codec::is_valid_key(parsed.m_key);
}

http::response submit_job(daemon_context & context, http::request const & received)
{
    job_spec spec;
    if (!read_key(received, http::find_header(received.m_headers, codec::key_header),
                  spec.m_key))
    {
        return refuse(job_errc::malformed_request);
    }
    if (std::error_code const error = codec::parse_job_body(received.m_body, spec))
    {
        return make_problem({error, run_state::no, duration::zero(), {}});
    }
    return request_decision(context, decision::key_operation::submit, std::move(spec));
}

http::response serve_job(daemon_context & context, http::request const & received)
{
    job_spec spec;
    std::string_view const key =
        std::string_view(received.m_path).substr(jobs_path.size() + 1);
    if (!read_key(received, key, spec.m_key))
    {
        return refuse(job_errc::malformed_request);
    }
    if (received.m_method == "GET")
    {
        return request_decision(context, decision::key_operation::query, std::move(spec));
    }
    if (received.m_method == "DELETE")
    {
        return request_decision(context, decision::key_operation::cancel,
                                std::move(spec));
    }
    return refuse_method("GET, DELETE");
}

http::response serve_metrics(daemon_context & context)
{
    constexpr duration scrape_timeout = std::chrono::seconds(2);
    auto const reply = std::make_shared<runtime::bounded_ring<std::string>>(1);
    record(context, scrape_request{reply});
    std::optional<std::string> text = reply->pop(scrape_timeout);
    if (!text)
    {
        return {503,
                "text/plain",
                {},
                "no metrics: the telemetry thread did not reply in time\n"};
    }
    return {200, "text/plain; version=0.0.4", {}, std::move(*text)};
}

http::response serve_readiness(daemon_context & context, bool stopping)
{
    bool const ready = context.m_ready && !stopping;
    return {ready ? 200 : 503,
            "application/json",
            {},
            fmt::format("{{\"ready\":{},\"configuration_version\":{}}}\n", ready,
                        context.m_configuration_version.load())};
}

http::response serve(daemon_context & context, http::request const & received,
                     bool stopping)
{
    if (received.m_path == jobs_path)
    {
        if (received.m_method != "POST")
        {
            return refuse_method("POST");
        }
        return submit_job(context, received);
    }
    if (received.m_path.starts_with("/v1/jobs/"))
    {
        return serve_job(context, received);
    }
    if (received.m_path == "/livez")
    {
        return {200, "text/plain", {}, "ok\n"};
    }
    if (received.m_path == "/metrics")
    {
        return serve_metrics(context);
    }
    if (received.m_path == "/readyz")
    {
        return serve_readiness(context, stopping);
    }
    return refuse(job_errc::not_found);
}

} // namespace internal

std::error_code run_listener(daemon_context & context, std::stop_token const & stop)
{
    http::server_options options;
    options.m_address = context.m_settings.m_caller_address;
    options.m_threads = context.m_settings.m_caller_threads;
    constexpr std::size_t kib = 1024;
    options.m_max_body_bytes = context.m_settings.m_max_body_kib * kib;
    options.m_max_held_bytes = context.m_settings.m_max_held_mib * kib * kib;
    options.m_limit_reached =
        [&context](http::client_limit limit, std::string_view client)
    {
        ++context.m_client_limit_hits[static_cast<std::size_t>(limit)];
        record(context,
               decision::log_event{"client_limited",
                                   std::string(client),
                                   {},
                                   fmt::format("limit={}", http::to_string(limit))});
    };
    std::error_code error;
    operator_state operator_endpoints(context);
    http::server const server = http::start_server(
        options,
        [&context, &operator_endpoints, &stop](http::request const & received)
        {
            bool const stopping = stop.stop_requested();
            return is_operator_path(received.m_path)
                       ? serve_operator(operator_endpoints, received, stopping)
                       : internal::serve(context, received, stopping);
        },
        error);
    if (error)
    {
        return error;
    }
    runtime::wait_for_stop(stop);
    time_point const deadline =
        runtime::read_boot_clock() + context.m_settings.m_grace - stop_margin;
    // From now on the decision thread refuses new jobs and completes those in progress.
    context.m_events.push(decision::drain_requested{}, {});
    std::this_thread::sleep_for(internal::accept_time_after_stop);
    bool const answered =
        http::wait_until_idle(*server, deadline - runtime::read_boot_clock());
    // Discards an idle notice that may have been sent before the last request was served.
    context.m_idle_notices.pop(duration::zero());
    bool const idle =
        answered && context.m_idle_notices.pop(std::max(
                        duration::zero(), deadline - runtime::read_boot_clock()));
    if (!idle)
    {
        record(context,
               decision::log_event{"stop_cut_short", context.m_settings.m_instance,
                                   job_errc::draining,
                                   answered ? "waiting=peers" : "waiting=callers"});
        context.m_events.push(decision::drain_expired{}, {});
        http::wait_until_idle(*server, internal::last_answers_timeout);
    }
    return {};
}

} // namespace cassiahub::entry
