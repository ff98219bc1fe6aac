#ifndef CASSIAHUB_CORE_RESOURCES_HPP
#define CASSIAHUB_CORE_RESOURCES_HPP

#include <cstdint>

namespace cassiahub
{

/// Processors, memory and accelerators, demanded by a task or offered by a worker.
struct resources
{
    std::uint32_t m_millicores = 0;
    std::uint32_t m_memory_mib = 0;
    std::uint32_t m_accelerators = 0;
    bool operator==(resources const &) const = default;
};

/// \returns true when \p demand fits into \p available in every dimension.
constexpr bool fits(resources const & demand, resources const & available) noexcept
{
    return demand.m_millicores <= available.m_millicores &&
           demand.m_memory_mib <= available.m_memory_mib &&
           demand.m_accelerators <= available.m_accelerators;
}

/// \pre fits(\p demand, \p available)
constexpr void reserve(resources & available, resources const & demand) noexcept
{
    available.m_millicores -= demand.m_millicores;
    available.m_memory_mib -= demand.m_memory_mib;
    available.m_accelerators -= demand.m_accelerators;
}

constexpr void release(resources & available, resources const & demand) noexcept
{
    available.m_millicores += demand.m_millicores;
    available.m_memory_mib += demand.m_memory_mib;
    available.m_accelerators += demand.m_accelerators;
}

} // namespace cassiahub

#endif
