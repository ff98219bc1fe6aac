#ifndef CASSIAHUB_ENTRY_CONTEXT_HPP
#define CASSIAHUB_ENTRY_CONTEXT_HPP

#include "entry/connection_pool.hpp"

#include <cassiahub/config/process_settings.hpp>
#include <cassiahub/decision.hpp>
#include <cassiahub/peer.hpp>
#include <cassiahub/runtime.hpp>

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

/// What the store duty is told to do.
using store_command = std::variant<decision::write_store, decision::read_store>;

/// Figures of the decision duty at one time.
struct state_sample
{
    dispatch::dispatch_counters m_counters;
    dispatch::peer_load m_load;
    std::size_t m_open_jobs = 0;
    std::size_t m_live_members = 0;
    std::size_t m_served_shards = 0;
    std::uint64_t m_configuration_version = 0;
    bool m_store_contact = false;
    std::vector<std::string_view> m_broken_invariants;
};

/// Asks for the metrics as text. The reply ring holds one item.
struct scrape_request
{
    std::shared_ptr<runtime::bounded_ring<std::string>> m_reply;
};

/// What is observed of the daemon, for logs and metrics.
using telemetry_item = std::variant<decision::log_event, decision::observe_job,
                                    state_sample, scrape_request>;

/// An eventfd that wakes an event loop.
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

/// An answer on its way to a caller's thread. The token tells it from the answer to an
/// earlier request that used the same ring.
struct caller_answer
{
    decision::caller_token m_caller = 0;
    job_answer m_answer;
};

/// A ring through which one waiting caller's thread gets its answer.
using reply_ring = runtime::bounded_ring<caller_answer>;

/// Rings and state that outlive the restart of a duty. Owned by run_daemon(); every
/// duty gets it by reference. Apart from the rings each member belongs to one duty.
struct daemon_context
{
    explicit daemon_context(config::entry_settings const & settings,
                            bool leases_upstreams = false);

    config::entry_settings const & m_settings;
    std::uint64_t m_incarnation = 0; ///< constant

    // Edges to the decision duty. Full: a caller is refused as not run; a result from an
    // upstream waits, since it must not be lost.
    runtime::bounded_ring<decision::event> m_events;
    // Decision duty to the upstream duties. Full: the attempt is handed back as not run.
    runtime::bounded_ring<dispatch::attempt_start> m_attempts;
    // Decision duty to the cancelling duties. Full: the cancellation is dropped, and the
    // upstream's answer is dropped as superseded.
    runtime::bounded_ring<dispatch::attempt_cancel> m_cancellations;
    // Decision duty to the duty that calls upstreams under leases. Full: the call is
    // handed back as lost.
    wake_descriptor m_call_wake;
    runtime::bounded_ring<lease::upstream_call> m_upstream_calls;
    // Decision duty to the duty that serves callers on one thread. Full: dropped; the
    // caller's connection ends without an answer.
    wake_descriptor m_answer_wake;
    runtime::bounded_ring<caller_answer> m_answers;
    // Decision duty to the peer duty. Full: a report is dropped, anything else is handed
    // back as peer_disconnected.
    wake_descriptor m_peer_wake;
    runtime::bounded_ring<decision::send_peer> m_peer_messages;
    // Decision duty to the store duty. Full: handed back as unavailable.
    runtime::bounded_ring<store_command> m_store_commands;
    // Decision duty to the document checker. Full: dropped; the peer's next heartbeat
    // shows the newer version again.
    runtime::bounded_ring<decision::check_document> m_documents;
    // Every duty to the telemetry. Full: dropped and counted.
    runtime::bounded_ring<telemetry_item> m_telemetry;
    std::atomic<std::uint64_t> m_telemetry_dropped{0};
    // Decision duty to the listener: nothing is in progress on a draining instance.
    runtime::bounded_ring<std::uint32_t> m_idle_notices;
    // Decision duty to one caller's thread each; at most one answer is on its way.
    std::deque<reply_ring> m_replies;
    // Indices of m_replies that no caller uses. Empty: the caller is refused.
    runtime::bounded_ring<std::uint32_t> m_free_replies;

    connection_pool m_connections; ///< of the upstream duties
    peer::exchange_counters m_peer_counters;

    // State of the decision duty.
    decision::entry_state m_state;
    random_source m_random;

    // Set by the decision duty, read by /readyz.
    std::atomic<std::uint64_t> m_configuration_version{0};
    std::atomic<bool> m_ready{false};
};

/// Adds \p item to the telemetry ring, or counts it as dropped. Thread-safe.
void record(daemon_context & context, telemetry_item item);

} // namespace cassiahub::entry

#endif
