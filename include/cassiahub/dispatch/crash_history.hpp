#ifndef CASSIAHUB_DISPATCH_CRASH_HISTORY_HPP
#define CASSIAHUB_DISPATCH_CRASH_HISTORY_HPP

#include <cassiahub/core/identifiers.hpp>
#include <cassiahub/core/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiahub::dispatch
{

// A task may crash every upstream that runs it. Its crashes are counted over all
// submissions of its job and over all instances, since each of them could otherwise crash
// as many upstreams again. These functions do no I/O; a crash_history must not be used by
// two threads at a time.

/// Crashes of upstreams under one task after which it is not started again and its job
/// fails.
constexpr std::size_t max_crashes = 2;
/// Losses of upstreams under one task, crashes or not, after which it is not started
/// again until the fate of those upstreams is known.
constexpr std::size_t max_losses = 3;
/// Time for which a loss is remembered.
constexpr duration loss_retention = std::chrono::seconds(120);
/// Most tasks in a history; the one with the oldest loss is dropped for a new one.
constexpr std::size_t max_suspects = 16'384;

/// Identifies a task in every submission of its job, at any instance.
struct task_identity
{
    std::string m_tenant;
    std::string m_job; ///< job_key::m_key
    std::uint32_t m_task = 0;
    auto operator<=>(task_identity const &) const = default;
};

/// What became of an upstream that was lost while it ran tasks.
enum class upstream_fate
{
    unknown, ///< it crashed or cannot be reached
    crashed, ///< it is gone, or another incarnation has taken its place
    survived ///< it still is the incarnation that was lost
};

/// Identifies one incarnation of an upstream.
struct upstream_identity
{
    std::string m_name;
    /// Start time; of an upstream that reports none, a number that no other loss has.
    std::uint64_t m_incarnation = 0;
    auto operator<=>(upstream_identity const &) const = default;
};

/// An upstream was lost while it ran tasks, or the fate of a lost one is known.
struct upstream_loss
{
    upstream_identity m_upstream;
    upstream_fate m_fate = upstream_fate::unknown;
    /// Tasks that it ran; empty when only the fate is new.
    std::vector<task_identity> m_tasks;
    duration m_age{0}; ///< time since the last loss under these tasks
    bool operator==(upstream_loss const &) const = default;
};

/// Losses of upstreams under one task.
struct suspected_task
{
    std::map<upstream_identity, upstream_fate> m_upstreams; ///< none has survived
    time_point m_last_loss;
};

/// Tasks under which upstreams were lost in the last loss_retention.
struct crash_history
{
    std::map<task_identity, suspected_task> m_tasks;
    /// Tasks by their last loss, oldest first.
    std::set<std::pair<time_point, task_identity>> m_by_time;
    /// Tasks under which each upstream was lost.
    std::map<upstream_identity, std::set<task_identity>> m_by_upstream;
};

/// Whether a task may be started, as far as lost upstreams decide it.
enum class crash_verdict
{
    unsuspected, ///< no upstream was lost under it
    suspected,   ///< may be started, apart from other tasks
    withheld,    ///< not started until more is known about the lost upstreams
    convicted    ///< not started again
};

/// Adds a loss, or what has become known about one. Losses that are known already change
/// nothing, so a notice may arrive more than once. O(log n) for each task.
void record_loss(crash_history & history, upstream_loss const & loss, time_point now);

/// Removes the tasks whose last loss is older than loss_retention.
void expire_losses(crash_history & history, time_point now);

/// \returns whether task \p task of job \p job (job_key::m_key) of \p tenant may start.
crash_verdict judge_task(crash_history const & history, std::string_view tenant,
                         std::string_view job, std::uint32_t task);

/// Losses of upstreams under one task.
struct loss_count
{
    std::size_t m_losses = 0;  ///< crashes included
    std::size_t m_crashes = 0; ///< known to be crashes
};

loss_count count_losses(crash_history const & history, task_identity const & task);

/// \returns all losses of \p history, for an instance that does not know them.
std::vector<upstream_loss> list_losses(crash_history const & history, time_point now);

} // namespace cassiahub::dispatch

#endif
