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

/// The instance list from m_valid_from until the next snapshot.
struct instance_snapshot
{
    time_point m_valid_from;
    instance_map m_instances;
};

/// Request counts of one request class.
struct rate_counter
{
    std::int64_t m_second = -1; ///< boot clock, the second that is being counted
    std::uint32_t m_count_in_second = 0;
    std::uint32_t m_highest_count_in_second = 0;
    std::uint64_t m_total = 0;
    std::uint64_t m_refused = 0;
};

/// State of the platform stand-in. m_mutex guards everything that changes after the
/// start.
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
    /// For (viewer, instance): the address under which the viewer sees the instance.
    std::map<std::pair<std::string, std::string>, std::string> m_links;
    rate_counter m_reads;
    rate_counter m_writes;
    std::uint64_t m_lost_responses = 0;
};

/// Reads and writes have separate delays and rate limits.
enum class request_class
{
    read,
    write
};

/// Applies the faults that precede the effect of a request: outage, rate limit and delay.
/// \returns a refusal, or an empty value if the request is admitted.
optional_response admit(platform_state & state, http::request const & received,
                        request_class kind);

/// Applies lost responses to a write that took effect.
/// \returns \p response, or an empty value if the fault drops it.
/// \pre state.m_mutex is held
optional_response apply_response_loss(platform_state & state, http::response response);

// Handlers, one for each group of paths.
optional_response serve_batch(platform_state & state, http::request const & received);
optional_response serve_rows(platform_state & state, http::request const & received);
optional_response serve_row(platform_state & state, http::request const & received);
optional_response serve_resolve(platform_state & state, http::request const & received);
optional_response serve_object(platform_state & state, http::request const & received);
optional_response serve_instances(platform_state & state, http::request const & received);
optional_response serve_one_instance(platform_state & state,
                                     http::request const & received);
optional_response serve_links(platform_state & state, http::request const & received);
optional_response serve_platform_faults(platform_state & state,
                                        http::request const & received);
optional_response serve_platform_stats(platform_state & state);

} // namespace cassiahub::standin::internal

#endif
