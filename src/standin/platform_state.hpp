#ifndef CASSIAHUB_STANDIN_PLATFORM_STATE_HPP
#define CASSIAHUB_STANDIN_PLATFORM_STATE_HPP

#include "standin/listener.hpp"

#include <cassiahub/core/random.hpp>
#include <cassiahub/standin/platform_faults.hpp>
#include <cassiahub/standin/platform_server.hpp>
#include <cassiahub/standin/table.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace cassiahub::standin::internal
{

using instance_map = std::map<std::string, decision::listed_instance, std::less<>>;

/// The instance list as it was from a moment on.
struct instance_snapshot
{
    time_point m_since;
    instance_map m_instances;
};

/// Requests of one class in the current second, and their totals.
struct rate_counter
{
    std::int64_t m_second = -1;
    std::uint32_t m_in_second = 0;
    std::uint32_t m_highest_in_second = 0;
    std::uint64_t m_total = 0;
    std::uint64_t m_refused = 0;
};

/// Everything that the platform keeps. The HTTP threads share it under m_mutex.
struct platform_state
{
    explicit platform_state(platform_options const & options) : m_options(options) {}

    platform_options const & m_options;
    std::mutex m_mutex;
    platform_faults m_faults;
    random_source m_random;
    table m_table;
    std::map<std::string, std::string, std::less<>> m_objects;
    std::deque<instance_snapshot> m_instances; ///< oldest first, never empty
    std::map<std::pair<std::string, std::string>, std::string> m_links;
    rate_counter m_reads;
    rate_counter m_writes;
    std::uint64_t m_lost_answers = 0;
};

/// Whether a request reads or writes; each class has its own delay and limit.
enum class access
{
    read,
    write
};

/// Applies the faults that come before a request takes effect: outage, limit and
/// delay. \returns the refusal, or nothing when the request may go on.
reply admit(platform_state & state, http::request const & received, access kind);

/// \returns \p answer to a write that took effect, or nothing when it is to be lost.
/// \pre state.m_mutex is held
reply deliver(platform_state & state, http::response answer);

// Each of these serves one group of paths.
reply serve_batch(platform_state & state, http::request const & received);
reply serve_rows(platform_state & state, http::request const & received);
reply serve_row(platform_state & state, http::request const & received);
reply serve_resolve(platform_state & state, http::request const & received);
reply serve_object(platform_state & state, http::request const & received);
reply serve_instances(platform_state & state, http::request const & received);
reply serve_one_instance(platform_state & state, http::request const & received);
reply serve_links(platform_state & state, http::request const & received);
reply serve_platform_faults(platform_state & state, http::request const & received);
reply serve_platform_stats(platform_state & state);

} // namespace cassiahub::standin::internal

#endif
