#include <cassiahub/http/connection_limits.hpp>

#include <algorithm>
#include <cassert>
#include <span>

namespace cassiahub::http
{

namespace internal
{

/// A client that needs longer to send its header or body, or to take its response, is
/// slow. An ordinary request takes a few round trips of milliseconds.
constexpr duration slow_after = std::chrono::seconds(1);

/// \returns the phase of \p candidates whose oldest connection began its phase first, and
/// not after \p latest.
std::optional<connection_phase> find_oldest(oldest_by_phase const & oldest,
                                            std::span<connection_phase const> candidates,
                                            time_point latest) noexcept
{
    std::optional<connection_phase> found;
    time_point earliest = latest;
    for (connection_phase const phase : candidates)
    {
        std::optional<time_point> const & start = oldest[static_cast<std::size_t>(phase)];
        if (start && *start <= earliest)
        {
            earliest = *start;
            found = phase;
        }
    }
    return found;
}

constexpr connection_phase transfer_phases[] = {
    connection_phase::head, connection_phase::body, connection_phase::responding,
    connection_phase::discarding};
constexpr connection_phase opened_phase[] = {connection_phase::opened};
constexpr connection_phase idle_phase[] = {connection_phase::idle};

} // namespace internal

std::string_view to_string(client_limit limit) noexcept
{
    switch (limit)
    {
    case client_limit::header_bytes:
        return "header_bytes";
    case client_limit::body_bytes:
        return "body_bytes";
    case client_limit::chunk_bytes:
        return "chunk_bytes";
    case client_limit::connection_bytes:
        return "connection_bytes";
    case client_limit::held_bytes:
        return "held_bytes";
    case client_limit::connections:
        return "connections";
    case client_limit::head_time:
        return "head_time";
    case client_limit::body_time:
        return "body_time";
    case client_limit::idle_time:
        return "idle_time";
    case client_limit::response_time:
        return "response_time";
    }
    return "unknown_limit";
}

std::optional<duration> phase_timeout(connection_limits const & limits,
                                      connection_phase phase) noexcept
{
    switch (phase)
    {
    case connection_phase::opened:
    case connection_phase::idle:
        return limits.m_idle_timeout;
    case connection_phase::head:
        return limits.m_head_timeout;
    case connection_phase::body:
        return limits.m_body_timeout;
    case connection_phase::responding:
    case connection_phase::discarding:
        return limits.m_response_timeout;
    case connection_phase::running:
        break;
    }
    return std::nullopt;
}

client_limit timeout_limit(connection_phase phase) noexcept
{
    assert(phase != connection_phase::running);
    switch (phase)
    {
    case connection_phase::head:
        return client_limit::head_time;
    case connection_phase::body:
        return client_limit::body_time;
    case connection_phase::responding:
    case connection_phase::discarding:
        return client_limit::response_time;
    default:
        return client_limit::idle_time;
    }
}

std::optional<client_limit> exceeded_limit(connection_limits const & limits,
                                           held_bytes const & held) noexcept
{
    if (held.m_chunk > limits.m_max_chunk_bytes)
    {
        return client_limit::chunk_bytes;
    }
    if (held.m_connection > limits.m_max_connection_bytes)
    {
        return client_limit::connection_bytes;
    }
    if (held.m_total > limits.m_max_held_bytes)
    {
        return client_limit::held_bytes;
    }
    return std::nullopt;
}

int refusal_status(client_limit limit) noexcept
{
    constexpr int content_too_large = 413;
    constexpr int header_too_large = 431;
    constexpr int unavailable = 503;

    switch (limit)
    {
    case client_limit::header_bytes:
    case client_limit::chunk_bytes:
        return header_too_large;
    case client_limit::body_bytes:
    case client_limit::connection_bytes:
        return content_too_large;
    default:
        return unavailable;
    }
}

std::optional<connection_phase> choose_slow(oldest_by_phase const & oldest,
                                            time_point now) noexcept
{
    return internal::find_oldest(oldest, internal::transfer_phases,
                                 now - internal::slow_after);
}

std::optional<connection_phase> choose_eviction(oldest_by_phase const & oldest,
                                                time_point now) noexcept
{
    std::optional<connection_phase> chosen = choose_slow(oldest, now);
    for (std::span<connection_phase const> const candidates :
         {std::span<connection_phase const>(internal::opened_phase),
          std::span<connection_phase const>(internal::idle_phase),
          std::span<connection_phase const>(internal::transfer_phases)})
    {
        if (!chosen)
        {
            chosen = internal::find_oldest(oldest, candidates, now);
        }
    }
    return chosen;
}

std::size_t usable_connections(std::size_t wanted, std::size_t descriptors,
                               std::size_t reserved) noexcept
{
    std::size_t const unreserved = descriptors - std::min(descriptors, reserved);
    return std::min(wanted, std::max(unreserved, descriptors / 4));
}

} // namespace cassiahub::http
