/// \file Stand-in for upstreams and their workers in tests.

#include <cassiahub/runtime.hpp>
#include <cassiahub/standin.hpp>

#include <CLI/CLI.hpp>
#include <civetweb.h>

#include <cstdint>
#include <iostream>
#include <utility>

int main(int argc, char ** argv)
{
    cassiahub::standin::upstream_options options;
    std::uint32_t run_time_ms = 100;
    std::uint32_t usage_lag_ms = 1000;
    CLI::App app("cassiahub-upstream-standin: upstreams and their workers for tests.\n"
                 "Faults are set with PUT /faults, see docs/standins.md.\n"
                 "Exit codes: 0 stopped, 2 bad settings, 3 failed.");
    app.add_option("--host", options.m_host, "IPv4 address to listen on");
    app.add_option("--first-port", options.m_first_port, "port of the first upstream")
        ->check(CLI::Range(1, 65'535));
    app.add_option("--count", options.m_count,
                   "number of upstreams, on consecutive ports")
        ->check(CLI::Range(1, 200));
    app.add_option("--slots", options.m_slots, "concurrent tasks of each upstream")
        ->check(CLI::Range(1, 64));
    app.add_option("--connections", options.m_connections,
                   "connections that each upstream serves concurrently")
        ->check(CLI::Range(1, 1'024));
    app.add_option("--worker-millicores", options.m_capacity.m_millicores)
        ->check(CLI::Range(1, 1'000'000));
    app.add_option("--worker-memory-mib", options.m_capacity.m_memory_mib)
        ->check(CLI::Range(1, 16'777'216));
    app.add_option("--worker-accelerators", options.m_capacity.m_accelerators)
        ->check(CLI::Range(0, 64));
    app.add_option("--usage-lag-ms", usage_lag_ms,
                   "age of the usage reported at GET /usage")
        ->check(CLI::Range(0, 600'000));
    app.add_option("--run-time-ms", run_time_ms,
                   "run time of a task whose payload does not start with run_ms=N")
        ->check(CLI::Range(0, 600'000));
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
    constexpr std::uint32_t last_port = 65'535;
    if (options.m_first_port + options.m_count - 1 > last_port)
    {
        std::cerr << "--first-port and --count: bad value, allowed: ports up to 65535\n";
        return cassiahub::runtime::exit_usage;
    }
    options.m_usage_lag = std::chrono::milliseconds(usage_lag_ms);
    options.m_run_time = std::chrono::milliseconds(run_time_ms);
    mg_init_library(MG_FEATURES_DEFAULT);
    return cassiahub::runtime::run_until_signal(
        "cassiahub-upstream-standin", [&options](std::stop_token const & stop)
        { return cassiahub::standin::run_upstreams(options, stop); });
}
