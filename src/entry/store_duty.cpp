#include "entry/duties.hpp"

#include <cassiahub/config.hpp>
#include <cassiahub/store.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cassiahub::entry
{

namespace internal
{

store::client make_client(daemon_context const & context)
{
    store::client client;
    client.m_address = context.m_settings.m_platform_address;
    client.m_caller = context.m_settings.m_instance;
    return client;
}

/// Sends a fleet configuration document to the decision thread when it is valid;
/// otherwise logs that it is invalid. Every document, polled or received from a peer,
/// passes through here.
void submit_document(daemon_context & context, std::uint64_t version,
                     std::string document, std::stop_token const & stop)
{
    std::vector<config::config_error> faults;
    std::optional<config::fleet_configuration> parsed =
        config::parse_fleet_document(document, faults);
    if (!parsed)
    {
        record(context, decision::log_event{"document_invalid", std::to_string(version),
                                            faults.empty() ? std::error_code()
                                                           : faults.front().m_error});
        return;
    }
    parsed->m_version = version;
    context.m_events.push(
        decision::configuration_changed{
            std::make_shared<config::fleet_configuration const>(std::move(*parsed)),
            std::move(document)},
        stop);
}

void poll_configuration(daemon_context & context, store::client & client,
                        store::configuration_replica & replica,
                        std::stop_token const & stop)
{
    codec::table_rows rows;
    if (!store::read_rows(client, store::configuration_row_prefix, replica.m_sequence,
                          rows) &&
        store::merge_sections(replica, rows))
    {
        submit_document(context, store::document_version(replica),
                        store::assemble_document(replica), stop);
    }
}

/// \param listed the instance list of the last poll, updated in place. It is sent even
/// when unchanged, because a member that is no longer listed is forgotten only after some
/// time.
void poll_instances(daemon_context & context, store::client & client,
                    decision::instances_listed & listed, std::stop_token const & stop)
{
    if (!store::list_instances(client, listed.m_instances))
    {
        context.m_events.push(decision::instances_listed(listed), stop);
    }
}

decision::store_reply perform(store::client & client, decision::write_store const & write)
{
    decision::store_reply reply{write.m_request, {}, {}};
    reply.m_outcome = store::write_rows(client, write, reply.m_rows);
    return reply;
}

decision::store_reply perform(store::client & client, decision::read_store const & read)
{
    codec::table_rows rows;
    if (store::read_rows(client, read.m_prefix, 0, rows))
    {
        return {read.m_request, decision::store_outcome::unavailable, {}};
    }
    return {read.m_request, decision::store_outcome::done, std::move(rows.m_rows)};
}

decision::store_request_number request_of(store_command const & command)
{
    return std::visit([](auto const & request) { return request.m_request; }, command);
}

} // namespace internal

std::error_code run_platform_poller(daemon_context & context,
                                    std::stop_token const & stop)
{
    store::client client = internal::make_client(context);
    store::configuration_replica replica;
    decision::instances_listed listed;
    while (!stop.stop_requested())
    {
        internal::poll_configuration(context, client, replica, stop);
        internal::poll_instances(context, client, listed, stop);
        runtime::wait_for_stop(stop, context.m_settings.m_poll_period);
    }
    return {};
}

std::error_code run_store(daemon_context & context, std::stop_token const & stop)
{
    constexpr duration wait_period = std::chrono::seconds(60);

    store::client client = internal::make_client(context);
    while (!stop.stop_requested())
    {
        std::optional<store_command> const command =
            context.m_store_commands.pop(wait_period, stop);
        if (!command)
        {
            continue;
        }
        // Stays the reply when the request throws: a write may have taken effect.
        decision::store_reply reply{
            internal::request_of(*command), decision::store_outcome::unavailable, {}};
        try
        {
            reply = std::visit([&client](auto const & request)
                               { return internal::perform(client, request); },
                               *command);
        }
        catch (...)
        {
            context.m_events.push(std::move(reply), stop);
            throw;
        }
        context.m_events.push(std::move(reply), stop);
    }
    return {};
}

std::error_code run_document_checker(daemon_context & context,
                                     std::stop_token const & stop)
{
    constexpr duration wait_period = std::chrono::seconds(60);

    while (!stop.stop_requested())
    {
        std::optional<decision::check_document> check =
            context.m_documents.pop(wait_period, stop);
        if (check)
        {
            internal::submit_document(context, check->m_version,
                                      std::move(check->m_document), stop);
        }
    }
    return {};
}

} // namespace cassiahub::entry
