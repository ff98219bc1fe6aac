/// \file Stand-in for upstreams and the guarded workers behind them, for tests.

#include <cassiahub/runtime.hpp>
#include <cassiahub/standin.hpp>

#include <CLI/CLI.hpp>
#include <civetweb.h>

#include <cstdint>
#include <utility>

int main(int argc, char ** argv)
{
    cassiahub::standin::upstream_options options;
    std::uint32_t run_time_ms = 100;
    CLI::App app("cassiahub-upstream-standin: upstreams with slots and guarded workers.\n"
                 "Exit codes: 0 stopped, 3 failed.");
    app.add_option("--host", options.m_host, "IPv4 address to listen on");
    app.add_option("--first-port", options.m_first_port, "port of the first upstream")
        ->check(CLI::Range(1, 65'535));
    app.add_option("--count", options.m_count, "upstreams, on consecutive ports")
        ->check(CLI::Range(1, 200));
    app.add_option("--slots", options.m_slots, "slots of each upstream")
        ->check(CLI::Range(1, 64));
    app.add_option("--run-time-ms", run_time_ms,
                   "run time of a task whose payload has no run_ms=N")
        ->check(CLI::Range(0, 600'000));
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    CLI11_PARSE(app, argc, argv);
    options.m_run_time = std::chrono::milliseconds(run_time_ms);
    mg_init_library(MG_FEATURES_DEFAULT);
    return cassiahub::runtime::run_until_signal(
        "cassiahub-upstream-standin", [&options](std::stop_token const & stop)
        { return cassiahub::standin::run_upstreams(options, stop); });
}
