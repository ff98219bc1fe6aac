/// \file Open-loop load generator.

#include <cassiahub/config.hpp>
#include <cassiahub/load/load_run.hpp>
#include <cassiahub/runtime.hpp>

#include <CLI/CLI.hpp>
#include <civetweb.h>
#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <string>

using namespace cassiahub;

namespace
{

/// Values of the command line.
struct command_line
{
    std::string m_plan;   ///< path of the INI file
    std::string m_report; ///< path of the JSON report; empty for standard output
    std::string m_plot;   ///< path of the SVG plot; empty for none
    std::vector<std::string> m_targets;
    std::vector<std::string> m_upstreams;
    load::probe_options m_probe;
};

std::optional<load::load_plan> read_plan(command_line const & line)
{
    std::string text;
    if (std::error_code const error = config::read_file(line.m_plan, text))
    {
        std::cerr << line.m_plan << ": " << error.message() << '\n';
        return std::nullopt;
    }
    std::vector<config::config_error> faults;
    std::optional<load::load_plan> plan = load::parse_load_plan(text, faults);
    for (config::config_error const & fault : faults)
    {
        std::cerr << line.m_plan << ": " << to_string(fault) << '\n';
    }
    if (plan && !line.m_targets.empty())
    {
        plan->m_targets = line.m_targets;
    }
    if (plan && !line.m_upstreams.empty())
    {
        plan->m_upstreams = line.m_upstreams;
    }
    return plan;
}

bool write_output(std::string const & path, std::string const & text)
{
    if (path.empty())
    {
        return true;
    }
    std::ofstream stream(path);
    stream << text;
    stream.close();
    if (!stream)
    {
        std::cerr << path << ": cannot write the file\n";
    }
    return static_cast<bool>(stream);
}

int run(command_line const & line)
{
    std::optional<load::load_plan> const plan = read_plan(line);
    if (!plan)
    {
        return runtime::exit_usage;
    }
    if (plan->m_targets.empty())
    {
        std::cerr << line.m_plan << ": no targets; set them in [load] or with --target\n";
        return runtime::exit_usage;
    }
    load::load_report report = load::make_empty_report(*plan);
    int const code =
        runtime::run_until_signal("cassiahub-load", [&](std::stop_token const & stop)
                                  { return load::run_load(*plan, stop, report); });
    std::string const text = load::format_report(*plan, report) + '\n';
    bool const written = write_output(line.m_report, text) &&
                         write_output(line.m_plot, load::format_plot(*plan, report));
    if (line.m_report.empty())
    {
        std::cout << text;
    }
    return written ? code : runtime::exit_failed;
}

int check(command_line const & line)
{
    std::optional<load::load_plan> const plan = read_plan(line);
    if (!plan)
    {
        return runtime::exit_usage;
    }
    std::cout << fmt::format("{} kinds, {:.1f} busy slots on average without floods\n",
                             plan->m_kinds.size(), load::offered_slots(*plan));
    return runtime::exit_success;
}

int probe(command_line const & line)
{
    std::string text;
    int const code =
        runtime::run_until_signal("cassiahub-load", [&](std::stop_token const & stop)
                                  { return load::run_probe(line.m_probe, stop, text); });
    std::cout << text << '\n';
    return code;
}

void add_probe_options(CLI::App & command, load::probe_options & options)
{
    command.add_option("--entry", options.m_entry, "ip:port of an entry instance")
        ->required();
    command.add_option("--upstream", options.m_upstream, "ip:port of an upstream")
        ->required();
    command.add_option("--tenant", options.m_tenant, "tenant")->required();
    command
        .add_option("--kind", options.m_kind, "work kind of the jobs and direct calls")
        ->required();
    command
        .add_option("--count", options.m_count,
                    "number of direct calls, and of jobs through the entry instance")
        ->check(CLI::Range(1, 100'000));
    command
        .add_option("--run-ms", options.m_run_ms, "run time of the task in milliseconds")
        ->check(CLI::Range(0, 10'000));
}

} // namespace

int main(int argc, char ** argv)
{
    command_line line;
    CLI::App app("cassiahub-load: sends the load of a plan and measures the answers, see "
                 "docs/load.md.\nExit codes: 0 done, 2 bad input, 3 failed.");
    app.require_subcommand(1);
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    CLI::App * const run_command = app.add_subcommand("run", "send the load of a plan");
    CLI::App * const check_command = app.add_subcommand("check", "check a plan");
    CLI::App * const probe_command = app.add_subcommand(
        "probe", "measure the latency that an entry instance adds to a direct call");
    for (CLI::App * const command : {run_command, check_command})
    {
        command->add_option("plan", line.m_plan, "INI file")->required();
    }
    run_command->add_option(
        "--target", line.m_targets,
        "ip:port of an entry instance; replaces the targets of the plan");
    run_command->add_option(
        "--upstream", line.m_upstreams,
        "ip:port of an upstream stand-in; given once for each "
        "cassiahub-upstream-standin process; replaces the upstreams of the plan");
    run_command->add_option("--report", line.m_report, "file for the JSON report");
    run_command->add_option("--plot", line.m_plot, "file for the SVG plot");
    add_probe_options(*probe_command, line.m_probe);
    try
    {
        app.parse(argc, argv);
    }
    catch (CLI::ParseError const & fault)
    {
        return app.exit(fault) == 0 ? runtime::exit_success : runtime::exit_usage;
    }
    mg_init_library(MG_FEATURES_DEFAULT);
    if (run_command->parsed())
    {
        return run(line);
    }
    return check_command->parsed() ? check(line) : probe(line);
}
