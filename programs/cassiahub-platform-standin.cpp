/// \file Stand-in for the platform: table, object store and instance list, for tests.

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
        "cassiahub-platform-standin: table, objects and instance list for tests.\n"
        "Keeps everything in memory. Exit codes: 0 stopped, 3 failed.");
    app.add_option("--listen", options.m_address, "ip:port to listen on");
    app.add_option("--write-delay-ms", write_delay_ms, "time of a synced write")
        ->check(CLI::Range(0, 10'000));
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    CLI11_PARSE(app, argc, argv);
    options.m_write_delay = std::chrono::milliseconds(write_delay_ms);
    mg_init_library(MG_FEATURES_DEFAULT);
    return cassiahub::runtime::run_until_signal(
        "cassiahub-platform-standin", [&options](std::stop_token const & stop)
        { return cassiahub::standin::run_platform(options, stop); });
}
