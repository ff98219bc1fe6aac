#ifndef CASSIAHUB_ENTRY_CONTEXT_HPP
#define CASSIAHUB_ENTRY_CONTEXT_HPP

#include <cassiahub/config/process_settings.hpp>
#include <cassiahub/decision.hpp>
#include <cassiahub/runtime.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <variant>

namespace cassiahub::entry
{

/// What an upstream duty is told to do.
using upstream_command = std::variant<dispatch::attempt_start, dispatch::attempt_cancel>;

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
    explicit daemon_context(config::entry_settings const & settings);

    config::entry_settings const & m_settings;

    // Edges to the decision duty. Full: a caller is refused as not run; a result from an
    // upstream waits, since it must not be lost.
    runtime::bounded_ring<decision::event> m_events;
    // Decision duty to the upstream duties. Full: the attempt is handed back as not run.
    runtime::bounded_ring<upstream_command> m_upstream_commands;
    // Decision duty to one caller's thread each; at most one answer is on its way.
    std::deque<reply_ring> m_replies;
    // Indices of m_replies that no caller uses. Empty: the caller is refused.
    runtime::bounded_ring<std::uint32_t> m_free_replies;

    // State of the decision duty.
    decision::entry_state m_state;
    random_source m_random;

    // Set by the decision duty, read by /readyz.
    std::atomic<std::uint64_t> m_configuration_version{0};
};

} // namespace cassiahub::entry

#endif
