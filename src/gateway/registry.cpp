#include "entry/stop_times.hpp"
#include "gateway/context.hpp"
#include "gateway/event_loop.hpp"
#include "gateway/registration.hpp"

#include <cassiahub/codec/job_json.hpp>
#include <cassiahub/gateway/error.hpp>
#include <cassiahub/http/async_client.hpp>
#include <cassiahub/http/error.hpp>
#include <cassiahub/runtime/boot_clock.hpp>
#include <cassiahub/store/error.hpp>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cassiahub::gateway
{

namespace internal
{

/// Long-poll time of a watch. A connection that has gone silent is detected only when the
/// watch times out, so this time is shorter than the time in which a new configuration
/// must be in force.
constexpr duration watch_wait = std::chrono::milliseconds(1000);
/// Time allowed beyond the long-poll time until a reply begins, and while it arrives
/// without any part of it. A slow store takes a few hundred milliseconds; how long a
/// reply takes on its way depends on its size and on the path.
constexpr duration reply_timeout = std::chrono::milliseconds(900);
/// Time allowed after a request that failed, so that a path whose queues delay every
/// reply by more than reply_timeout is usable. Shorter than the time in which an instance
/// must be in touch after an outage.
constexpr duration extended_reply_timeout = std::chrono::milliseconds(1800);
/// Pause between two watches of the upstream table, whose rows change all the time. The
/// next watch returns the changes made meanwhile; a draining upstream is detected well
/// within 2 s.
constexpr duration upstream_watch_pause = std::chrono::milliseconds(700);
/// Interval at which this instance renews its registration; a third of
/// membership::registration_timeout.
constexpr duration registration_period = std::chrono::milliseconds(1000);
/// Interval at which the registrations of the other instances are read.
constexpr duration listing_period = std::chrono::milliseconds(1000);
/// Used instead of listing_period while no other instance has been found.
constexpr duration discovery_listing_period = std::chrono::milliseconds(150);
/// Shortest and longest pause of the exponential backoff after failed requests.
constexpr duration min_retry_pause = std::chrono::milliseconds(60);
constexpr duration max_retry_pause = std::chrono::milliseconds(500);
/// Two watches, a listing and a renewal may be open at the same time.
constexpr std::size_t store_connections = 6;

/// Largest reply of the store. The registrations of 7,400 upstreams take about 5 MB.
constexpr std::size_t max_reply_bytes = 8 * 1024 * 1024;

/// Local copy of a store table: read once in full, then updated by watches.
struct replicated_table
{
    store_table m_table = store_table::configuration;
    std::map<std::string, store_row> m_rows; ///< by key
    std::uint64_t m_version = 0; ///< the next watch asks for changes after this version
    time_point m_asked_at; ///< when the first request of the read, or the watch, was sent
    time_point m_replied_at;      ///< when the last one succeeded
    bool m_loaded = false;        ///< read in full since the store last lost its history
    std::uint32_t m_failures = 0; ///< consecutive failed requests
    duration m_watch_pause{0};    ///< pause between two watches
    std::map<std::string, store_row>
        m_partial_rows;                  ///< rows of the paged read in progress
    std::uint64_t m_partial_version = 0; ///< version of its first page
    std::unique_ptr<boost::asio::steady_timer> m_timer;
};

/// Decoded row of an upstream's registration.
struct decoded_registration
{
    std::optional<std::uint64_t> m_row_version; ///< row that was decoded
    std::error_code m_error;                    ///< why the row is ignored
    decision::discovered_upstream m_upstream;
};

struct registry_state
{
    gateway_context & m_context;
    std::stop_token m_stop;
    boost::asio::io_context m_loop{1};
    http::async_client m_client{};
    replicated_table m_configuration{};
    replicated_table m_upstreams{};
    std::map<std::string, decoded_registration> m_registrations{}; ///< by key
    /// Rows of the last listing that are no registration, and why, by key.
    std::map<std::string, std::error_code> m_ignored_instances{};
    boost::asio::steady_timer m_registration_timer{m_loop};
    boost::asio::steady_timer m_listing_timer{m_loop};
    /// Store version of the last change or full read of the operator's table, and the
    /// highest one so far.
    std::uint64_t m_drains_version = 0;
    std::uint64_t m_highest_drains_version = 0;
    std::set<std::string>
        m_ignored_drains{};         ///< keys of rows that were logged as ignored
    bool m_store_reachable = true;  ///< the last store request succeeded
    std::size_t m_listed_count = 0; ///< instances in the last listing, with this one
    std::int64_t m_clock_ms = 0;    ///< store clock in its last reply, ms; 0: none yet
    time_point m_clock_read_at{};   ///< local time at which m_clock_ms was received
};

/// A reply that takes longer than this beyond its long poll is logged. A store without
/// trouble replies within tens of milliseconds.
constexpr duration slow_reply = std::chrono::milliseconds(500);

using rows_handler = std::function<void(store_status, store_rows)>;

void push_event(registry_state & state, decision::event pushed)
{
    state.m_context.m_daemon.m_events.push(std::move(pushed), state.m_stop);
}

/// Logs when requests to the store begin to fail and when they succeed again.
void log_reachability(registry_state & state, bool reached, std::error_code error)
{
    if (std::exchange(state.m_store_reachable, reached) != reached)
    {
        record(state.m_context.m_daemon,
               decision::log_event{reached ? "store_regained" : "store_lost",
                                   state.m_context.m_settings.m_store_address, error});
    }
}

std::string_view to_string(store_table table) noexcept
{
    switch (table)
    {
    case store_table::configuration:
        return "configuration";
    case store_table::upstreams:
        return "upstreams";
    case store_table::instances:
        return "instances";
    }
    return "";
}

/// A request to the store that has ended.
struct ended_request
{
    store_table m_table = store_table::configuration;
    duration m_time{0};      ///< from the request to its end
    duration m_wait{0};      ///< of the long poll
    std::error_code m_error; ///< empty when there is a response
    store_status m_status = store_status::refused;
    std::size_t m_rows = 0;
};

/// Counts \p request, and logs it when it failed or was slow.
void record_end(registry_state & state, ended_request const & request,
                http::response const & received)
{
    entry::store_usage & usage = state.m_context.m_daemon.m_store_usage;
    usage.m_received_bytes += received.m_body.size();
    bool const failed = request.m_status != store_status::done;
    usage.m_failures += failed ? 1 : 0;
    if (failed || request.m_time - request.m_wait > slow_reply)
    {
        record(state.m_context.m_daemon,
               decision::log_event{
                   failed ? "store_request_failed" : "store_reply_slow",
                   std::string(to_string(request.m_table)), request.m_error,
                   fmt::format("elapsed_ms={} wait_ms={} status={} bytes={} rows={}",
                               to_milliseconds(request.m_time),
                               to_milliseconds(request.m_wait),
                               request.m_error ? 0 : received.m_status,
                               received.m_body.size(), request.m_rows)});
    }
}

/// \param allowance time allowed beyond \p wait until the reply begins.
void send(registry_state & state, store_table table, http::request sent, duration wait,
          duration allowance, rows_handler handler)
{
    ++state.m_context.m_daemon.m_store_usage.m_requests;
    http::send_request(
        *state.m_client, state.m_context.m_settings.m_store_address, std::move(sent),
        wait + allowance,
        [&state, table, wait, sent_at = runtime::read_boot_clock(),
         handler = std::move(handler)](std::error_code error,
                                       http::response const & received)
        {
            store_rows rows;
            store_status const status =
                error ? store_status::refused
                      : state.m_context.m_wire.m_decode_rows(received, rows);
            record_end(state,
                       {table, runtime::read_boot_clock() - sent_at, wait, error, status,
                        rows.m_rows.size()},
                       received);
            log_reachability(state, status == store_status::done,
                             error ? error
                                   : std::error_code(store::store_errc::unavailable));
            if (status == store_status::done && rows.m_clock_ms > 0)
            {
                state.m_clock_ms = rows.m_clock_ms;
                state.m_clock_read_at = runtime::read_boot_clock();
                push_event(state, decision::fleet_clock_read{rows.m_clock_ms});
            }
            handler(status, std::move(rows));
        });
}

void publish_configuration(registry_state & state)
{
    std::string const key(state.m_context.m_wire.m_configuration_key());
    auto const found = state.m_configuration.m_rows.find(key);
    if (found != state.m_configuration.m_rows.end())
    {
        submit_document(state.m_context, found->second.m_value, state.m_stop);
    }
}

void confirm_configuration(registry_state & state)
{
    push_event(state,
               decision::configuration_confirmed{state.m_configuration.m_asked_at});
}

/// Publishes the drained domains with the version of the last change, which every reply
/// about the table confirms.
void publish_drained_domains(registry_state & state)
{
    decision::domains_drained drained;
    for (auto const & [key, row] : state.m_configuration.m_rows)
    {
        auto const domain = state.m_context.m_wire.m_drained_domain(key);
        if (domain && (domain->empty() || domain->size() > codec::max_key_length))
        {
            if (state.m_ignored_drains.insert(key).second)
            {
                record(state.m_context.m_daemon,
                       decision::log_event{"drain_ignored",
                                           key.substr(0, codec::max_key_length),
                                           make_error_code(registration_errc::bad_domain),
                                           fmt::format("version={}", row.m_version)});
            }
        }
        else if (domain)
        {
            drained.m_domains.emplace_back(*domain);
        }
    }
    drained.m_version = state.m_drains_version;
    drained.m_asked_at = state.m_configuration.m_asked_at;
    drained.m_replaces = state.m_drains_version < state.m_highest_drains_version;
    push_event(state, std::move(drained));
}

/// Decodes a row that has changed. Logs when it is ignored for another reason than
/// before.
void decode_registration(registry_state & state, store_row const & row,
                         decoded_registration & decoded)
{
    std::error_code const before = decoded.m_error;
    decoded = {row.m_version, {}, {}};
    decoded.m_error = state.m_context.m_wire.m_decode_upstream(row.m_key, row.m_value,
                                                               decoded.m_upstream);
    if (decoded.m_error && decoded.m_error != before)
    {
        record(state.m_context.m_daemon,
               decision::log_event{"upstream_ignored", row.m_key, decoded.m_error,
                                   fmt::format("version={} bytes={}", row.m_version,
                                               row.m_value.size())});
    }
}

void publish_upstreams(registry_state & state)
{
    std::erase_if(state.m_registrations, [&state](auto const & item)
                  { return !state.m_upstreams.m_rows.contains(item.first); });
    decision::upstreams_discovered discovered;
    for (auto const & [key, row] : state.m_upstreams.m_rows)
    {
        decoded_registration & decoded = state.m_registrations[key];
        if (decoded.m_row_version != row.m_version)
        {
            decode_registration(state, row, decoded);
        }
        if (!decoded.m_error)
        {
            discovered.m_upstreams.push_back(decoded.m_upstream);
        }
    }
    push_event(state, std::move(discovered));
}

void publish(registry_state & state, replicated_table const & table)
{
    if (table.m_table == store_table::configuration)
    {
        state.m_drains_version = table.m_version;
        state.m_highest_drains_version =
            std::max(state.m_highest_drains_version, table.m_version);
        // Before the configuration, without which no task is started.
        publish_drained_domains(state);
        publish_configuration(state);
        confirm_configuration(state);
    }
    else
    {
        publish_upstreams(state);
    }
}

void call_after_pause(boost::asio::steady_timer & timer, duration pause,
                      std::function<void()> call)
{
    timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(pause));
    timer.async_wait(
        [call = std::move(call)](boost::system::error_code error)
        {
            if (!error)
            {
                call();
            }
        });
}

void replicate(registry_state & state, replicated_table & table);

void replicate_after_pause(registry_state & state, replicated_table & table)
{
    duration const pause = std::min<duration>(
        min_retry_pause * (1 << std::min<std::uint32_t>(table.m_failures, 6)),
        max_retry_pause);
    ++table.m_failures;
    call_after_pause(*table.m_timer, pause,
                     [&state, &table] { replicate(state, table); });
}

/// Records that the copy reflects the current read or watch.
void record_success(registry_state & state, replicated_table & table)
{
    table.m_failures = 0;
    table.m_replied_at = runtime::read_boot_clock();
    entry::store_usage & usage = state.m_context.m_daemon.m_store_usage;
    auto & asked_at = table.m_table == store_table::configuration
                          ? usage.m_configuration_asked_at
                          : usage.m_upstreams_asked_at;
    asked_at = table.m_asked_at;
}

duration reply_allowance(replicated_table const & table) noexcept
{
    return table.m_failures == 0 ? reply_timeout : extended_reply_timeout;
}

/// \returns the first key after \p key in byte order, as long as keys contain no space or
/// control character.
std::string next_key(std::string const & key)
{
    return key + '!';
}

void read_table(registry_state & state, replicated_table & table, std::string_view from)
{
    auto on_rows = [&state, &table](store_status status, store_rows rows)
    {
        if (status != store_status::done)
        {
            replicate_after_pause(state, table);
            return;
        }
        if (table.m_partial_rows.empty())
        {
            table.m_partial_version = rows.m_version;
        }
        std::string last_key;
        for (store_row & row : rows.m_rows)
        {
            last_key = row.m_key;
            table.m_partial_rows[last_key] = std::move(row);
        }
        if (rows.m_more && !rows.m_rows.empty())
        {
            read_table(state, table, next_key(last_key));
            return;
        }
        table.m_rows = std::exchange(table.m_partial_rows, {});
        // The pages are read one after another, so only changes up to the version of the
        // first page are certain to be included. The watch returns the later ones.
        table.m_version = table.m_partial_version;
        table.m_loaded = true;
        record_success(state, table);
        publish(state, table);
        replicate(state, table);
    };
    send(state, table.m_table, state.m_context.m_wire.m_encode_read(table.m_table, from),
         duration::zero(), reply_allowance(table), std::move(on_rows));
}

void apply_changes(registry_state & state, replicated_table & table, store_rows rows)
{
    record_success(state, table);
    table.m_version = std::max(table.m_version, rows.m_version);
    for (store_row & row : rows.m_rows)
    {
        if (row.m_removed)
        {
            table.m_rows.erase(row.m_key);
        }
        else
        {
            std::string key = row.m_key;
            table.m_rows[std::move(key)] = std::move(row);
        }
    }
    if (!rows.m_rows.empty())
    {
        publish(state, table);
    }
    else if (table.m_table == store_table::configuration)
    {
        publish_drained_domains(state);
        confirm_configuration(state);
    }
}

void watch_table(registry_state & state, replicated_table & table)
{
    auto on_rows = [&state, &table](store_status status, store_rows rows)
    {
        if (status == store_status::done)
        {
            apply_changes(state, table, std::move(rows));
            call_after_pause(*table.m_timer, table.m_watch_pause,
                             [&state, &table] { replicate(state, table); });
            return;
        }
        table.m_loaded = table.m_loaded && status != store_status::history_lost;
        replicate_after_pause(state, table);
    };
    // After a suspension or an outage the reply is needed at once.
    bool const overdue = table.m_asked_at - table.m_replied_at > watch_wait;
    duration const wait = overdue ? duration::zero() : watch_wait;
    send(state, table.m_table,
         state.m_context.m_wire.m_encode_watch(table.m_table, table.m_version, wait),
         wait, reply_allowance(table), std::move(on_rows));
}

void replicate(registry_state & state, replicated_table & table)
{
    if (table.m_partial_rows.empty())
    {
        table.m_asked_at = runtime::read_boot_clock();
    }
    if (table.m_loaded)
    {
        watch_table(state, table);
        return;
    }
    // A read that has failed goes on after the pages that have arrived. If the store has
    // lost the history since the first one, the watch tells and the read begins anew.
    auto const last = table.m_partial_rows.rbegin();
    read_table(state, table,
               last == table.m_partial_rows.rend() ? "" : next_key(last->first));
}

/// \returns the current store clock in ms, extrapolated from its last reply, or 0 before
/// the first reply.
std::int64_t store_clock(registry_state const & state)
{
    return state.m_clock_ms == 0
               ? 0
               : state.m_clock_ms +
                     to_milliseconds(runtime::read_boot_clock() - state.m_clock_read_at);
}

void renew_registration(registry_state & state)
{
    config::gateway_settings const & settings = state.m_context.m_settings;
    std::string const value = format_registration(
        {settings.m_domain, settings.m_peer_address, store_clock(state)});
    send(state, store_table::instances,
         state.m_context.m_wire.m_encode_write(store_table::instances,
                                               settings.m_instance, value),
         duration::zero(), reply_timeout,
         [&state](store_status status, store_rows const &)
         {
             bool const done = status == store_status::done;
             call_after_pause(state.m_registration_timer,
                              done ? registration_period : max_retry_pause,
                              [&state] { renew_registration(state); });
         });
}

/// Logs a row that is no registration when it is ignored for another reason than before.
void log_ignored_instance(registry_state & state, store_row const & row,
                          std::error_code error)
{
    auto const known = state.m_ignored_instances.find(row.m_key);
    if (known == state.m_ignored_instances.end() || known->second != error)
    {
        record(state.m_context.m_daemon,
               decision::log_event{"instance_ignored", row.m_key, error,
                                   fmt::format("version={} bytes={}", row.m_version,
                                               row.m_value.size())});
    }
}

void publish_instances(registry_state & state, store_rows const & rows)
{
    decision::instances_listed listed;
    std::map<std::string, std::error_code> ignored;
    for (store_row const & row : rows.m_rows)
    {
        registration entry;
        std::error_code const error = row.m_key.empty()
                                          ? make_error_code(registration_errc::bad_name)
                                          : parse_registration(row.m_value, entry);
        if (error)
        {
            log_ignored_instance(state, row, error);
            ignored.emplace(row.m_key, error);
            continue;
        }
        bool const has_age = entry.m_renewed_ms > 0 && rows.m_clock_ms > 0;
        duration const age = std::chrono::milliseconds(
            has_age ? std::max<std::int64_t>(0, rows.m_clock_ms - entry.m_renewed_ms)
                    : 0);
        listed.m_instances.push_back({row.m_key, std::move(entry.m_domain),
                                      std::move(entry.m_peer_address), true, false,
                                      row.m_version, age});
    }
    state.m_ignored_instances = std::move(ignored);
    state.m_listed_count = listed.m_instances.size();
    push_event(state, std::move(listed));
}

void list_instances(registry_state & state)
{
    send(state, store_table::instances,
         state.m_context.m_wire.m_encode_read(store_table::instances, {}),
         duration::zero(), reply_timeout,
         [&state](store_status status, store_rows const & rows)
         {
             if (status == store_status::done)
             {
                 publish_instances(state, rows);
             }
             call_after_pause(state.m_listing_timer,
                              state.m_listed_count > 1 ? listing_period
                                                       : discovery_listing_period,
                              [&state] { list_instances(state); });
         });
}

/// Removes the registration, so that the other instances need not wait for it to expire.
void remove_registration(registry_state & state)
{
    bool replied = false;
    send(state, store_table::instances,
         state.m_context.m_wire.m_encode_write(store_table::instances,
                                               state.m_context.m_settings.m_instance, {}),
         duration::zero(), reply_timeout,
         [&replied](store_status, store_rows const &) { replied = true; });
    state.m_loop.restart();
    auto const limit = std::chrono::steady_clock::now() +
                       std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                           entry::deregistration_timeout);
    while (!replied && std::chrono::steady_clock::now() < limit)
    {
        state.m_loop.run_one_until(limit);
    }
}

} // namespace internal

std::error_code run_registry(gateway_context & context, std::stop_token const & stop)
{
    using namespace internal;
    registry_state state{context, stop};
    http::async_client_options options;
    options.m_connections = store_connections;
    options.m_connect_timeout = extended_reply_timeout;
    options.m_stall_timeout = reply_timeout;
    options.m_max_body_bytes = max_reply_bytes;
    state.m_client = http::make_async_client(state.m_loop, options);
    state.m_upstreams.m_table = store_table::upstreams;
    state.m_upstreams.m_watch_pause = upstream_watch_pause;
    for (replicated_table * const table : {&state.m_configuration, &state.m_upstreams})
    {
        table->m_timer = std::make_unique<boost::asio::steady_timer>(state.m_loop);
        replicate(state, *table);
    }
    renew_registration(state);
    list_instances(state);
    run_until_stopped(state.m_loop, stop);
    remove_registration(state);
    return {};
}

} // namespace cassiahub::gateway
