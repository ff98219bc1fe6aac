#ifndef CASSIAHUB_LEASE_CALL_HPP
#define CASSIAHUB_LEASE_CALL_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/lease/run.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cassiahub::lease
{

/// Number that identifies a call and its reply.
using call_number = std::uint64_t;

/// Milliseconds on the clock of one incarnation of an upstream.
using upstream_clock = std::int64_t;

/// Starts a run and extends the lease of all runs on the upstream.
struct start_call
{
    run_name m_run;
    std::string m_payload;
    upstream_clock m_lease_until = 0;
};

/// Stops a run. If its start arrives later, the upstream refuses the start.
struct stop_call
{
    run_name m_run;
};

/// Lists the runs that are active and those that have ended. If m_lease_until is set, it
/// also extends the lease of all runs on the upstream.
struct renew_call
{
    std::optional<upstream_clock> m_lease_until; ///< empty: the lease is not extended
    /// The upstream removes ended runs up to this listed_end::m_number from its list.
    std::uint64_t m_acknowledged = 0;
    duration m_wait{0}; ///< longest time for which the reply may wait until a run ends
};

/// A call to one upstream.
struct upstream_call
{
    call_number m_number = 0;
    std::string m_upstream;
    std::string m_address;     ///< "ip:port"
    std::uint64_t m_token = 0; ///< fencing token
    duration m_timeout{0};
    std::variant<start_call, stop_call, renew_call> m_body;
    /// A start is not sent from this time on. If the process was suspended since the
    /// start was decided, its upstream may have to get no more tasks by now.
    time_point m_send_before = time_point::max();
};

/// Result of a call.
enum class call_outcome
{
    accepted,
    fenced,            ///< the upstream has accepted a higher token
    superseded,        ///< the run was stopped or replaced before its start arrived
    expired,           ///< the call arrived after the lease end that it requests
    no_capacity,       ///< the upstream has no free capacity
    unhealthy,         ///< the upstream accepts no work; nothing was done
    other_incarnation, ///< the address belongs to another upstream now
    malformed,         ///< the upstream cannot parse the call
    unreachable,       ///< no connection was made, or the call cannot be encoded;
                       ///< nothing was sent
    lost               ///< no reply; the call may still be carried out
};

/// Reply to an upstream_call.
struct upstream_reply
{
    call_number m_number = 0;
    std::string m_upstream;
    call_outcome m_outcome = call_outcome::lost;
    std::optional<upstream_clock> m_clock; ///< when the reply was sent
    std::uint64_t m_incarnation = 0;   ///< start time of the upstream; 0: not reported
    std::vector<listed_run> m_running; ///< active runs; only for a renew_call
    std::vector<listed_end> m_ended;   ///< ended runs; only for a renew_call
    /// Why the two lists are incomplete; empty: they are complete. Only for a renew_call.
    std::string m_lists_error;
};

} // namespace cassiahub::lease

#endif
