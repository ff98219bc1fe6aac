#ifndef CASSIAHUB_TESTS_INTERFERENCE_HISTORY_HPP
#define CASSIAHUB_TESTS_INTERFERENCE_HISTORY_HPP

#include <cassiahub/core/random.hpp>
#include <cassiahub/interference.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cassiahub::interference
{

/// One kind of a scripted history.
struct scripted_kind
{
    double m_seconds = 0.3;   ///< median run time alone on an upstream of usual speed
    double m_spread = 0.3;    ///< standard deviation of the logarithm of the task sizes
    double m_per_second = 10; ///< arrivals of the whole instance
};

/// Fleet and tasks of a scripted history. Times are in seconds since its start.
struct script
{
    std::vector<scripted_kind> m_kinds{
        {0.1, 0.3, 14}, {0.2, 0.3, 10}, {0.3, 0.3, 8}, {0.5, 0.3, 4}, {0.9, 0.3, 2}};
    /// (kind, neighbour): factor by which the neighbour slows the kind.
    std::map<std::pair<int, int>, double> m_effects;
    int m_upstreams = 8;
    int m_slots = 3;
    int m_job_tasks = 1; ///< tasks of one job; they have the same size
    double m_measured_from = 0;
    double m_tails = 0.03; ///< part of the tasks that last seven times as long
    /// Whether a kind may run on an upstream.
    std::function<bool(int, int)> m_allows = [](int, int)
    {
        return true;
    };
    bool m_avoids = false; ///< whether placement follows expected_slowdown()
    /// Speed of an upstream; 0 while it hangs.
    std::function<double(int, double)> m_speed = [](int, double)
    {
        return 1.0;
    };
    /// Delay of the results of the whole instance.
    std::function<double(double)> m_delay = [](double)
    {
        return 0.0;
    };
};

/// Runs a script on one instance in virtual time.
class scripted_history
{
    static constexpr double step = 0.005;

    struct task
    {
        std::uint64_t m_run = 0;
        std::uint8_t m_kind = 0;
        double m_work = 0; ///< seconds left on an upstream of usual speed
        double m_started = 0;
        double m_ended = -1;
    };

    script m_script;
    random_source m_random;
    std::vector<std::vector<task>> m_tasks; ///< by upstream
    std::vector<occupancy> m_occupants;
    std::vector<double> m_means; ///< learned mean run time of each kind
    std::uint64_t m_next_run = 1;
    double m_next_update = 0;

    void submit(std::uint8_t kind)
    {
        scripted_kind const & definition = m_script.m_kinds[kind];
        double const size =
            definition.m_seconds *
            std::exp(definition.m_spread * std::normal_distribution<>()(m_random));
        std::uint64_t const job = m_next_run;
        for (int index = 0; index < m_script.m_job_tasks; ++index)
        {
            bool const tail = draw() < m_script.m_tails;
            start(kind, tail ? 7 * size : size, job);
        }
    }

    double draw()
    {
        return std::uniform_real_distribution<>()(m_random);
    }

    void start(std::uint8_t kind, double work, std::uint64_t job)
    {
        std::vector<std::pair<double, int>> candidates;
        for (int upstream = 0; upstream < m_script.m_upstreams; ++upstream)
        {
            if (m_script.m_allows(kind, upstream) &&
                static_cast<int>(m_tasks[upstream].size()) < m_script.m_slots)
            {
                candidates.emplace_back(
                    (m_script.m_avoids ? penalty(kind, upstream) : 1.0) + 1e-3 * draw(),
                    upstream);
            }
        }
        if (candidates.empty())
        {
            return;
        }
        int const upstream =
            std::min_element(candidates.begin(), candidates.end())->second;
        m_tasks[upstream].push_back({m_next_run, kind, work, m_time});
        resident entry;
        entry.m_run = m_next_run++;
        entry.m_job = job;
        entry.m_expected = to_duration(m_means[kind]);
        entry.m_record.m_kind = kind;
        entry.m_record.m_upstream = static_cast<std::uint32_t>(upstream);
        enter(m_occupants[upstream], entry, now());
    }

    double penalty(std::uint8_t kind, int upstream) const
    {
        double result = 1;
        std::vector<std::uint8_t> there;
        for (task const & other : m_tasks[upstream])
        {
            there.push_back(other.m_kind);
            result =
                std::max(result, expected_slowdown(m_state, other.m_kind, {&kind, 1}));
        }
        return result * expected_slowdown(m_state, kind, there);
    }

    double speed_of(task const & item, int upstream) const
    {
        double speed = m_script.m_speed(upstream, m_time);
        std::vector<bool> seen(m_script.m_kinds.size());
        for (task const & other : m_tasks[upstream])
        {
            auto const effect = m_script.m_effects.find({item.m_kind, other.m_kind});
            if (other.m_run != item.m_run && !seen[other.m_kind] && other.m_ended < 0 &&
                effect != m_script.m_effects.end())
            {
                speed /= effect->second;
                seen[other.m_kind] = true;
            }
        }
        return speed;
    }

    void work(int upstream)
    {
        std::vector<task> & tasks = m_tasks[upstream];
        for (task & item : tasks)
        {
            if (item.m_ended < 0 && (item.m_work -= step * speed_of(item, upstream)) <= 0)
            {
                item.m_ended = m_time;
            }
        }
        for (std::size_t index = 0; index < tasks.size();)
        {
            task const item = tasks[index];
            if (item.m_ended < 0 || m_time < item.m_ended + m_script.m_delay(m_time))
            {
                ++index;
                continue;
            }
            finish(item, upstream);
            tasks.erase(tasks.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    void finish(task const & item, int upstream)
    {
        double const seconds = m_time - item.m_started;
        double & mean = m_means[item.m_kind];
        finished_run const run =
            leave(m_occupants[upstream], item.m_run, seconds / mean, now());
        mean += 0.02 * (seconds - mean);
        observe(m_state, run, now());
        ++m_runs[item.m_kind];
        double const slowness = seconds / mean;
        if (m_time >= m_script.m_measured_from)
        {
            m_slowness[upstream] += std::min(slowness, 5.0);
            m_corrected[upstream] +=
                std::min(slowness, 5.0) / explained_slowdown(m_state, run);
            ++m_measured[upstream];
        }
    }

public:
    interference_state m_state;
    double m_time = 0;
    std::vector<int> m_runs; ///< finished runs of each kind
    // By upstream: number of runs since script::m_measured_from, sum of their slowness
    // and of the part of it that neighbours do not explain.
    std::vector<int> m_measured;
    std::vector<double> m_slowness;
    std::vector<double> m_corrected;
    std::vector<pair_change> m_changes;
    std::vector<double> m_change_times; ///< of m_changes

    scripted_history(script settings, std::uint64_t seed)
        : m_script(std::move(settings)), m_random(seed),
          m_tasks(static_cast<std::size_t>(m_script.m_upstreams)),
          m_occupants(m_tasks.size()), m_runs(m_script.m_kinds.size()),
          m_measured(m_tasks.size()), m_slowness(m_tasks.size()),
          m_corrected(m_tasks.size())
    {
        m_state.m_incarnation = seed;
        for (std::size_t kind = 0; kind < m_script.m_kinds.size(); ++kind)
        {
            track_kind(m_state, "kind-" + std::to_string(kind));
            m_means.push_back(1.2 * m_script.m_kinds[kind].m_seconds);
        }
    }

    static duration to_duration(double seconds)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(seconds));
    }

    time_point now() const
    {
        return time_point(to_duration(1000 + m_time));
    }

    script & settings()
    {
        return m_script;
    }

    void run_until(double end)
    {
        while (m_time < end)
        {
            m_time += step;
            for (int upstream = 0; upstream < m_script.m_upstreams; ++upstream)
            {
                work(upstream);
            }
            for (std::size_t kind = 0; kind < m_script.m_kinds.size(); ++kind)
            {
                if (draw() * m_script.m_job_tasks <
                    step * m_script.m_kinds[kind].m_per_second)
                {
                    submit(static_cast<std::uint8_t>(kind));
                }
            }
            if (m_time >= m_next_update)
            {
                m_next_update = m_time + 1;
                for (pair_change const & change : update_pairs(m_state, now()))
                {
                    m_changes.push_back(change);
                    m_change_times.push_back(m_time);
                }
            }
        }
    }

    pair_state const & pair(int kind, int other) const
    {
        return m_state.m_pairs[static_cast<std::size_t>(kind) * m_state.m_kinds.size() +
                               static_cast<std::size_t>(other)];
    }

    /// \returns the time at which the pair was first kept apart after \p after, or no
    /// longer kept apart; -1 when that has not happened.
    double time_of_change(int kind, int other, bool apart, double after = 0) const
    {
        for (std::size_t index = 0; index < m_changes.size(); ++index)
        {
            pair_change const & change = m_changes[index];
            if (change.m_kind == kind && change.m_neighbour == other &&
                change.m_apart == apart && m_change_times[index] > after)
            {
                return m_change_times[index];
            }
        }
        return -1;
    }
};

} // namespace cassiahub::interference

#endif
