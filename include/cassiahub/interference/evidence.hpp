#ifndef CASSIAHUB_INTERFERENCE_EVIDENCE_HPP
#define CASSIAHUB_INTERFERENCE_EVIDENCE_HPP

#include <cassiahub/core/time.hpp>

namespace cassiahub::interference
{

/// Time in which old evidence loses half of its weight. A change of a kind's behaviour
/// comes with a new version of it, which happens a few times a day.
constexpr duration evidence_half_life = std::chrono::minutes(5);

/// Sums over the contrasts of a pair, from which the effect is estimated with an
/// instrumental variable. A contrast compares the runs of a kind on one upstream within a
/// few seconds. Its instrument is the early share of the neighbour, so the length of a
/// run does not decide on which side of the comparison it is. Sums of several instances
/// are added.
struct pair_sums
{
    float m_weight = 0;    ///< sum of squares of the early share
    float m_exposure = 0;  ///< sum of products of the early share and the share
    float m_effect = 0;    ///< sum of products of the early share and the log run time
    float m_square = 0;    ///< sum over the contrasts of m_effect^2 / m_weight
    float m_contrasts = 0; ///< number of contrasts
    bool operator==(pair_sums const &) const = default;
};

/// Effect of a neighbour that is present for the whole run, as a logarithm.
struct estimate
{
    double m_mean = 0;
    double m_error = 0; ///< standard error of m_mean
    /// Sum of squares of the exposure that is usable as evidence: a fourth of the number
    /// of runs when half of them have the neighbour all the time and the others never.
    double m_weight = 0;
};

void add(pair_sums & sums, pair_sums const & other) noexcept;

/// Multiplies the sums by the decay over \p age; a negative age counts as zero.
void decay(pair_sums & sums, duration age) noexcept;

/// \returns the estimate from \p sums; a weight of 0 when there is no evidence.
estimate estimate_effect(pair_sums const & sums) noexcept;

/// \returns the logarithm of the slowdown that is exceeded with high confidence.
double lower_bound(estimate const & value) noexcept;

} // namespace cassiahub::interference

#endif
