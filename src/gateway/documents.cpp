#include "gateway/context.hpp"
#include "gateway/dispatch_policy.hpp"

#include <cassiahub/config/error.hpp>

#include <memory>
#include <utility>

namespace cassiahub::gateway
{

void submit_document(gateway_context & context, std::string document,
                     std::stop_token const & stop)
{
    std::optional<config::fleet_configuration> parsed =
        context.m_wire.m_decode_configuration(document);
    if (!parsed)
    {
        record(context.m_daemon,
               decision::log_event{"document_invalid", std::to_string(document.size()),
                                   config::config_errc::bad_value});
        return;
    }
    apply_dispatch_policy(*parsed, context.m_settings.m_interference);
    context.m_daemon.m_events.push(
        decision::configuration_changed{
            std::make_shared<config::fleet_configuration const>(std::move(*parsed)),
            std::move(document)},
        stop);
}

std::error_code run_document_checker(gateway_context & context,
                                     std::stop_token const & stop)
{
    constexpr duration wait_period = std::chrono::seconds(60);

    while (!stop.stop_requested())
    {
        std::optional<decision::check_document> check =
            context.m_daemon.m_documents.pop(wait_period, stop);
        if (check)
        {
            submit_document(context, std::move(check->m_document), stop);
        }
    }
    return {};
}

} // namespace cassiahub::gateway
