#ifndef CASSIAHUB_INTERFERENCE_RUN_HPP
#define CASSIAHUB_INTERFERENCE_RUN_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace cassiahub::interference
{

/// Most kinds whose interference is tracked. Bounds the matrix of pairs to 4,096
/// elements; further kinds are not tracked and counted.
constexpr std::size_t max_kinds = 64;
/// Number of a kind that is not tracked.
constexpr std::uint8_t untracked_kind = 0xff;
/// Most kinds recorded beside one run. Tasks take about half of an upstream, so rarely
/// more than three run beside another one.
constexpr std::size_t max_neighbours = 4;

/// A kind that ran on the same upstream as a run.
struct neighbour
{
    std::uint8_t m_kind = untracked_kind;
    /// Part of the run during which tasks of the kind ran there, 0 to 1.
    float m_share = 0;
    /// The same for the first half of the expected run time. Unlike m_share it does not
    /// depend on how long the run lasted.
    float m_early_share = 0;
};

/// A finished run of a task.
struct finished_run
{
    std::uint8_t m_kind = untracked_kind;
    std::uint8_t m_neighbour_count = 0; ///< valid elements of m_neighbours
    /// The run is no evidence: a task beside it was overdue when it started, which is a
    /// sign of an upstream that hangs, or more kinds ran beside it than are recorded.
    bool m_unusable = false;
    /// A task of the same job ran there in the first half of the expected run time. The
    /// tasks of a job are alike, so such a run is no evidence of a kind against itself.
    bool m_beside_own_job = false;
    std::uint32_t m_upstream = 0; ///< number chosen by the caller
    /// Run time divided by the run time expected from the kind and, if declared, from the
    /// task. The upstream's speed is not taken into account. Positive.
    double m_ratio = 1;
    std::array<neighbour, max_neighbours> m_neighbours;
};

} // namespace cassiahub::interference

#endif
