#include "entry/duties.hpp"

#include <cassiahub/config.hpp>
#include <cassiahub/platform.hpp>

#include <condition_variable>
#include <mutex>
#include <utility>

namespace cassiahub::entry
{

namespace internal
{

/// Waits for \p period or until \p stop is requested.
void wait_for_stop(duration period, std::stop_token const & stop)
{
    std::mutex mutex;
    std::condition_variable_any never;
    std::unique_lock<std::mutex> lock(mutex);
    never.wait_for(lock, stop, period, [] { return false; });
}

void poll_configuration(daemon_context & context, platform::client & client,
                        platform::configuration_feed & feed, std::stop_token const & stop)
{
    codec::table_rows rows;
    if (platform::read_rows(client, platform::configuration_row_prefix, feed.m_sequence,
                            rows) ||
        !platform::merge_sections(feed, rows))
    {
        return;
    }
    std::string document = platform::assemble_document(feed);
    std::vector<config::config_fault> faults;
    std::optional<config::fleet_configuration> parsed =
        config::parse_fleet_document(document, faults);
    if (!parsed)
    {
        return;
    }
    parsed->m_version = platform::document_version(feed);
    context.m_events.push(
        decision::configuration_changed{
            std::make_shared<config::fleet_configuration const>(std::move(*parsed)),
            std::move(document)},
        stop);
}

void poll_instances(daemon_context & context, platform::client & client,
                    std::stop_token const & stop)
{
    decision::instances_listed listed;
    if (!platform::list_instances(client, listed.m_instances))
    {
        context.m_events.push(std::move(listed), stop);
    }
}

} // namespace internal

std::error_code run_platform_poller(daemon_context & context,
                                    std::stop_token const & stop)
{
    platform::client client;
    client.m_address = context.m_settings.m_platform_address;
    client.m_caller = context.m_settings.m_instance;
    platform::configuration_feed feed;
    while (!stop.stop_requested())
    {
        internal::poll_configuration(context, client, feed, stop);
        internal::poll_instances(context, client, stop);
        internal::wait_for_stop(context.m_settings.m_poll_period, stop);
    }
    return {};
}

} // namespace cassiahub::entry
