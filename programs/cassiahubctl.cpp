/// \file The operators' client.

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
    "Exit codes: 0 done; 2 bad input, corrected input is needed; 3 failed or refused, "
    "or\n"
    "the outcome is unknown; 4 conflict, another edit or job came first; 5 not run,\n"
    "nothing happened and the same command may be repeated later.";

/// What the command line sets; the command that was chosen is run after parsing.
struct command_line
{
    std::string m_file;
    std::string m_name;
    std::string m_platform = "127.0.0.1:8500";
    std::uint64_t m_version = 0;
    bool m_new = false;
    bool m_text = false;
    std::string m_prefix;
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
                    "ip:port of an entry instance; may be repeated, the first that can "
                    "be reached is used")
        ->take_all()
        ->allow_extra_args(false);
    add_output_option(command, target.m_output);
}

/// The key itself is no argument: arguments are visible to every user of the machine.
void add_key_option(CLI::App & command, ctl::operator_target & target)
{
    command.add_option("--key-file", target.m_key_file,
                       "file with the team's key; otherwise CASSIAHUB_TEAM_KEY");
}

void add_team_options(CLI::App & command, ctl::operator_target & target)
{
    command.add_option("--team", target.m_team, "team that edits")->required();
    add_key_option(command, target);
}

CLI::App & add_command(CLI::App & parent, char const * name, char const * summary,
                       char const * example)
{
    CLI::App & command = *parent.add_subcommand(name, summary);
    command.footer(std::string("Example:\n  ") + example);
    return command;
}

void add_local_config_commands(CLI::App & config, command_line & line)
{
    CLI::App & check = add_command(config, "check", "check a document without a fleet",
                                   "cassiahubctl config check fleet.ini");
    check.add_option("file", line.m_file, "INI file")->required();
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
        add_command(config, "init", "write the first document of a fleet",
                    "cassiahubctl config init --platform 127.0.0.1:8500 fleet.ini");
    init.add_option("--platform", line.m_platform, "ip:port of the platform's service");
    init.add_option("file", line.m_file, "INI file")->required();
    init.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::init_config(line.m_platform, line.m_file);
            };
        });

    CLI::App & keys =
        add_command(config, "keys", "list every key with its range and meaning",
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

void add_reading_config_commands(CLI::App & config, command_line & line)
{
    CLI::App & show = add_command(
        config, "show", "show the sections, or one section ready to be edited",
        "cassiahubctl config show --entry 127.0.0.1:8081 kind.levy >levy.ini");
    add_entry_options(show, line.m_target);
    show.add_flag("--text", line.m_text, "the text of all sections instead of a table");
    show.add_option("section", line.m_name, "name of a section");
    show.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::show_config(line.m_target, line.m_name, line.m_text);
            };
        });

    CLI::App & diff =
        add_command(config, "diff", "show what the sections in a file would change",
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
        add_command(config, "history", "show the last 100 edits",
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

int run_put(command_line const & line, bool has_version)
{
    std::optional<std::uint64_t> expected;
    if (line.m_new || has_version)
    {
        expected = line.m_new ? 0 : line.m_version;
    }
    return ctl::put_config(line.m_target, line.m_file, expected);
}

void add_editing_config_commands(CLI::App & config, command_line & line)
{
    CLI::App & put = add_command(
        config, "put", "write one section",
        "cassiahubctl config put --entry 127.0.0.1:8081 --team returns levy.ini");
    add_entry_options(put, line.m_target);
    add_team_options(put, line.m_target);
    CLI::Option * const version =
        put.add_option("--if-version", line.m_version,
                       "version that the section must have; otherwise the first line of "
                       "the file, as written by config show")
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
    CLI::App & job = *app.add_subcommand("job", "jobs of a tenant");
    job.require_subcommand(1);
    job.add_option("--entry", line.m_job.m_address, "ip:port of an entry instance");
    job.add_option("--tenant", line.m_job.m_tenant, "tenant")->required();
    job.add_option("--key", line.m_job.m_key, "idempotency key")->required();
    job.add_option("--home-domain", line.m_job.m_home_domain, "home failure domain");
    add_output_option(job, line.m_job.m_output);

    CLI::App & submit =
        add_command(job, "submit", "submit a job and wait for its answer",
                    "cassiahubctl job --entry 127.0.0.1:8081 --tenant tausi --key 2026-1 "
                    "submit job.json");
    submit.add_option("file", line.m_file, "JSON file")->required();
    submit.callback(
        [&line]
        {
            line.m_command = [&line]
            {
                return ctl::submit_job(line.m_job, line.m_file);
            };
        });

    add_command(job, "status", "show the state or the answer of a job",
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
        draining ? add_command(app, "drain", "give an upstream no new work",
                               "cassiahubctl drain --entry 127.0.0.1:8081 --team returns "
                               "north-1")
                 : add_command(app, "undrain", "give an upstream work again",
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

    CLI::App & metrics =
        add_command(app, "metrics", "draw the histograms of an entry instance",
                    "cassiahubctl metrics --entry 127.0.0.1:8081 --prefix cassiahub_");
    add_entry_options(metrics, line.m_target);
    metrics.add_option("--prefix", line.m_prefix, "only names that begin so");
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
    CLI::App & config = *app.add_subcommand("config", "the fleet document");
    config.require_subcommand(1);
    add_local_config_commands(config, line);
    add_reading_config_commands(config, line);
    add_editing_config_commands(config, line);
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
