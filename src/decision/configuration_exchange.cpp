#include "decision/context.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cassiahub::decision::internal
{

namespace
{

/// Minimum time between two documents to the same peer, and between two checks of the
/// same version.
constexpr duration notice_period = std::chrono::seconds(1);
/// Delay before an instance that polls the store and reaches it asks a peer for a
/// document, so that it can read the configuration itself. Together with the time of a
/// document it stays below the 7 s within which a change must be in force.
constexpr duration poll_delay = std::chrono::seconds(3);
/// As poll_delay, for an instance that the store notifies of changes; half of the 2 s
/// within which its changes must be in force.
constexpr duration feed_delay = std::chrono::seconds(1);
/// Delay before an instance of earlier software that the store notifies of changes gets a
/// document.
constexpr duration unrequested_feed_delay = std::chrono::milliseconds(300);
/// Time after which a peer that was asked for a document is given up and the next one is
/// asked. It doubles with each request, since a document may be long on its way.
constexpr duration request_timeout = std::chrono::seconds(2);
constexpr std::uint32_t max_doublings = 2;

/// Sends the document to \p peer, at most once in notice_period.
void send_document(step_context & context, instance_id const & peer)
{
    entry_state & state = context.m_state;
    time_point & next = state.m_next_configuration_notice[peer];
    if (context.m_now < next)
    {
        return;
    }
    next = context.m_now + notice_period;
    std::uint64_t const version = configuration_version(state);
    ++state.m_documents_sent;
    state.m_document_bytes_sent += state.m_document.size();
    context.m_actions.emplace_back(
        log_event{"configuration_sent",
                  peer.m_value,
                  {},
                  fmt::format("version={} bytes={}", version, state.m_document.size())});
    send(context, peer, configuration_notice{version, state.m_document});
}

/// Sends the document to a peer of earlier software, which does not ask for it.
void send_unrequested(step_context & context, instance_id const & peer,
                      membership::member_report const & report)
{
    entry_state & state = context.m_state;
    if (report.m_configuration_version >= configuration_version(state) ||
        state.m_document.empty())
    {
        state.m_next_configuration_notice.erase(peer);
        return;
    }
    duration const allowance =
        state.m_identity.m_leases_upstreams ? unrequested_feed_delay : poll_delay;
    duration const wait = report.m_store_contact ? allowance : duration::zero();
    state.m_next_configuration_notice.try_emplace(peer, context.m_now + wait);
    send_document(context, peer);
}

/// Asks \p peer for its newer document, unless the store may still deliver it or another
/// peer was asked.
void request_document(step_context & context, instance_id const & peer)
{
    entry_state & state = context.m_state;
    configuration_requests & requests = state.m_configuration_requests;
    if (requests.m_next == time_point())
    {
        duration const allowance =
            state.m_identity.m_leases_upstreams ? feed_delay : poll_delay;
        requests.m_next =
            context.m_now +
            (has_store_contact(state, context.m_now) ? allowance : duration::zero());
    }
    if (context.m_now < requests.m_next)
    {
        return;
    }
    requests.m_asked = peer;
    requests.m_next = context.m_now + request_timeout * (1 << requests.m_doublings);
    requests.m_doublings = std::min(requests.m_doublings + 1, max_doublings);
    send(context, peer, configuration_request{configuration_version(state)});
}

} // namespace

std::uint64_t configuration_version(entry_state const & state) noexcept
{
    return state.m_dispatch.m_configuration ? state.m_dispatch.m_configuration->m_version
                                            : 0;
}

void exchange_configuration(step_context & context, instance_id const & peer,
                            membership::member_report const & report)
{
    if (!report.m_requests_configuration)
    {
        send_unrequested(context, peer, report);
    }
    else if (report.m_configuration_version > configuration_version(context.m_state))
    {
        request_document(context, peer);
    }
}

void receive_configuration_request(step_context & context, instance_id const & from,
                                   configuration_request const & request)
{
    entry_state const & state = context.m_state;
    if (request.m_version < configuration_version(state) && !state.m_document.empty())
    {
        send_document(context, from);
    }
}

void receive_configuration(step_context & context, instance_id const & from,
                           configuration_notice & notice)
{
    entry_state & state = context.m_state;
    ++state.m_documents_received;
    context.m_actions.emplace_back(
        log_event{"configuration_received",
                  from.m_value,
                  {},
                  fmt::format("version={} bytes={} in_force={}", notice.m_version,
                              notice.m_document.size(), configuration_version(state))});
    bool const recent = notice.m_version <= state.m_last_checked_version &&
                        context.m_now - state.m_last_check_at < notice_period;
    if (notice.m_version <= configuration_version(state) || recent)
    {
        return;
    }
    state.m_last_checked_version = notice.m_version;
    state.m_last_check_at = context.m_now;
    context.m_actions.emplace_back(
        check_document{notice.m_version, std::move(notice.m_document)});
}

void forget_configuration_request(entry_state & state, instance_id const & peer)
{
    configuration_requests & requests = state.m_configuration_requests;
    if (requests.m_asked == peer)
    {
        requests.m_asked = {};
        requests.m_next = state.m_now;
    }
}

} // namespace cassiahub::decision::internal
