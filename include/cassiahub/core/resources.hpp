#ifndef CASSIAHUB_CORE_RESOURCES_HPP
#define CASSIAHUB_CORE_RESOURCES_HPP

#include <cstdint>

namespace cassiahub
{

/// Processor time, memory and accelerators that a task requires or an upstream offers.
struct resources
{
    std::uint32_t m_millicores = 0; ///< thousandths of a processor core
    std::uint32_t m_memory_mib = 0;
    std::uint32_t m_accelerators = 0; ///< whole devices
    bool operator==(resources const &) const = default;
};

/// \returns true when \p demand fits into \p available in every dimension.
constexpr bool fits(resources const & demand, resources const & available) noexcept
{
    return demand.m_millicores <= available.m_millicores &&
           demand.m_memory_mib <= available.m_memory_mib &&
           demand.m_accelerators <= available.m_accelerators;
}

/// Subtracts \p demand from \p available.
/// \pre fits(\p demand, \p available)
constexpr void subtract_resources(resources & available,
                                  resources const & demand) noexcept
{
    available.m_millicores -= demand.m_millicores;
    available.m_memory_mib -= demand.m_memory_mib;
    available.m_accelerators -= demand.m_accelerators;
}

/// Adds \p demand back to \p available; undoes subtract_resources().
constexpr void add_resources(resources & available, resources const & demand) noexcept
{
    available.m_millicores += demand.m_millicores;
    available.m_memory_mib += demand.m_memory_mib;
    available.m_accelerators += demand.m_accelerators;
}

} // namespace cassiahub

#endif
