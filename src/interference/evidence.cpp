#include <cassiahub/interference/evidence.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cassiahub::interference
{

namespace internal
{

/// Variance of the logarithm of run times that is assumed until contrasts show it, and
/// the number of contrasts as which the assumption counts. Run times that vary by half
/// give 0.25.
constexpr double assumed_variance = 0.5;
constexpr double assumed_contrasts = 4;
/// Standard errors between the mean and the lower bound. All pairs are tested all the
/// time, so the usual two would accuse some pair every few minutes.
constexpr double confidence_errors = 3.5;
/// Smallest mean difference of exposure that is divided by.
constexpr double min_exposure = 0.05;

} // namespace internal

void add(pair_sums & sums, pair_sums const & other) noexcept
{
    sums.m_weight += other.m_weight;
    sums.m_exposure += other.m_exposure;
    sums.m_effect += other.m_effect;
    sums.m_square += other.m_square;
    sums.m_contrasts += other.m_contrasts;
}

void decay(pair_sums & sums, duration age) noexcept
{
    if (age <= duration::zero())
    {
        return;
    }
    auto const factor =
        static_cast<float>(std::exp2(-std::chrono::duration<double>(age) /
                                     std::chrono::duration<double>(evidence_half_life)));
    sums.m_weight *= factor;
    sums.m_exposure *= factor;
    sums.m_effect *= factor;
    sums.m_square *= factor;
    sums.m_contrasts *= factor;
}

estimate estimate_effect(pair_sums const & sums) noexcept
{
    double const weight = sums.m_weight;
    double const exposure = sums.m_exposure;
    if (weight <= 0 || exposure <= internal::min_exposure * weight)
    {
        return {};
    }
    double const effect = sums.m_effect;
    double const scatter = std::max(sums.m_square - effect * effect / weight, 0.0);
    double const variance =
        (scatter + internal::assumed_contrasts * internal::assumed_variance) /
        (std::max(sums.m_contrasts - 1.0, 0.0) + internal::assumed_contrasts);
    double const usable = exposure * exposure / weight;
    return {effect / exposure, std::sqrt(variance / usable), usable};
}

double lower_bound(estimate const & value) noexcept
{
    return value.m_mean - internal::confidence_errors * value.m_error;
}

} // namespace cassiahub::interference
