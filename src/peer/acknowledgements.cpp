#include "peer/exchange_state.hpp"

#include <string>
#include <utility>
#include <vector>

namespace cassiahub::peer::internal
{

bool awaits_acknowledgement(outgoing_connection const & connection) noexcept
{
    return connection.m_batches_asked > connection.m_batches_acknowledged;
}

void ask_for_acknowledgements(exchange_state & state)
{
    for (auto & [instance, link] : state.m_links)
    {
        if (link.m_phase != link_phase::open || link.m_connection->m_writing)
        {
            continue;
        }
        outgoing_connection const & connection = *link.m_connection;
        if (connection.m_batches_sent > connection.m_batches_asked &&
            !awaits_acknowledgement(connection))
        {
            send_acknowledgement_request(state, link);
        }
    }
}

void supervise_acknowledgements(exchange_state & state)
{
    duration const timeout = state.m_options.m_limits.m_call_timeout;
    kj::TimePoint const now = state.m_timer.now();
    std::vector<std::pair<std::string, std::uint64_t>> overdue;
    for (auto & [instance, link] : state.m_links)
    {
        if (link.m_phase != link_phase::open)
        {
            continue;
        }
        outgoing_connection const & connection = *link.m_connection;
        bool const unasked = connection.m_batches_sent > connection.m_batches_asked;
        if (awaits_acknowledgement(connection))
        {
            if (now - connection.m_asked_at >= to_kj(timeout))
            {
                overdue.emplace_back(instance, link.m_generation);
            }
        }
        else if (unasked && !connection.m_writing &&
                 now - connection.m_unasked_since >= to_kj(timeout / 2))
        {
            send_acknowledgement_request(state, link);
        }
    }
    for (auto const & [instance, generation] : overdue)
    {
        handle_connection_failure(state, instance, generation);
    }
    constexpr int checks_per_timeout = 8;
    state.m_tasks.add(state.m_timer.afterDelay(to_kj(timeout / checks_per_timeout))
                          .then([&state] { supervise_acknowledgements(state); }));
}

} // namespace cassiahub::peer::internal
