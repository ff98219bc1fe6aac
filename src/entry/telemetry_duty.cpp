#include "entry/duties.hpp"

#include <cassiahub/core/error.hpp>
#include <cassiahub/telemetry.hpp>

#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <utility>
#include <vector>

namespace cassiahub::entry
{

namespace internal
{

constexpr duration wait_period = std::chrono::seconds(60);

/// State of the telemetry duty.
struct telemetry_context
{
    daemon_context & m_daemon;
    telemetry::metrics m_metrics;
    telemetry::log_limiter m_limiter; ///< limits the rate of log lines by code
};

void write_event(telemetry_context & context, telemetry::log_level level,
                 std::string_view code, std::string_view subject, std::error_code error,
                 std::string_view detail = {})
{
    telemetry::log_permission const permission =
        telemetry::admit_line(context.m_limiter, code, runtime::read_boot_clock());
    if (!permission.m_allowed)
    {
        return;
    }
    std::string const message = error ? error.message() : std::string();
    std::string const suppressed = std::to_string(permission.m_suppressed_before);
    std::array<telemetry::log_field, 4> const fields = {
        {{"subject", subject},
         {"error", message},
         {"detail", detail},
         {"suppressed_before", suppressed}}};
    telemetry::write_log(level, context.m_daemon.m_settings.m_instance, code, fields);
}

void handle(telemetry_context & context, decision::log_event & event)
{
    write_event(context,
                event.m_error ? telemetry::log_level::warning
                              : telemetry::log_level::info,
                event.m_code, event.m_subject, event.m_error, event.m_detail);
}

void handle(telemetry_context & context, decision::observe_job & job)
{
    std::string const code = job.m_error ? job.m_error.message() : "ok";
    telemetry::record_job(context.m_metrics, job.m_tenant, job.m_kind, code,
                          job.m_response_time);
}

/// Logs and counts each violated invariant, then aborts the process when the environment
/// variable CASSIAHUB_ABORT_ON_BROKEN_INVARIANT is set, as in test runs.
void report_broken_invariants(telemetry_context & context, state_sample const & sample)
{
    for (std::string_view const name : sample.m_broken_invariants)
    {
        ++context.m_metrics.m_totals["cassiahub_broken_invariants_total"];
        write_event(context, telemetry::log_level::error, "invariant_broken", name, {});
    }
    bool const fatal = std::getenv("CASSIAHUB_ABORT_ON_BROKEN_INVARIANT") != nullptr;
    if (fatal && !sample.m_broken_invariants.empty())
    {
        std::abort();
    }
}

/// Sets the gauge \p name to the age of a copy, unless there is none.
void set_age(telemetry::metrics & target, std::string_view name, time_point asked_at)
{
    if (asked_at != time_point())
    {
        std::chrono::duration<double> const age = runtime::read_boot_clock() - asked_at;
        telemetry::set_gauge(target, name, age.count());
    }
}

void record_store_usage(telemetry::metrics & target, store_usage const & usage)
{
    using telemetry::set_total;
    set_total(target, "cassiahub_store_requests_total", usage.m_requests);
    set_total(target, "cassiahub_store_failures_total", usage.m_failures);
    set_total(target, "cassiahub_store_received_bytes_total", usage.m_received_bytes);
    set_age(target, "cassiahub_configuration_age_seconds",
            usage.m_configuration_asked_at);
    set_age(target, "cassiahub_registrations_age_seconds", usage.m_upstreams_asked_at);
}

void handle(telemetry_context & context, state_sample & sample)
{
    using telemetry::set_gauge;
    using telemetry::set_total;
    telemetry::metrics & target = context.m_metrics;
    set_gauge(target, "cassiahub_free_slots", sample.m_load.m_free_slots);
    set_gauge(target, "cassiahub_queued_tasks", sample.m_load.m_queued_tasks);
    set_gauge(target, "cassiahub_open_jobs", static_cast<double>(sample.m_open_jobs));
    set_gauge(target, "cassiahub_live_members",
              static_cast<double>(sample.m_live_members));
    set_gauge(target, "cassiahub_served_shards",
              static_cast<double>(sample.m_served_shards));
    set_gauge(target, "cassiahub_drained_upstreams",
              static_cast<double>(sample.m_drained_upstreams));
    set_gauge(target, "cassiahub_unregistered_upstreams",
              static_cast<double>(sample.m_unregistered_upstreams));
    set_gauge(target, "cassiahub_configuration_version",
              static_cast<double>(sample.m_configuration_version));
    set_gauge(target, "cassiahub_store_contact", sample.m_store_contact ? 1 : 0);
    dispatch::dispatch_counters const & counters = sample.m_counters;
    set_total(target, "cassiahub_first_attempts_total", counters.m_first_attempts);
    set_total(target, "cassiahub_retries_total", counters.m_retries);
    set_total(target, "cassiahub_hedges_total", counters.m_hedges);
    set_total(target, "cassiahub_forwards_total", counters.m_forwards);
    set_total(target, "cassiahub_capacity_requests_total",
              sample.m_capacity_requests_sent);
    set_total(target, "cassiahub_useful_results_total", counters.m_useful_results);
    set_total(target, "cassiahub_wasted_messages_total", wasted_messages(counters));
    set_total(target, "cassiahub_ejections_total", counters.m_ejections);
    set_total(target, "cassiahub_shed_jobs_total", counters.m_shed_jobs);
    set_total(target, "cassiahub_upstream_losses_total", counters.m_losses);
    set_total(target, "cassiahub_convicted_jobs_total", counters.m_convicted_jobs);
    set_total(target, "cassiahub_withheld_jobs_total", counters.m_withheld_jobs);
    set_total(target, "cassiahub_moved_placements_total", counters.m_moved_placements);
    set_gauge(target, "cassiahub_pairs_apart", static_cast<double>(sample.m_pairs_apart));
    set_total(target, "cassiahub_interference_ignored_total", sample.m_ignored_runs);
    set_total(target, "cassiahub_documents_sent_total", sample.m_documents_sent);
    set_total(target, "cassiahub_document_bytes_sent_total",
              sample.m_document_bytes_sent);
    set_total(target, "cassiahub_documents_received_total", sample.m_documents_received);
    daemon_context & daemon = context.m_daemon;
    record_store_usage(target, daemon.m_store_usage);
    set_total(target, "cassiahub_telemetry_dropped_total", daemon.m_telemetry_dropped);
    set_total(target, "cassiahub_peer_messages_sent_total",
              daemon.m_peer_counters.m_messages_sent);
    set_total(target, "cassiahub_peer_sessions_broken_total",
              daemon.m_peer_counters.m_sessions_broken);
    for (std::size_t index = 0; index < http::client_limit_count; ++index)
    {
        set_total(target,
                  fmt::format("cassiahub_client_limit_{}_total",
                              http::to_string(static_cast<http::client_limit>(index))),
                  daemon.m_client_limit_hits[index]);
    }
    report_broken_invariants(context, sample);
}

void handle(telemetry_context & context, scrape_request & request)
{
    request.m_reply->try_push(telemetry::format_exposition(context.m_metrics));
}

} // namespace internal

std::error_code run_telemetry(daemon_context & context, std::stop_token const & stop)
{
    internal::telemetry_context state{context, {}, {}};
    internal::write_event(state, telemetry::log_level::info, "started",
                          context.m_settings.m_domain, {});
    std::vector<telemetry_item> items;
    while (!stop.stop_requested())
    {
        context.m_telemetry.pop_all(items, internal::wait_period, stop);
        for (telemetry_item & next : items)
        {
            std::visit([&state](auto & item) { internal::handle(state, item); }, next);
        }
        items.clear();
        telemetry::flush_log();
    }
    internal::write_event(state, telemetry::log_level::info, "stopped",
                          context.m_settings.m_domain, {});
    return {};
}

} // namespace cassiahub::entry
