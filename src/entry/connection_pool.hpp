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

/// Idle connections to each upstream, passed among the upstream duties through one ring
/// for each address. A ring that is full closes the connection: with connections kept by
/// each duty, 128 duties would hold up to 128 of the 64 that an upstream accepts.
class connection_pool
{
public:
    using idle_ring = runtime::bounded_ring<http::connection>;

    /// \returns the ring of \p address, which stays valid as long as the pool.
    /// Thread-safe.
    idle_ring & ring_of(std::string_view address)
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
    /// The usual number of slots of an upstream, and so of its running calls.
    static constexpr std::size_t max_idle = 8;

    std::mutex m_mutex;
    std::map<std::string, idle_ring, std::less<>> m_rings;
};

} // namespace cassiahub::entry

#endif
