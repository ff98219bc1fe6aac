#ifndef CASSIAHUB_SRC_LEASE_REPLIES_HPP
#define CASSIAHUB_SRC_LEASE_REPLIES_HPP

#include "lease/session_calls.hpp"

namespace cassiahub::lease::internal
{

/// \returns the inputs of a decision about a clock reading, for the log.
std::string describe_clock(upstream_session const & session, upstream_clock clock,
                           time_point now);

/// \returns the start time of the session's upstream that \p reply reports, or 0.
std::uint64_t reported_incarnation(upstream_reply const & reply) noexcept;

/// \returns why \p reply does not tell the state of the session's incarnation; empty when
/// it does.
/// \pre \p reply is not from a later incarnation.
std::string find_defect(upstream_session const & session, pending_call const & call,
                        upstream_reply const & reply);

/// \returns true when the session's incarnation of the upstream is known to have sent
/// \p reply. Replies to starts and stops report no incarnation, only a clock.
bool is_from_incarnation(upstream_session const & session, pending_call const & call,
                         upstream_reply const & reply, time_point now) noexcept;

/// \pre the session's incarnation of the upstream has sent \p reply.
void update_clock(upstream_session & session, upstream_reply const & reply,
                  time_point sent_at, time_point now);

} // namespace cassiahub::lease::internal

#endif
