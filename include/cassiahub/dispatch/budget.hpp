#ifndef CASSIAHUB_DISPATCH_BUDGET_HPP
#define CASSIAHUB_DISPATCH_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace cassiahub::dispatch
{

/// Balance of additional attempts (retries or hedges). Each first attempt adds a
/// percentage of an attempt; each additional attempt subtracts a whole one.
struct attempt_budget
{
    std::uint64_t m_hundredths = 0; ///< in hundredths of an attempt
};

/// Adds \p percent hundredths for one first attempt. The balance is limited to
/// \p reserve whole attempts, at least one.
constexpr void earn(attempt_budget & budget, std::uint32_t percent,
                    std::uint32_t reserve) noexcept
{
    std::uint64_t const limit = std::uint64_t(reserve) * 100;
    budget.m_hundredths =
        std::min(budget.m_hundredths + percent, std::max<std::uint64_t>(limit, 100));
}

/// Subtracts one attempt. \returns false when the balance is below one attempt.
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
