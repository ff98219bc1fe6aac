#ifndef CASSIAHUB_ENTRY_CONNECTION_POOL_HPP
#define CASSIAHUB_ENTRY_CONNECTION_POOL_HPP

#include <cassiahub/http/client.hpp>
#include <cassiahub/runtime/bounded_ring.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace cassiahub::entry
{

/// Idle connections to upstreams, shared by the upstream duties: one ring for each
/// address. A connection that finds its ring full is closed. If each duty kept
/// connections of its own, 128 duties could hold 128 connections to an upstream that
/// accepts 64.
class connection_pool
{
public:
    using idle_ring = runtime::bounded_ring<http::connection>;

    /// \returns the ring of idle connections to \p address; valid as long as the pool.
    /// Thread-safe.
    idle_ring & idle_connections(std::string_view address)
    {
        std::lock_guard<std::mutex> const lock(m_mutex);
        auto found = m_rings.find(address);
        if (found == m_rings.end())
        {
            found = m_rings.try_emplace(std::string(address), max_idle).first;
        }
        return found->second;
    }

private:
    /// Idle connections kept for each upstream: its usual number of slots, and so of
    /// concurrent calls.
    static constexpr std::size_t max_idle = 8;

    std::mutex m_mutex;
    std::map<std::string, idle_ring, std::less<>> m_rings;
};

} // namespace cassiahub::entry

#endif
