/// \file Command-line client for operators: edits the fleet configuration document, shows
/// the state of entry instances and sends jobs.

#include <cassiahub/ctl.hpp>

#include <CLI/CLI.hpp>
#include <civetweb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace
{

namespace ctl = cassiahub::ctl;

constexpr char const * exit_codes =
    "Exit codes: 0 success; 2 invalid input, correct it first; 3 failed or refused, or\n"
    "the outcome is unknown; 4 conflict with another edit or job; 5 not executed,\n"
    "nothing changed and the same command may be repeated later.";

/// Values parsed from the command line, and the chosen command, which main() runs after
/// parsing.
struct command_line
{
    std::string m_file; ///< path of the input file
    std::string m_name; ///< name of a section or an upstream
    std::string m_platform = "127.0.0.1:8500";
    std::uint64_t m_version = 0; ///< value of --if-version
    bool m_new = false;
    bool m_text = false;
    std::string m_prefix; ///< prefix of metric names
    ctl::operator_target m_target{{"127.0.0.1:8080"}, {}, {}, ctl::output_format::table};
    ctl::job_target m_job{"127.0.0.1:8080", {}, {}, {}, ctl::output_format::table};
    std::function<int()> m_command;
};

void add_output_option(CLI::App & command, ctl::output_format & output)
{
    static std::map<std::string, ctl::output_format> const formats{
        {"table", ctl::output_format::table}, {"json", ctl::output_format::json}};
    command.add_option("--output", output, "table or json")
        ->transform(CLI::CheckedTransformer(formats));
}

void add_entry_options(CLI::App & command, ctl::operator_target & target)
{
    command
        .add_option("--entry", target.m_entries,
                    "ip:port of an entry instance; may be repeated: status queries every "
                    "instance, other commands use the first reachable one")
        ->take_all()
        ->allow_extra_args(false);
    add_output_option(command, target.m_output);
}

/// The option names a file because every user of the machine can read arguments.
void add_key_option(CLI::App & command, ctl::operator_target & target)
{
    command.add_option("--key-file", target.m_key_file,
                       "file with the team's key; default: the environment variable "
                       "CASSIAHUB_TEAM_KEY");
}

void add_team_options(CLI::App & command, ctl::operator_target & target)
{
    command.add_option("--team", target.m_team, "team that makes the edit")->required();
    add_key_option(command, target);
}

/// Adds a subcommand with an example at the end of its help text.
CLI::App & add_command(CLI::App & parent, char const * name, char const * summary,
                       char const * example)
{
    CLI::App & command = *parent.add_subcommand(name, summary);
    command.footer(std::string("Example:\n  ") + example);
    return command;
}

/// Adds the commands that need no entry instance.
void add_local_config_commands(CLI::App & config, command_line & line)
{
    CLI::App & check = add_command(config, "check", "validate a document offline",
                                   "cassiahubctl config check fleet.ini");
    check.add_option("file", line.m_file, "INI file with the whole document")->required();
    add_output_option(check, line.m_target.m_output);
    check.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::check_config(line.m_file, line.m_target.m_output);
            };
        });

    CLI::App & init =
        add_command(config, "init", "write the first document of a new fleet",
                    "cassiahubctl config init --platform 127.0.0.1:8500 fleet.ini");
    init.add_option("--platform", line.m_platform, "ip:port of the platform service");
    init.add_option("file", line.m_file, "INI file with the whole document")->required();
    init.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::init_config(line.m_platform, line.m_file);
            };
        });

    CLI::App & keys = add_command(
        config, "keys", "list every key with its allowed values, default and meaning",
        "cassiahubctl config keys --output json");
    add_output_option(keys, line.m_target.m_output);
    keys.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::print_keys(line.m_target.m_output);
            };
        });

    CLI::App & hash = add_command(config, "key-hash", "print the key_hash of a team key",
                                  "cassiahubctl config key-hash --key-file returns.key");
    add_key_option(hash, line.m_target);
    hash.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::print_key_hash(line.m_target.m_key_file);
            };
        });
}

void add_read_commands(CLI::App & config, command_line & line)
{
    CLI::App & show = add_command(
        config, "show", "list the sections, or print one section for editing",
        "cassiahubctl config show --entry 127.0.0.1:8081 kind.levy >levy.ini");
    add_entry_options(show, line.m_target);
    show.add_flag("--text", line.m_text,
                  "print the text of all sections instead of a table");
    show.add_option("section", line.m_name, "name of a section");
    show.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::show_config(line.m_target, line.m_name, line.m_text);
            };
        });

    CLI::App & diff = add_command(
        config, "diff", "show how the sections in a file differ from the current ones",
        "cassiahubctl config diff --entry 127.0.0.1:8081 levy.ini");
    add_entry_options(diff, line.m_target);
    diff.add_option("file", line.m_file, "INI file with any number of sections")
        ->required();
    diff.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::diff_config(line.m_target, line.m_file);
            };
        });

    CLI::App & history =
        add_command(config, "history", "show the last 100 accepted edits",
                    "cassiahubctl config history --entry 127.0.0.1:8081");
    add_entry_options(history, line.m_target);
    history.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::print_history(line.m_target);
            };
        });
}

/// \param has_expected_version whether --if-version was given.
int run_put(command_line const & line, bool has_expected_version)
{
    std::optional<std::uint64_t> expected;
    if (line.m_new || has_expected_version)
    {
        expected = line.m_new ? 0 : line.m_version;
    }
    return ctl::put_config(line.m_target, line.m_file, expected);
}

void add_edit_commands(CLI::App & config, command_line & line)
{
    CLI::App & put = add_command(
        config, "put", "add or replace one section",
        "cassiahubctl config put --entry 127.0.0.1:8081 --team returns levy.ini");
    add_entry_options(put, line.m_target);
    add_team_options(put, line.m_target);
    CLI::Option * const version =
        put.add_option("--if-version", line.m_version,
                       "version that the section must have; default: the version in the "
                       "first line of the file, as printed by config show")
            ->check(CLI::PositiveNumber);
    put.add_flag("--new", line.m_new, "the section must not exist")->excludes(version);
    put.add_option("file", line.m_file, "INI file with one section")->required();
    put.callback(
        [&line, version]
        {
            line.m_command = [&line, version]
            {
                return run_put(line, version->count() > 0);
            };
        });

    CLI::App & remove = add_command(config, "delete", "delete one section",
                                    "cassiahubctl config delete --entry 127.0.0.1:8081 "
                                    "--team returns --if-version 17 kind.levy");
    add_entry_options(remove, line.m_target);
    add_team_options(remove, line.m_target);
    remove
        .add_option("--if-version", line.m_version, "version that the section must have")
        ->check(CLI::PositiveNumber)
        ->required();
    remove.add_option("section", line.m_name, "name of the section")->required();
    remove.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::delete_config(line.m_target, line.m_name, line.m_version);
            };
        });
}

void add_job_commands(CLI::App & app, command_line & line)
{
    CLI::App & job =
        *app.add_subcommand("job", "submit, query or cancel a job of a tenant");
    job.require_subcommand(1);
    job.add_option("--entry", line.m_job.m_address, "ip:port of an entry instance");
    job.add_option("--tenant", line.m_job.m_tenant, "tenant that the job belongs to")
        ->required();
    job.add_option("--key", line.m_job.m_key, "idempotency key of the job")->required();
    job.add_option("--home-domain", line.m_job.m_home_domain,
                   "home failure domain of the job");
    add_output_option(job, line.m_job.m_output);

    CLI::App & submit =
        add_command(job, "submit", "submit a job and wait for the response",
                    "cassiahubctl job --entry 127.0.0.1:8081 --tenant tausi --key 2026-1 "
                    "submit job.json");
    submit.add_option("file", line.m_file, "JSON file with the job")->required();
    submit.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::submit_job(line.m_job, line.m_file);
            };
        });

    add_command(job, "status",
                "show the state of a job, or its response once it has ended",
                "cassiahubctl job --tenant tausi --key 2026-1 status")
        .callback(
            [&line]
            {
                line.m_command = [&line]
                {
                    return ctl::query_job(line.m_job);
                };
            });
    add_command(job, "cancel", "cancel a job",
                "cassiahubctl job --tenant tausi --key 2026-1 cancel")
        .callback(
            [&line]
            {
                line.m_command = [&line]
                {
                    return ctl::cancel_job(line.m_job);
                };
            });
}

void add_drain_command(CLI::App & app, command_line & line, bool draining)
{
    CLI::App & command =
        draining ? add_command(app, "drain", "stop giving new tasks to an upstream",
                               "cassiahubctl drain --entry 127.0.0.1:8081 --team returns "
                               "north-1")
                 : add_command(app, "undrain", "resume giving new tasks to an upstream",
                               "cassiahubctl undrain --entry 127.0.0.1:8081 --team "
                               "returns north-1");
    add_entry_options(command, line.m_target);
    add_team_options(command, line.m_target);
    command.add_option("upstream", line.m_name, "name of the upstream")->required();
    command.callback(
        [&line, draining]
        {
            line.m_command = [&line, draining]
            {
                return ctl::drain_upstream(line.m_target, line.m_name, draining);
            };
        });
}

void add_fleet_commands(CLI::App & app, command_line & line)
{
    CLI::App & status =
        add_command(app, "status", "show the state of entry instances",
                    "cassiahubctl status --entry 127.0.0.1:8081 --entry 127.0.0.1:8082");
    add_entry_options(status, line.m_target);
    status.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::print_status(line.m_target);
            };
        });

    add_drain_command(app, line, true);
    add_drain_command(app, line, false);

    CLI::App & metrics = add_command(
        app, "metrics", "draw the histograms in the metrics of an entry instance",
        "cassiahubctl metrics --entry 127.0.0.1:8081 --prefix cassiahub_");
    add_entry_options(metrics, line.m_target);
    metrics.add_option("--prefix", line.m_prefix,
                       "draw only histograms whose name starts with this prefix");
    metrics.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::print_metrics(line.m_target, line.m_prefix);
            };
        });
}

} // namespace

int main(int argc, char ** argv)
{
    CLI::App app("cassiahubctl: operates a fleet of cassiahub entry instances.");
    app.footer(exit_codes);
    command_line line;
    app.require_subcommand(1);
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    mg_init_library(MG_FEATURES_DEFAULT);
    CLI::App & config =
        *app.add_subcommand("config", "read and edit the fleet configuration document");
    config.require_subcommand(1);
    add_local_config_commands(config, line);
    add_read_commands(config, line);
    add_edit_commands(config, line);
    add_fleet_commands(app, line);
    add_job_commands(app, line);
    try
    {
        app.parse(argc, argv);
    }
    catch (CLI::ParseError const & error)
    {
        return app.exit(error) == 0 ? cassiahub::runtime::exit_success
                                    : cassiahub::runtime::exit_usage;
    }
    return line.m_command();
}
