#include <cassiahub/dispatch/crash_history.hpp>

#include <algorithm>

namespace cassiahub::dispatch
{

namespace
{

void remove_upstream(crash_history & history, upstream_identity const & upstream,
                     task_identity const & task)
{
    auto const found = history.m_by_upstream.find(upstream);
    found->second.erase(task);
    if (found->second.empty())
    {
        history.m_by_upstream.erase(found);
    }
}

void remove_task(crash_history & history, task_identity const & task)
{
    auto const found = history.m_tasks.find(task);
    for (auto const & [upstream, fate] : found->second.m_upstreams)
    {
        remove_upstream(history, upstream, task);
    }
    history.m_by_time.erase({found->second.m_last_loss, task});
    history.m_tasks.erase(found);
}

/// \returns the fate of a lost upstream, as far as an earlier loss of it tells.
upstream_fate known_fate(crash_history const & history,
                         upstream_identity const & upstream)
{
    auto const found = history.m_by_upstream.find(upstream);
    return found == history.m_by_upstream.end()
               ? upstream_fate::unknown
               : history.m_tasks.at(*found->second.begin()).m_upstreams.at(upstream);
}

void add_loss(crash_history & history, task_identity const & task,
              upstream_identity const & upstream, time_point lost_at)
{
    suspected_task & entry = history.m_tasks[task];
    if (!entry.m_upstreams.emplace(upstream, known_fate(history, upstream)).second)
    {
        return;
    }
    history.m_by_upstream[upstream].insert(task);
    history.m_by_time.erase({entry.m_last_loss, task});
    entry.m_last_loss = std::max(entry.m_last_loss, lost_at);
    history.m_by_time.emplace(entry.m_last_loss, task);
    if (history.m_tasks.size() > max_suspects)
    {
        remove_task(history, task_identity(history.m_by_time.begin()->second));
    }
}

/// Removes the losses of an upstream that turned out to be the incarnation that was lost.
void clear_upstream(crash_history & history, upstream_identity const & upstream,
                    std::set<task_identity> const & tasks)
{
    for (task_identity const & task : tasks)
    {
        suspected_task & entry = history.m_tasks.at(task);
        if (entry.m_upstreams.size() == 1)
        {
            remove_task(history, task);
            continue;
        }
        entry.m_upstreams.erase(upstream);
        remove_upstream(history, upstream, task);
    }
}

void set_fate(crash_history & history, upstream_identity const & upstream,
              upstream_fate fate)
{
    auto const found = history.m_by_upstream.find(upstream);
    if (found == history.m_by_upstream.end())
    {
        return;
    }
    if (fate == upstream_fate::survived)
    {
        clear_upstream(history, upstream, std::set<task_identity>(found->second));
        return;
    }
    for (task_identity const & task : found->second)
    {
        history.m_tasks.at(task).m_upstreams.at(upstream) = fate;
    }
}

std::size_t count_crashes(suspected_task const & entry)
{
    return static_cast<std::size_t>(std::count_if(
        entry.m_upstreams.begin(), entry.m_upstreams.end(),
        [](auto const & item) { return item.second == upstream_fate::crashed; }));
}

} // namespace

void record_loss(crash_history & history, upstream_loss const & loss, time_point now)
{
    if (loss.m_fate != upstream_fate::survived)
    {
        for (task_identity const & task : loss.m_tasks)
        {
            add_loss(history, task, loss.m_upstream, now - loss.m_age);
        }
    }
    if (loss.m_fate != upstream_fate::unknown)
    {
        set_fate(history, loss.m_upstream, loss.m_fate);
    }
}

void expire_losses(crash_history & history, time_point now)
{
    while (!history.m_by_time.empty() &&
           now - history.m_by_time.begin()->first >= loss_retention)
    {
        remove_task(history, task_identity(history.m_by_time.begin()->second));
    }
}

crash_verdict judge_task(crash_history const & history, std::string_view tenant,
                         std::string_view job, std::uint32_t task)
{
    if (history.m_tasks.empty())
    {
        return crash_verdict::unsuspected;
    }
    auto const found =
        history.m_tasks.find({std::string(tenant), std::string(job), task});
    if (found == history.m_tasks.end())
    {
        return crash_verdict::unsuspected;
    }
    if (count_crashes(found->second) >= max_crashes)
    {
        return crash_verdict::convicted;
    }
    return found->second.m_upstreams.size() >= max_losses ? crash_verdict::withheld
                                                          : crash_verdict::suspected;
}

loss_count count_losses(crash_history const & history, task_identity const & task)
{
    auto const found = history.m_tasks.find(task);
    return found == history.m_tasks.end() ? loss_count{}
                                          : loss_count{found->second.m_upstreams.size(),
                                                       count_crashes(found->second)};
}

std::vector<upstream_loss> list_losses(crash_history const & history, time_point now)
{
    std::vector<upstream_loss> listed;
    for (auto const & [upstream, tasks] : history.m_by_upstream)
    {
        // Losses of one upstream are known together, so few tasks differ in age or fate.
        std::map<std::pair<upstream_fate, time_point>, std::vector<task_identity>> groups;
        for (task_identity const & task : tasks)
        {
            suspected_task const & entry = history.m_tasks.at(task);
            groups[{entry.m_upstreams.at(upstream), entry.m_last_loss}].push_back(task);
        }
        for (auto & [key, group] : groups)
        {
            listed.push_back({upstream, key.first, std::move(group), now - key.second});
        }
    }
    return listed;
}

} // namespace cassiahub::dispatch
