#ifndef CASSIAHUB_ENTRY_CONTEXT_HPP
#define CASSIAHUB_ENTRY_CONTEXT_HPP

#include "entry/connection_pool.hpp"

#include <cassiahub/config/process_settings.hpp>
#include <cassiahub/decision.hpp>
#include <cassiahub/http/connection_limits.hpp>
#include <cassiahub/peer.hpp>
#include <cassiahub/runtime.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahub::entry
{

/// Request of the decision thread to the store duty.
using store_command = std::variant<decision::write_store, decision::read_store>;

/// Snapshot of the decision thread's state for the metrics.
struct state_sample
{
    dispatch::dispatch_counters m_counters;
    dispatch::peer_load m_load;
    std::uint64_t m_capacity_requests_sent = 0;
    std::size_t m_open_jobs = 0;
    std::size_t m_live_members = 0;      ///< other live instances that share work with
                                         ///< this one
    std::size_t m_served_shards = 0;     ///< shards that this instance owns and serves
    std::size_t m_drained_upstreams = 0; ///< owned upstreams in drained failure domains
    std::size_t m_unregistered_upstreams = 0; ///< lease::count_unregistered()
    std::uint64_t m_configuration_version = 0;
    bool m_store_contact = false;     ///< the store is reachable
    std::size_t m_pairs_apart = 0;    ///< ordered pairs of kinds that are kept apart
    std::uint64_t m_ignored_runs = 0; ///< runs beyond the limits of interference
    std::uint64_t m_documents_sent = 0;
    std::uint64_t m_document_bytes_sent = 0;
    std::uint64_t m_documents_received = 0;
    std::vector<std::string_view> m_broken_invariants; ///< names of violated invariants
};

/// Request for the metrics in text format.
struct scrape_request
{
    std::shared_ptr<runtime::bounded_ring<std::string>> m_reply; ///< of capacity 1
};

/// Input of the telemetry duty: log lines, metrics and scrapes.
using telemetry_item = std::variant<decision::log_event, decision::observe_job,
                                    state_sample, scrape_request>;

/// A non-blocking eventfd that wakes an event loop. Owns the descriptor.
class wake_descriptor
{
public:
    wake_descriptor();
    wake_descriptor(wake_descriptor const &) = delete;
    wake_descriptor & operator=(wake_descriptor const &) = delete;
    ~wake_descriptor();

    int get() const noexcept
    {
        return m_fd;
    }

private:
    int m_fd;
};

/// An answer to a caller. Its token distinguishes it from a late answer to an earlier
/// request that used the same ring.
struct caller_answer
{
    decision::caller_id m_caller = 0;
    job_answer m_answer;
};

/// A ring that delivers the answer to one waiting listener thread.
using answer_ring = runtime::bounded_ring<caller_answer>;

/// Requests of the gateway's registry to the store. Written by that duty, read by the
/// telemetry duty.
struct store_usage
{
    std::atomic<std::uint64_t> m_requests{0};
    std::atomic<std::uint64_t> m_failures{0};       ///< requests without a usable reply
    std::atomic<std::uint64_t> m_received_bytes{0}; ///< bodies of complete replies
    /// Time on the boot clock at which the request was sent whose reply the copy of the
    /// table reflects; zero: there is none.
    std::atomic<time_point> m_configuration_asked_at{time_point()};
    std::atomic<time_point> m_upstreams_asked_at{time_point()};
};

/// Rings and state that survive the restart of a duty. Owned by run_daemon(); every duty
/// accesses it by reference. The rings, the connection pool and the atomics are shared;
/// every other member is written by one duty only.
struct daemon_context
{
    explicit daemon_context(config::entry_settings const & settings,
                            bool leases_upstreams = false);

    config::entry_settings const & m_settings;
    std::uint64_t m_incarnation = 0; ///< random; constant after construction

    // Each comment names the producer and the consumer of the ring. "Full" says what the
    // producer does when the ring is full.

    // Other duties to the decision thread. Full: a caller's request is refused as not
    // run; a result from an upstream waits, since it must not be lost.
    runtime::bounded_ring<decision::event> m_events;
    // Decision thread to the upstream callers. Full: the attempt is reported as not run.
    runtime::bounded_ring<dispatch::attempt_start> m_attempts;
    // Decision thread to the upstream cancellers. Full: the cancellation is dropped; the
    // attempt runs on, and its result is discarded as superseded.
    runtime::bounded_ring<dispatch::attempt_cancel> m_cancellations;
    // Decision thread to the gateway's upstream calls. Full: the call is reported as
    // lost.
    wake_descriptor m_call_wake;
    runtime::bounded_ring<lease::upstream_call> m_upstream_calls;
    // Decision thread to the gateway's callers duty, which serves every caller on one
    // thread. Full: the answer is dropped, and the caller's connection ends without one.
    wake_descriptor m_answer_wake;
    runtime::bounded_ring<caller_answer> m_answers;
    // Decision thread to the peer duty. Full: a periodic message is dropped; any other is
    // reported as peer_disconnected.
    wake_descriptor m_peer_wake;
    runtime::bounded_ring<decision::send_peer> m_peer_messages;
    // Decision thread to the store duty. Full: the request is answered as unavailable.
    runtime::bounded_ring<store_command> m_store_commands;
    // Decision thread to the document checker. Full: the document is dropped; the peer's
    // next heartbeat announces the newer version again.
    runtime::bounded_ring<decision::check_document> m_documents;
    // All duties to the telemetry duty. Full: the item is dropped and counted.
    runtime::bounded_ring<telemetry_item> m_telemetry;
    std::atomic<std::uint64_t> m_telemetry_dropped{0};
    // Decision thread to the listener, or the gateway's callers duty: a draining instance
    // has nothing in progress. Full: an equal notice is already waiting.
    runtime::bounded_ring<std::uint32_t> m_idle_notices;
    // Decision thread to the listener's threads, one ring for each; at most one expected
    // answer is in flight in each. Full: the answer is dropped.
    std::deque<answer_ring> m_answer_rings;
    // Indices of the unused rings in m_answer_rings. When there is none, the caller is
    // refused.
    runtime::bounded_ring<std::uint32_t> m_free_answer_rings;

    connection_pool m_connections; ///< idle connections of the upstream duties
    peer::exchange_counters m_peer_counters;
    store_usage m_store_usage;
    /// How often clients of this instance's servers reached each http::client_limit.
    /// Written by the threads that serve callers, read by the telemetry duty.
    std::array<std::atomic<std::uint64_t>, http::client_limit_count>
        m_client_limit_hits{};

    // State of the decision thread.
    decision::entry_state m_state;
    random_source m_random;

    // Written by the decision thread, read by the readiness endpoint.
    std::atomic<std::uint64_t> m_configuration_version{0};
    std::atomic<bool> m_ready{false};
};

/// Pushes \p item into the telemetry ring, or counts it as dropped when the ring is full.
/// Thread-safe.
void record(daemon_context & context, telemetry_item item);

} // namespace cassiahub::entry

#endif
