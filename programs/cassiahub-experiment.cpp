/// \file Simulates entry instances under load in virtual time to compare dispatch
/// policies.

#include <cassiahub/config.hpp>
#include <cassiahub/load/experiment.hpp>

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>
#include <vector>

namespace
{

/// Parses "key=value" lines as the content of a [dispatch] section. Prints every fault.
/// \returns false when the lines have a fault.
bool parse_settings(std::vector<std::string> const & lines,
                    cassiahub::config::dispatch_settings & settings)
{
    std::string text = "[dispatch]\n";
    for (std::string const & line : lines)
    {
        text += line + "\n";
    }
    std::vector<cassiahub::config::config_error> faults;
    auto const document = cassiahub::config::parse_fleet_document(text, faults);
    for (cassiahub::config::config_error const & fault : faults)
    {
        std::cerr << to_string(fault) << '\n';
    }
    if (!document)
    {
        return false;
    }
    settings = document->m_dispatch;
    return true;
}

} // namespace

int main(int argc, char ** argv)
{
    cassiahub::load::experiment_options options;
    CLI::App app("cassiahub-experiment: measures dispatch policies in virtual time.\n"
                 "Prints JSON. Exit codes: 0 done, 2 bad settings.");
    app.add_option("--seed", options.m_seed, "seed of the jobs and of the decisions");
    app.add_option("--seconds", options.m_seconds,
                   "virtual time during which jobs arrive, in seconds")
        ->check(CLI::Range(1, 3600));
    app.add_option("--check-period", options.m_check_period,
                   "number of events from one check of the invariants to the next")
        ->check(CLI::Range(1, 1'000'000));
    app.add_flag("--only-current", options.m_current_policy_only,
                 "run the current policy only");
    std::vector<std::string> lines;
    app.add_option("--set", lines,
                   "key=value of the [dispatch] section; may be given several times");
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    CLI11_PARSE(app, argc, argv);
    if (!parse_settings(lines, options.m_settings))
    {
        return 2;
    }
    std::cout << cassiahub::load::run_experiment(options) << '\n';
    return 0;
}
