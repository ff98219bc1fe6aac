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

// The functions here read and write only their arguments. One thread at a time may use a
// state.
//
// One lease covers all runs on an upstream, and only its owner may start, renew and list
// runs there. The upstream enforces this: it refuses every fencing token lower than the
// highest that it has accepted. The result of an attempt is normally reported only once
// its run is known to have ended, so that its task may be started again on any upstream.
// When that cannot be established, the result is attempt_outcome::unknown.

/// An upstream that this instance should own.
struct owned_upstream
{
    std::string m_name;
    std::string m_address;
    std::uint64_t m_incarnation = 0; ///< 0: not known
};

/// Arguments of start().
struct start_request
{
    attempt_id m_attempt;
    std::string m_upstream;
    run_name m_run;
    std::string m_payload;
    /// Limit of the lease (requested_run::m_lease_limit) for a run of another instance.
    time_point m_lease_limit = time_point::max();
};

/// Sets the upstreams that this instance should own. New ones are claimed; those that are
/// no longer in \p owned are released once they have no run.
/// \param token fencing token for the claims, higher than that of every earlier owner.
void set_owned(lease_state & state, std::span<owned_upstream const> owned,
               std::uint64_t token, time_point now, effects & out);

/// Starts a run. Its attempt_result is added to the effects of this or a later call. The
/// run is refused as not run if the lease of its upstream already exceeds its limit, or
/// if the lease cannot be extended while replies may be unprocessed (detect_gap()).
void start(lease_state & state, start_request order, time_point now, effects & out);

/// Stops the run of \p attempt. Its result is reported like that of any other run.
void stop(lease_state & state, attempt_id const & attempt, time_point now, effects & out);

/// Allows the lease to last until unwanted_run_limit after \p heard_at for the runs that
/// are not being stopped and whose attempt_id::m_incarnation is \p incarnation.
/// \param heard_at time at which the instance that wants these runs was alive.
void extend_lease_limits(lease_state & state, std::uint64_t incarnation,
                         time_point heard_at);

/// Records that replies and requests which arrived since the last call of advance() may
/// be unprocessed if that call is long ago.
void detect_gap(lease_state & state, time_point now);

/// Processes the reply to a call.
void receive(lease_state & state, upstream_reply const & reply, time_point now,
             effects & out);

/// Renews leases, repeats stops, and reports runs whose lease has expired.
/// \param token fencing token for sessions that have to claim their upstream again.
void advance(lease_state & state, std::uint64_t token, time_point now, effects & out);

/// Records that the registration of \p upstream is gone for good: an upstream that was
/// lost with runs has crashed.
void record_departure(lease_state & state, std::string_view upstream, time_point now,
                      effects & out);

/// \returns true while a run of \p job (task_name::m_job) that this instance has started,
/// for itself or for another one, is not known to have ended.
bool has_runs(lease_state const & state, std::string_view job);

/// \returns the names of the upstreams that this instance claims or owns, sorted.
std::vector<std::string> held_upstreams(lease_state const & state);

/// \returns the number of claimed upstreams that get no runs because their registration
/// is that of an earlier incarnation (session_phase::unregistered).
std::size_t count_unregistered(lease_state const & state);

/// \returns the names of the invariants that \p state violates; empty when there are
/// none.
std::vector<std::string_view> check_invariants(lease_state const & state);

} // namespace cassiahub::lease

#endif
