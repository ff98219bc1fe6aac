#ifndef CASSIAHUB_DISPATCH_BUDGET_HPP
#define CASSIAHUB_DISPATCH_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace cassiahub::dispatch
{

/// Extra attempts (retries or hedges) that first attempts have earned, in hundredths.
struct attempt_budget
{
    std::uint64_t m_hundredths = 0;
};

/// Adds \p percent hundredths for one first attempt, up to \p reserve whole attempts.
constexpr void earn(attempt_budget & budget, std::uint32_t percent,
                    std::uint32_t reserve) noexcept
{
    std::uint64_t const limit = std::uint64_t(reserve) * 100;
    budget.m_hundredths =
        std::min(budget.m_hundredths + percent, std::max<std::uint64_t>(limit, 100));
}

/// Takes one extra attempt. \returns false when there is none left.
constexpr bool spend(attempt_budget & budget) noexcept
{
    if (budget.m_hundredths < 100)
    {
        return false;
    }
    budget.m_hundredths -= 100;
    return true;
}

} // namespace cassiahub::dispatch

#endif
