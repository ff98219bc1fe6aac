/// \file The gateway daemon: accepts requests from callers of the platform and dispatches
/// them to upstreams.

#include "platform/wire_format.hpp"
#include "settings_file.hpp"

#include <cassiahub/config/gateway_settings.hpp>
#include <cassiahub/config/process_settings.hpp>
#include <cassiahub/gateway.hpp>
#include <cassiahub/runtime/program.hpp>
#include <cassiahub/telemetry/log.hpp>

#include <CLI/CLI.hpp>

#include <array>
#include <iostream>
#include <optional>
#include <string>

namespace
{

/// Validates the settings file again and logs whether it changed. New settings take
/// effect only after a restart.
void reload_settings(std::string const & path,
                     cassiahub::config::gateway_settings const & current)
{
    using namespace cassiahub;
    auto const settings = load_settings(path, cassiahub::config::parse_gateway_settings);
    std::string_view const outcome = !settings              ? "invalid"
                                     : *settings == current ? "unchanged"
                                                            : "changed";
    std::array<telemetry::log_field, 2> const fields = {
        {{"subject", path}, {"detail", outcome}}};
    telemetry::write_log(settings ? telemetry::log_level::info
                                  : telemetry::log_level::warning,
                         current.m_instance, "settings_read", fields);
}

} // namespace

int main(int argc, char ** argv)
{
    CLI::App app("cassiahub-gateway: accepts requests from callers of the platform and "
                 "dispatches them to upstreams.\n"
                 "Exit codes: 0 stopped on a signal, 2 invalid settings, 3 failed, "
                 "4 stopped with work in progress.");
    std::string settings_path;
    bool check_only = false;
    app.add_option("-s,--settings", settings_path, "INI file with the section [gateway]")
        ->required();
    app.add_flag("--check", check_only, "check the settings and exit");
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    CLI11_PARSE(app, argc, argv);
    auto const settings =
        load_settings(settings_path, cassiahub::config::parse_gateway_settings);
    if (!settings)
    {
        return cassiahub::runtime::exit_usage;
    }
    if (check_only)
    {
        return cassiahub::runtime::exit_success;
    }
    cassiahub::telemetry::configure_logging();
    return cassiahub::runtime::run_until_signal(
        "cassiahub-gateway",
        [&settings](std::stop_token const & stop)
        {
            return cassiahub::gateway::run_daemon(
                *settings, cassiahub::platform::make_wire_format(), stop);
        },
        [&settings, &settings_path] { reload_settings(settings_path, *settings); },
        settings->m_grace);
}
