/// \file Runs the decision core under load in virtual time and prints figures as JSON.

#include <cassiahub/load/experiment.hpp>

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char ** argv)
{
    cassiahub::load::experiment_options options;
    CLI::App app("cassiahub-experiment: measures dispatch policies in virtual time.\n"
                 "Prints JSON. Exit code 0: the runs ended.");
    app.add_option("--seed", options.m_seed, "seed of arrivals, sizes and decisions");
    app.add_option("--seconds", options.m_seconds, "virtual seconds of arrivals")
        ->check(CLI::Range(1, 3600));
    app.add_option("--check-period", options.m_check_period,
                   "events between two checks of the invariants")
        ->check(CLI::Range(1, 1'000'000));
    app.add_flag("--only-current", options.m_only_current,
                 "leave out the policies for comparison");
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    CLI11_PARSE(app, argc, argv);
    std::cout << cassiahub::load::run_experiment(options) << '\n';
    return 0;
}
