#ifndef CASSIAHUB_SRC_LEASE_AVAILABILITY_HPP
#define CASSIAHUB_SRC_LEASE_AVAILABILITY_HPP

#include "lease/session_calls.hpp"

#include <string>

namespace cassiahub::lease::internal
{

/// Reports whether runs may be started on the upstream.
void set_available(session_context & context, bool available);

/// Allows runs on an upstream that has accepted a renewal, unless its registration is
/// that of an earlier incarnation. No effect while the session serves already or is not
/// wanted.
/// \pre no run of another instance is left on the upstream.
void receive_accepted_renewal(session_context & context);

/// Records the incarnation that the registration names (0: none), and allows runs on an
/// upstream that was waiting for it.
void receive_registration(session_context & context, std::uint64_t incarnation);

/// Changes to a phase in which no run may be started.
void stop_serving(session_context & context, session_phase phase);

/// \returns the inputs of a decision about the whole session, for the log. clock_age_ms
/// is the time since the last reply that told the upstream's clock; -1: none so far.
std::string describe_session(session_context const & context);

} // namespace cassiahub::lease::internal

#endif
