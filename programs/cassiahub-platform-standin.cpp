/// \file Stand-in for the platform in tests: table, object store and instance list.

#include <cassiahub/runtime.hpp>
#include <cassiahub/standin.hpp>

#include <CLI/CLI.hpp>
#include <civetweb.h>

#include <cstdint>
#include <utility>

int main(int argc, char ** argv)
{
    cassiahub::standin::platform_options options;
    std::uint32_t write_delay_ms = 4;
    CLI::App app(
        "cassiahub-platform-standin: table, object store and instance list for tests.\n"
        "Keeps everything in memory. Faults are set with PUT /faults, see\n"
        "docs/standins.md. Exit codes: 0 stopped, 2 bad settings, 3 failed.");
    app.add_option("--listen", options.m_address, "ip:port to listen on");
    app.add_option("--threads", options.m_threads, "connections served concurrently")
        ->check(CLI::Range(1, 1'024));
    app.add_option("--write-delay-ms", write_delay_ms,
                   "simulated time of a durable write")
        ->check(CLI::Range(0, 10'000));
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    try
    {
        app.parse(argc, argv);
    }
    catch (CLI::ParseError const & error)
    {
        return app.exit(error) == 0 ? cassiahub::runtime::exit_success
                                    : cassiahub::runtime::exit_usage;
    }
    options.m_write_delay = std::chrono::milliseconds(write_delay_ms);
    mg_init_library(MG_FEATURES_DEFAULT);
    return cassiahub::runtime::run_until_signal(
        "cassiahub-platform-standin", [&options](std::stop_token const & stop)
        { return cassiahub::standin::run_platform(options, stop); });
}
