#ifndef CASSIAHUB_INTERFERENCE_STATE_HPP
#define CASSIAHUB_INTERFERENCE_STATE_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/time.hpp>
#include <cassiahub/interference/evidence.hpp>
#include <cassiahub/interference/run.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cassiahub::interference
{

/// Most upstreams whose runs are collected; an instance of the gateway owns 5 to 11.
constexpr std::size_t max_upstreams = 128;
/// Most runs that are compared with each other.
constexpr std::size_t max_block_runs = 64;
/// Longest time between runs that are compared with each other. Upstreams and load change
/// their speed within seconds, and a block needs several runs of each kind.
constexpr duration max_block_time = std::chrono::seconds(10);
/// Time over which the upstreams of an instance give one contrast of a pair. The tasks of
/// a job run on several upstreams at the same time and are alike, so the upstreams are
/// not independent of each other.
constexpr duration contrast_time = std::chrono::seconds(5);
/// Most pairs in one summary: those with the most weight. With 96 peers and one summary
/// in 10 s they cost less than 9 KB/s.
constexpr std::size_t max_summary_pairs = 32;
/// Most processes of other instances whose summaries are kept; the one that was heard
/// longest ago gives way to a new one.
constexpr std::size_t max_instances = 128;

/// Runs on one upstream that are compared with each other.
struct run_block
{
    std::vector<finished_run> m_runs; ///< m_ratio holds the logarithm of the ratio
    time_point m_started;
};

/// What an operator has decided about a pair.
enum class pair_rule : std::uint8_t
{
    learned,        ///< the evidence decides
    always_apart,   ///< pinned
    never_separated ///< forbidden
};

/// Everything known about the effect of one kind (the neighbour) on another.
struct pair_state
{
    /// Sums over the upstreams of this instance since m_open_since, not squared yet.
    pair_sums m_open;
    pair_sums m_own;     ///< evidence of this instance, decayed to m_own_at
    pair_sums m_total;   ///< evidence of all instances at the last update
    float m_effect = 0;  ///< logarithm of the estimated slowdown, shrunk towards 0
    float m_penalty = 0; ///< logarithm of the slowdown that placement expects
    pair_rule m_rule = pair_rule::learned;
    bool m_apart = false; ///< kept apart
    time_point m_open_since;
    time_point m_own_at;  ///< time of the last contrast of this instance
    time_point m_last_at; ///< time of the last contrast of any instance
};

/// Evidence about one pair in a summary.
struct summary_pair
{
    std::uint8_t m_kind = 0;      ///< index in summary::m_kinds
    std::uint8_t m_neighbour = 0; ///< index in summary::m_kinds
    pair_sums m_sums;
    duration m_age{0}; ///< time since the last contrast
    bool operator==(summary_pair const &) const = default;
};

/// Evidence of one instance, as totals.
struct summary
{
    std::uint64_t m_incarnation = 0; ///< of the instance's process
    std::uint64_t m_sequence = 0;    ///< grows with the contrasts of the process
    std::vector<std::string> m_kinds;
    std::vector<summary_pair> m_pairs; ///< at most max_summary_pairs
    bool operator==(summary const &) const = default;
};

/// Last summary of another instance.
struct instance_evidence
{
    instance_id m_instance;
    summary m_summary;
    time_point m_received_at;
};

/// Start or end of keeping a pair apart, for the log.
struct pair_change
{
    std::uint8_t m_kind = 0;
    std::uint8_t m_neighbour = 0;
    bool m_apart = false;
    double m_slowdown = 1;
    double m_weight = 0;
    duration m_age{0}; ///< time since the last contrast
};

struct interference_counters
{
    std::uint64_t m_observed = 0;
    std::uint64_t m_unusable = 0; ///< runs that were no evidence
    std::uint64_t m_ignored = 0;  ///< kind or upstream beyond the limits
    std::uint64_t m_contrasts = 0;
};

/// State of the subsystem. Owned by the decision thread.
struct interference_state
{
    std::uint64_t m_incarnation = 0; ///< of this process
    std::vector<std::string> m_kinds;
    /// Element kind * m_kinds.size() + neighbour.
    std::vector<pair_state> m_pairs;
    std::vector<float> m_usual_level; ///< moving average of the log ratio of each kind
    std::vector<run_block> m_blocks;  ///< by number of the upstream
    std::vector<instance_evidence> m_instances;
    /// Runs that ended lately on any upstream: decayed sum of the log ratios relative to
    /// the usual level of their kind, and decayed count.
    double m_recent_sum = 0;
    double m_recent_count = 0;
    time_point m_recent_at;
    interference_counters m_counters;
};

} // namespace cassiahub::interference

#endif
