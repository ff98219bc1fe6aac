#ifndef CASSIAHUB_LEASE_SESSIONS_HPP
#define CASSIAHUB_LEASE_SESSIONS_HPP

#include <cassiahub/lease/effects.hpp>
#include <cassiahub/lease/state.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::lease
{

// Every function here is pure: it reads and writes only its arguments, and one thread
// at a time may use a state.
//
// One lease covers all that runs on an upstream, so one instance at a time starts,
// renews and reads there. The upstream itself arbitrates: it refuses every token lower
// than the highest that it has seen. An attempt is reported once its run is known to
// have ended, so its task may then be started again anywhere.

/// An upstream that this instance should own.
struct owned_upstream
{
    std::string m_name;
    std::string m_address;
    std::uint64_t m_incarnation = 0; ///< 0: not listed
};

/// Order to start a run.
struct start_order
{
    attempt_id m_attempt;
    std::string m_upstream;
    run_name m_run;
    std::string m_payload;
};

/// Sets the upstreams that this instance should own. New ones are claimed with \p token;
/// the others are released once nothing runs there.
/// \param token higher than every token of an earlier owner.
void set_owned(lease_state & state, std::span<owned_upstream const> owned,
               std::uint64_t token, time_point now, effects & out);

/// Orders a run. Its result follows as an attempt_result in some later effects.
void start(lease_state & state, start_order order, time_point now, effects & out);

/// Stops the run of \p attempt. Its result follows as for any other end.
void stop(lease_state & state, attempt_id const & attempt, time_point now, effects & out);

/// Takes in the reply to a call.
void receive(lease_state & state, upstream_reply const & reply, time_point now,
             effects & out);

/// Renews leases, repeats stops, and settles runs whose lease has expired.
/// \param token for sessions that have to claim their upstream again.
void advance(lease_state & state, std::uint64_t token, time_point now, effects & out);

/// \returns the names of the upstreams that this instance has not released, sorted.
std::vector<std::string> held_upstreams(lease_state const & state);

/// \returns the names of the invariants that \p state breaks; empty when it is sound.
std::vector<std::string_view> check_invariants(lease_state const & state);

} // namespace cassiahub::lease

#endif
