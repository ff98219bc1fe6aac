/// \file The entry daemon: accepts jobs from callers and dispatches their tasks to
/// upstreams.

#include "settings_file.hpp"

#include <cassiahub/config.hpp>
#include <cassiahub/entry.hpp>
#include <cassiahub/runtime.hpp>
#include <cassiahub/telemetry.hpp>

#include <CLI/CLI.hpp>
#include <civetweb.h>
#include <malloc.h>

#include <iostream>
#include <string>
#include <utility>

int main(int argc, char ** argv)
{
    CLI::App app(
        "cassiahub-entry: accepts jobs and dispatches their tasks to upstreams.\n"
        "Exit codes: 0 stopped on a signal, 2 invalid settings, 3 failed, "
        "4 stopped with work in progress.");
    std::string settings_path;
    bool check_only = false;
    app.add_option("-s,--settings", settings_path, "INI file with the section [entry]")
        ->required();
    app.add_flag("--check", check_only, "check the settings and exit");
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    CLI11_PARSE(app, argc, argv);
    auto const settings =
        load_settings(settings_path, cassiahub::config::parse_entry_settings);
    if (!settings)
    {
        return cassiahub::runtime::exit_usage;
    }
    if (check_only)
    {
        return cassiahub::runtime::exit_success;
    }
    cassiahub::telemetry::configure_logging();
    // A fixed threshold returns the memory of large bodies to the system at once. By
    // default it grows, and the heaps of 512 threads would keep that memory.
    constexpr int mmap_threshold_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    mg_init_library(MG_FEATURES_DEFAULT);
    return cassiahub::runtime::run_until_signal(
        "cassiahub-entry",
        [&settings](std::stop_token const & stop)
        { return cassiahub::entry::run_daemon(*settings, stop); },
        {}, settings->m_grace);
}
