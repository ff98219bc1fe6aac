#include <cassiahub/dispatch/crash_history.hpp>

#include <algorithm>

namespace cassiahub::dispatch
{

namespace
{

void remove_task(crash_history & history, task_identity const & task)
{
    auto const found = history.m_tasks.find(task);
    history.m_by_time.erase({found->second.m_last_loss, task});
    history.m_tasks.erase(found);
}

void add_loss(crash_history & history, task_identity const & task,
              upstream_identity const & upstream, time_point now)
{
    suspected_task & entry = history.m_tasks[task];
    if (!entry.m_upstreams.emplace(upstream, upstream_fate::unknown).second)
    {
        return;
    }
    history.m_by_time.erase({entry.m_last_loss, task});
    entry.m_last_loss = now;
    history.m_by_time.emplace(now, task);
    if (history.m_tasks.size() > max_suspects)
    {
        remove_task(history, task_identity(history.m_by_time.begin()->second));
    }
}

void set_fate(crash_history & history, upstream_identity const & upstream,
              upstream_fate fate)
{
    std::vector<task_identity> cleared;
    for (auto & [task, entry] : history.m_tasks)
    {
        auto const found = entry.m_upstreams.find(upstream);
        if (found == entry.m_upstreams.end())
        {
            continue;
        }
        found->second = fate;
        if (fate == upstream_fate::survived)
        {
            entry.m_upstreams.erase(found);
        }
        if (entry.m_upstreams.empty())
        {
            cleared.push_back(task);
        }
    }
    for (task_identity const & task : cleared)
    {
        remove_task(history, task);
    }
}

} // namespace

void record_loss(crash_history & history, upstream_loss const & loss, time_point now)
{
    if (loss.m_fate != upstream_fate::survived)
    {
        for (task_identity const & task : loss.m_tasks)
        {
            add_loss(history, task, loss.m_upstream, now);
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
    auto const & upstreams = found->second.m_upstreams;
    auto const crashes = static_cast<std::size_t>(std::count_if(
        upstreams.begin(), upstreams.end(),
        [](auto const & item) { return item.second == upstream_fate::crashed; }));
    if (crashes >= max_crashes)
    {
        return crash_verdict::convicted;
    }
    return upstreams.size() >= max_losses ? crash_verdict::withheld
                                          : crash_verdict::suspected;
}

std::vector<upstream_loss> list_losses(crash_history const & history)
{
    std::map<std::pair<upstream_identity, upstream_fate>, upstream_loss> losses;
    for (auto const & [task, entry] : history.m_tasks)
    {
        for (auto const & [upstream, fate] : entry.m_upstreams)
        {
            upstream_loss & loss = losses[{upstream, fate}];
            loss.m_upstream = upstream;
            loss.m_fate = fate;
            loss.m_tasks.push_back(task);
        }
    }
    std::vector<upstream_loss> listed;
    for (auto & [key, loss] : losses)
    {
        listed.push_back(std::move(loss));
    }
    return listed;
}

} // namespace cassiahub::dispatch
